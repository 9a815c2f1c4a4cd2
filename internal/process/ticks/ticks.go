// Package ticks numbers intervals of time for sliding windows. It uses the monotonic
// clock, so a jump of the wall clock neither empties nor prolongs a window.
//
// # Usage
//
//	t := ticks.Ticks{Width: 250 * time.Millisecond}
//	slot := t.At(now)
package ticks

import "time"

// Ticks numbers intervals. Exported fields are set before At is called.
type Ticks struct {
	// Width is the length of one interval.
	Width time.Duration

	firstCall time.Time
}

// At returns the number of the interval that contains now, counted from the epoch
// by the wall clock of the first call.
func (t *Ticks) At(now time.Time) int64 {
	if t.firstCall.IsZero() {
		t.firstCall = now
	}
	return (t.firstCall.UnixNano() + int64(now.Sub(t.firstCall))) / int64(t.Width)
}
