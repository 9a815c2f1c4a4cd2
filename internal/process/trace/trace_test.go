package trace

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// gate is a reader that stops reading until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(data []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(data)
}

func (g *gate) lines() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Split(strings.TrimSpace(g.text.String()), "\n")
}

// A reader that stops reading holds up nothing; what was lost is counted once
// it reads again.
func TestSlowReaderHoldsUpNothing(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	l := New(out)
	for range 10 * queueLines {
		l.State("target believed", "state", "Down")
	}
	close(out.open)
	l.Close(10 * time.Second)
	lines := out.lines()
	if len(lines) > 2*queueLines+2 {
		t.Errorf("%d lines", len(lines))
	}
	if !strings.Contains(strings.Join(lines, "\n"), "log lines were dropped") {
		t.Error("nothing says that lines were dropped")
	}
}

// Ten times the ordinary load leaves out ordinary lines and counts them, and
// never a failure that is within its own limit.
func TestOrdinaryLinesAreLimited(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	close(out.open)
	l := New(out)
	for range 10 * ordinaryBurst {
		l.Request("id-1", "answered")
	}
	l.Failure("id-2", "ended")
	l.Close(10 * time.Second)
	ordinary, failures, counted := 0, 0, false
	for _, line := range out.lines() {
		switch {
		case strings.Contains(line, `"answered"`):
			ordinary++
		case strings.Contains(line, `"ended"`):
			failures++
			counted = strings.Contains(line, "linesLeftOut=")
		}
	}
	if ordinary > 2*ordinaryBurst || failures != 1 || !counted {
		t.Errorf("%d ordinary lines, %d failures, counted %v", ordinary, failures, counted)
	}
}
