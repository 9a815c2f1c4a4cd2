package logger

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(data)
}

func (w *blockedWriter) lines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Split(strings.TrimSpace(w.text.String()), "\n")
}

// Guards against a log reader that stops reading and thereby blocks the daemon. The
// number of lines lost meanwhile is logged once the reader reads again.
func TestSlowReaderDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	l := New(out)
	for range 10 * maxQueuedLines {
		l.State("target state changed", "state", "Down")
	}
	close(out.unblock)
	l.Close(10 * time.Second)
	lines := out.lines()
	if len(lines) > 2*maxQueuedLines+2 {
		t.Errorf("%d lines", len(lines))
	}
	if !strings.Contains(strings.Join(lines, "\n"), "log lines were dropped") {
		t.Error("nothing says that lines were dropped")
	}
}

// At ten times the ordinary rate, ordinary lines are left out and counted. A failure
// within its own limit is never left out.
func TestOrdinaryLinesAreRateLimited(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	close(out.unblock)
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
