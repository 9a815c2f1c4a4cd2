// Package trace writes a daemon's log: one structured line for each decision
// that touches a request or changes what the daemon believes. Lines are handed
// to a writer of their own and never block; what does not fit is counted, and
// the count is written once there is room.
//
// # Usage
//
//	l := trace.New(os.Stdout)
//	l.State("settings in force", "revision", 7)
//	l.Failure(id, "refused", "route", name, "why", "no target")
//	l.Request(id, "answered", "route", name, "millis", 12)
//
// Failures and states are always written while there is room; ordinary lines
// about requests are limited to a rate.
package trace

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
	// queueLines bounds the lines waiting for the writer.
	queueLines = 512
	// ordinaryRate and ordinaryBurst bound the ordinary lines of a second, so
	// that a loaded daemon spends little of its processor on them.
	ordinaryRate  = 100
	ordinaryBurst = 200
	// failureRate and failureBurst bound the lines about failures.
	failureRate  = 500
	failureBurst = 1000
)

// Log is one daemon's log. A nil Log writes nothing.
type Log struct {
	out      io.Writer
	lines    chan []byte
	ordinary *rate.Limiter
	failures *rate.Limiter
	sampled  atomic.Int64
	dropped  atomic.Int64
	done     chan struct{}
	close    sync.Once
}

// New returns a log that writes to out and makes it the output of klog.
func New(out io.Writer) *Log {
	l := &Log{
		out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}),
		ordinary: rate.NewLimiter(ordinaryRate, ordinaryBurst),
		failures: rate.NewLimiter(failureRate, failureBurst),
	}
	klog.LogToStderr(false)
	klog.SetOutput(l)
	// Libraries that write to the standard logger must not block either.
	log.SetOutput(l)
	go l.run()
	return l
}

// Write takes one line from klog.
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
			l.emit(fmt.Appendf(nil, "W log lines were dropped, since the reader is slow count=%d\n", lost))
		}
	}
}

// emit writes a line; a log that can not be written has nowhere to say so.
func (l *Log) emit(line []byte) { _, _ = l.out.Write(line) }

// Close writes what waits, for at most the given time.
func (l *Log) Close(most time.Duration) {
	if l == nil {
		return
	}
	l.close.Do(func() {
		timer := time.NewTimer(most)
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

// State writes what the daemon now believes.
func (l *Log) State(message string, pairs ...any) {
	if l != nil {
		klog.InfoSDepth(1, message, pairs...)
	}
}

// Request writes an ordinary decision on a request.
func (l *Log) Request(id, message string, pairs ...any) {
	if l == nil {
		return
	}
	if !l.ordinary.Allow() {
		l.sampled.Add(1)
		return
	}
	l.write(id, message, pairs)
}

// Failure writes a decision on a request that its caller may ask about.
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
	if left := l.sampled.Swap(0); left > 0 {
		all = append(all, "linesLeftOut", left)
	}
	klog.InfoSDepth(2, message, all...)
}
