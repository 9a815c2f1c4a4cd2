// Package wall makes times of a host whose wall clock has been stepped.
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

// secondsShift is where time.Time holds the seconds of a time that has a monotonic
// reading.
const secondsShift = 30

// Step returns the time as a host tells it whose wall clock was set ahead by whole
// seconds. Its monotonic reading is the same. The time has to come from time.Now.
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
