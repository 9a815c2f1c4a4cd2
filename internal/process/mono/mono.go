// Package mono provides a clock that advances while the host is suspended, unlike
// the monotonic clock, and never jumps, unlike the wall clock.
//
// # Usage
//
//	if mono.Now().Sub(before) > time.Second {
//		// the host may have been suspended
//	}
package mono

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host started. The result is only comparable with
// other results of Now.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// If that clock is missing, callers cannot detect a suspension of the host.
		return time.Now().Round(0)
	}
	return time.Unix(t.Unix())
}
