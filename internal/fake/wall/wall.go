// Package wall simulates steps of the wall clock.
//
// # Usage
//
//	later := wall.Step(t, time.Now(), 30*time.Second)
package wall

import (
	"testing"
	"time"
	"unsafe"
)

// secondsShift is the bit offset of the wall-clock seconds in the first word of a
// time.Time that has a monotonic reading.
const secondsShift = 30

// Step returns now as it reads after the wall clock was set forward by whole
// seconds. The monotonic reading does not change. now must come from time.Now.
func Step(t *testing.T, now time.Time, by time.Duration) time.Time {
	t.Helper()
	stepped := now
	field := (*uint64)(unsafe.Pointer(&stepped))
	*field += uint64(by/time.Second) << secondsShift
	if stepped.Sub(now) != 0 || stepped.Round(0).Sub(now.Round(0)) != by {
		t.Fatalf("%v is not %v ahead of %v on the wall clock alone", stepped, by, now)
	}
	return stepped
}
