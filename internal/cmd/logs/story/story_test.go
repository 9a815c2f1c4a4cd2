package story

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
)

const log = "testdata/daemons.log"

func TestStory(t *testing.T) {
	for _, tt := range []struct {
		name string
		json bool
	}{{"story", false}, {"story-json", true}} {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			o := &Options{
				Streams: &term.Streams{Out: &out, Err: &out}, Request: "8dd29be125f81f5d", Before: 5 * time.Second, JSON: tt.json, Files: []string{log},
			}
			if err := o.Run(t.Context()); err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, tt.name, out.Bytes())
		})
	}
}

func TestUnknownRequest(t *testing.T) {
	o := &Options{Streams: &term.Streams{}, Request: "nobody", Files: []string{log}}
	var e *term.Error
	if err := o.Run(t.Context()); !errors.As(err, &e) || e.Kind != term.KindFailed {
		t.Errorf("error %v", err)
	}
}
