// Package logger writes a daemon's log: one structured line for each decision about a
// request and for each change of the daemon's state. A separate goroutine writes the
// lines, so that logging never blocks. Lines that do not fit in its queue are dropped
// and counted, and the count is logged once there is room.
//
// # Usage
//
//	l := logger.New(os.Stdout)
//	l.State("settings in force", "revision", 7)
//	l.Failure(id, "refused", "route", name, "why", "no target")
//	l.Request(id, "answered", "route", name, "millis", 12)
//
// Lines about states are written while there is room. Lines about requests have rate
// limits, a higher one for failures than for ordinary lines.
package logger

import (
	"fmt"
	"io"
	"log"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 512
	// ordinaryRate, in lines per second, and ordinaryBurst limit the ordinary lines, so
	// that a loaded daemon spends little processor time on them.
	ordinaryRate  = 100
	ordinaryBurst = 200
	// failureRate and failureBurst limit the lines about failures.
	failureRate  = 500
	failureBurst = 1000
)

// Log is one daemon's log. A nil Log writes nothing.
type Log struct {
	out      io.Writer
	lines    chan []byte
	ordinary *rate.Limiter
	failures *rate.Limiter
	// leftOut counts the ordinary lines beyond their rate limit, and dropped the failures
	// beyond theirs and the lines that did not fit in the queue.
	leftOut atomic.Int64
	dropped atomic.Int64
	done    chan struct{}
	close   sync.Once
}

// New returns a log that writes to out and makes it the output of klog.
func New(out io.Writer) *Log {
	l := &Log{
		out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		ordinary: rate.NewLimiter(ordinaryRate, ordinaryBurst),
		failures: rate.NewLimiter(failureRate, failureBurst),
	}
	klog.LogToStderr(false)
	klog.SetOutput(l)
	// Libraries that use the standard logger must not block either.
	log.SetOutput(l)
	go l.run()
	return l
}

// Write queues one line; klog calls it.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

func (l *Log) run() {
	defer close(l.done)
	for line := range l.lines {
		if line == nil {
			return
		}
		l.emit(line)
		if lost := l.dropped.Swap(0); lost > 0 {
			l.emit(fmt.Appendf(nil, "W log lines were dropped because the reader is too slow or failures exceeded their rate limit count=%d\n", lost))
		}
	}
}

// emit writes a line. It ignores errors, since there is nowhere else to report them.
func (l *Log) emit(line []byte) { _, _ = l.out.Write(line) }

// Close writes the queued lines, for at most the given time.
func (l *Log) Close(timeout time.Duration) {
	if l == nil {
		return
	}
	l.close.Do(func() {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case l.lines <- nil:
		case <-timer.C:
			return
		}
		select {
		case <-l.done:
		case <-timer.C:
		}
	})
}

// State logs a change of the daemon's state.
func (l *Log) State(message string, pairs ...any) {
	if l != nil {
		klog.InfoSDepth(1, message, pairs...)
	}
}

// Request logs an ordinary decision about a request.
func (l *Log) Request(id, message string, pairs ...any) {
	if l == nil {
		return
	}
	if !l.ordinary.Allow() {
		l.leftOut.Add(1)
		return
	}
	l.write(id, message, pairs)
}

// Failure logs a decision about a request that its caller may ask the operators about.
func (l *Log) Failure(id, message string, pairs ...any) {
	if l == nil {
		return
	}
	if !l.failures.Allow() {
		l.dropped.Add(1)
		return
	}
	l.write(id, message, pairs)
}

func (l *Log) write(id, message string, pairs []any) {
	all := make([]any, 0, len(pairs)+4)
	all = append(all, "request", id)
	all = append(all, pairs...)
	if count := l.leftOut.Swap(0); count > 0 {
		all = append(all, "linesLeftOut", count)
	}
	klog.InfoSDepth(2, message, all...)
}
