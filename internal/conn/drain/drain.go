// Package drain lets a server stop without cutting a request: it counts those
// under way and waits until none is and none has come for a moment, since one
// may be on its way on a connection that callers keep.
//
// # Usage
//
//	defer d.Begin()()
//	...
//	err := d.Wait(ctx)
package drain

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// quietTime without a request lets a stopping server close idle connections.
	quietTime = 300 * time.Millisecond
	pollTime  = 20 * time.Millisecond
)

// origin makes times monotonic, so that a wall clock that jumps neither holds up
// a stop nor hastens it.
var origin = time.Now()

// Drain counts the requests of one server. The zero value is ready.
type Drain struct {
	inFlight atomic.Int64
	newest   atomic.Int64
}

// Begin counts a request until the function that it returns is called.
func (d *Drain) Begin() (end func()) {
	d.inFlight.Add(1)
	d.newest.Store(int64(time.Since(origin)))
	return func() { d.inFlight.Add(-1) }
}

// InFlight returns the number of requests under way.
func (d *Drain) InFlight() int { return int(d.inFlight.Load()) }

func (d *Drain) quiet() bool {
	return d.inFlight.Load() == 0 && time.Since(origin)-time.Duration(d.newest.Load()) >= quietTime
}

// Wait returns when the server may close, or with the context's error.
func (d *Drain) Wait(ctx context.Context) error {
	for !d.quiet() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollTime):
		}
	}
	return nil
}
