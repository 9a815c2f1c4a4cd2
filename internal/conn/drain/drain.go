// Package drain lets a server stop without cutting off a request. It counts the
// requests in flight and waits until there are none and none has arrived for a
// moment, since a caller may just have sent one on a connection that it keeps open.
//
// # Usage
//
//	defer d.Begin(id)()
//	...
//	err := d.Wait(ctx)
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// quietPeriod is the time without a new request after which a stopping server
	// closes its idle connections.
	quietPeriod  = 300 * time.Millisecond
	pollInterval = 20 * time.Millisecond
	// maxReported bounds the requests that are logged one by one when they are cut.
	maxReported = 50
)

// Drain counts the requests and connections of one server. The zero value is ready.
type Drain struct {
	// Report, if set, logs a step of a stop.
	Report func(message string, pairs ...any)

	mu          sync.Mutex
	next        uint64
	requests    map[uint64]request
	connections map[net.Conn]http.ConnState
	// arrived is the number of requests so far, and lastBegin the time of the last.
	arrived   int
	lastBegin time.Time
}

// request is a request in flight.
type request struct {
	id    string
	began time.Time
}

// Begin counts a request until the function that it returns is called.
func (d *Drain) Begin(id string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requests == nil {
		d.requests = map[uint64]request{}
	}
	d.next++
	number := d.next
	d.arrived++
	d.lastBegin = time.Now()
	d.requests[number] = request{id: id, began: d.lastBegin}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.requests, number)
	}
}

// ConnState follows the server's connections; it is set in http.Server.
func (d *Drain) ConnState(conn net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.connections == nil {
		d.connections = map[net.Conn]http.ConnState{}
	}
	if state == http.StateClosed || state == http.StateHijacked {
		delete(d.connections, conn)
		return
	}
	d.connections[conn] = state
}

// InFlight returns the number of requests in flight.
func (d *Drain) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.requests)
}

func (d *Drain) isQuiet() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.requests) == 0 && time.Since(d.lastBegin) >= quietPeriod
}

// Wait waits until the server may close, or returns the context's error.
func (d *Drain) Wait(ctx context.Context) error {
	d.ReportStep("waiting until no request arrives")
	for !d.isQuiet() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	d.ReportStep("no request arrives any more")
	return nil
}

// ReportStep logs a step of a stop, with the requests in flight, the requests so far
// and the connections by state.
func (d *Drain) ReportStep(step string) {
	if d.Report == nil {
		return
	}
	d.mu.Lock()
	states := map[http.ConnState]int{}
	for _, state := range d.connections {
		states[state]++
	}
	inFlight, arrived := len(d.requests), d.arrived
	d.mu.Unlock()
	d.Report(step, "inFlight", inFlight, "arrived", arrived,
		"newConnections", states[http.StateNew], "activeConnections", states[http.StateActive], "idleConnections", states[http.StateIdle])
}

// ReportCut logs the requests that are in flight, which closing the server cuts.
func (d *Drain) ReportCut() {
	if d.Report == nil {
		return
	}
	d.ReportStep("closing connections with requests in flight")
	d.mu.Lock()
	var cut []request
	for _, r := range d.requests {
		if cut = append(cut, r); len(cut) == maxReported {
			break
		}
	}
	d.mu.Unlock()
	for _, r := range cut {
		d.Report("request cut", "request", r.id, "ageMillis", time.Since(r.began).Milliseconds())
	}
}
