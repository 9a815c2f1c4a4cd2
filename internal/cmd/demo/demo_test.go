package demo

import (
	"bytes"
	"strings"
	"testing"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
)

func TestDemoAnswersEverySearch(t *testing.T) {
	var out, messages bytes.Buffer
	o := &Options{Streams: &term.Streams{Out: &out, Err: &messages}, Daemons: 2}
	if err := o.Run(t.Context()); err != nil {
		t.Fatalf("demo: %v\n%s", err, messages.String())
	}
	for _, want := range []string{
		"Erbacee label lookup\t10 hits\t8/8", "Erbacee curator search\t20 hits\t32/32", "Salish stock check\t10 hits\t16/16", "0 (replayed)",
		"Erbacee catalogue, opaque, gathered\t5 records\t3/3", "POST /print/jar-42: done once, 10 bytes",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the output does not contain %q:\n%s", want, out.String())
		}
	}
}
