// Package drain lets a server stop without cutting off a request. It counts the
// requests in flight and waits until there are none and none has arrived for a
// moment, since a caller may just have sent one on a connection that it keeps open.
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
	// quietPeriod is the time without a new request after which a stopping server
	// closes its idle connections.
	quietPeriod  = 300 * time.Millisecond
	pollInterval = 20 * time.Millisecond
)

// origin is the start of monotonic times, so that a jump of the wall clock neither
// delays nor hastens a stop.
var origin = time.Now()

// Drain counts the requests of one server. The zero value is ready.
type Drain struct {
	inFlight  atomic.Int64
	lastBegin atomic.Int64
}

// Begin counts a request until the function that it returns is called.
func (d *Drain) Begin() (end func()) {
	d.inFlight.Add(1)
	d.lastBegin.Store(int64(time.Since(origin)))
	return func() { d.inFlight.Add(-1) }
}

// InFlight returns the number of requests in flight.
func (d *Drain) InFlight() int { return int(d.inFlight.Load()) }

func (d *Drain) isQuiet() bool {
	return d.inFlight.Load() == 0 && time.Since(origin)-time.Duration(d.lastBegin.Load()) >= quietPeriod
}

// Wait waits until the server may close, or returns the context's error.
func (d *Drain) Wait(ctx context.Context) error {
	for !d.isQuiet() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}
