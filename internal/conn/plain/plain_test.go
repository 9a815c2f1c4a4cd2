package plain

import (
	"net/http"
	"testing"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/request/relay"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Guards against taking a refusal of another request for a refusal of this one.
func TestJudge(t *testing.T) {
	header := func(pairs ...string) http.Header {
		h := http.Header{}
		for i := 0; i < len(pairs); i += 2 {
			h.Set(pairs[i], pairs[i+1])
		}
		return h
	}
	for _, tt := range []struct {
		name   string
		status int
		header http.Header
		want   fleet.Outcome
	}{
		{"whole", 200, header(wire.HeaderRequest, "now", wire.HeaderServedBy, "t"), fleet.Success},
		{"failed", 500, header(wire.HeaderRequest, "now", wire.HeaderServedBy, "t"), fleet.Failed},
		{"without an ID", 200, header(wire.HeaderServedBy, "t"), fleet.Corrupt},
		{"of another request", 200, header(wire.HeaderRequest, "other", wire.HeaderServedBy, "t"), fleet.Corrupt},
		{"not run", 503, header(wire.HeaderRequest, "now", wire.HeaderNotRun, "true"), fleet.Shed},
		{"not run, of another request", 503, header(wire.HeaderRequest, "other", wire.HeaderNotRun, "true"), fleet.Corrupt},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := Codec{}.Classify(&relay.Request{ID: "now"}, &http1.Reply{Status: tt.status, Header: tt.header})
			if got.Outcome != tt.want {
				t.Errorf("%s, want %s", got.Outcome, tt.want)
			}
		})
	}
}
