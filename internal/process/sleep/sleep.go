// Package sleep waits for a duration or until a context ends.
//
// # Usage
//
//	if !sleep.For(ctx, time.Second) {
//		return ctx.Err()
//	}
package sleep

import (
	"context"
	"time"
)

// For waits for a duration and reports false if the context ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
