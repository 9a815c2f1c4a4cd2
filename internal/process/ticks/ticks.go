// Package ticks counts intervals of time for sliding windows, on the monotonic
// clock: a wall clock that jumps neither empties a window nor holds it up.
//
// # Usage
//
//	t := ticks.Ticks{Width: 250 * time.Millisecond}
//	slot := t.At(now)
package ticks

import "time"

// Ticks is the count. Exported fields are set before At.
type Ticks struct {
	// Width is the length of one interval.
	Width time.Duration

	first time.Time
}

// At returns the number of the interval that now is in, counted from the epoch as
// the wall clock stood at the first call.
func (t *Ticks) At(now time.Time) int64 {
	if t.first.IsZero() {
		t.first = now
	}
	return (t.first.UnixNano() + int64(now.Sub(t.first))) / int64(t.Width)
}
