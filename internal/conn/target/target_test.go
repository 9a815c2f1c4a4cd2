package target

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Guards against a late refusal of an earlier attempt being taken for one of this
// attempt, which would be sent elsewhere although it may run.
func TestRefusalsOfOtherAttempts(t *testing.T) {
	own := wire.Echo{Request: "q1", Attempt: 2, Shard: 3, Version: 4}
	other := own
	other.Attempt = 1
	for _, tt := range []struct {
		name   string
		status int
		echo   *wire.Echo
		want   fleet.Outcome
	}{
		{name: "too many requests", status: http.StatusTooManyRequests, echo: &own, want: fleet.Shed},
		{name: "no such index", status: http.StatusGone, echo: &own, want: fleet.Gone},
		{name: "no echo", status: http.StatusServiceUnavailable, want: fleet.Shed},
		{name: "too many requests, other attempt", status: http.StatusTooManyRequests, echo: &other, want: fleet.Corrupt},
		{name: "unavailable, other attempt", status: http.StatusServiceUnavailable, echo: &other, want: fleet.Corrupt},
		{name: "no such index, other attempt", status: http.StatusGone, echo: &other, want: fleet.Corrupt},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tt.echo != nil {
					w.Header().Set(wire.HeaderEcho, FormatEcho(tt.echo))
				}
				w.WriteHeader(tt.status)
			}))
			defer server.Close()
			c := New(Config{Address: strings.TrimPrefix(server.URL, "http://")})
			defer c.Close()
			if _, outcome := c.Search(context.Background(), &own, nil, time.Second); outcome != tt.want {
				t.Errorf("outcome %v, want %v", outcome, tt.want)
			}
		})
	}
}
