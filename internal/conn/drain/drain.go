// Package drain stops an HTTP server without leaving a request unanswered, whatever its
// callers do.
//
// A stop has steps, and a caller can prolong none of them beyond its time:
//
//  1. After Leave, each reply closes its connection.
//  2. Stop serves until no request arrives any more, for at most half of its time.
//  3. From then on new connections are refused, and so are new requests on open
//     connections. Requests in flight go on.
//  4. At the end of the time, the context of each request still in flight ends with the
//     cause ErrStopping. Its handler answers with what it knows.
//  5. Once the answers are written, all connections are closed.
//
// # Usage
//
//	d := &drain.Drain{Report: klog.InfoS}
//	d.Attach(server, listener)
//	go server.Serve(listener)
//
//	// in the handler:
//	end, accepted := d.Begin(id)
//	defer end()
//	if !accepted { /* refuse the request */ }
//
//	d.Leave()
//	err := d.Stop(ctx) // the deadline of ctx is when step 4 begins
package drain

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	// KindInterrupted means that the time did not suffice for requests in flight.
	KindInterrupted Kind = "Interrupted"
	// KindStopping is the kind of ErrStopping.
	KindStopping Kind = "Stopping"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// ErrStopping is the cause for which the context of a request ends when its server has
// no more time to wait for it. The caller still waits for an answer.
var ErrStopping error = &Error{Op: "serve", Kind: KindStopping, Err: fault.Causef("the daemon is stopping")}

const (
	// quietPeriod is the time without a new request after which a stopping server
	// refuses further ones.
	quietPeriod  = 300 * time.Millisecond
	pollInterval = 20 * time.Millisecond
	// minQuietPolls is the number of polls in a row that must find no request. After a
	// time without a processor the first poll may come before connections that wait are
	// accepted.
	minQuietPolls = 4
	// AnswerTime is the maximum time that Stop takes after its context has ended, for
	// the answers to requests that it interrupts.
	AnswerTime = 250 * time.Millisecond
	// maxReported bounds the requests that are logged one by one when they are
	// interrupted.
	maxReported = 50
)

// Drain counts the requests and connections of one server and stops it. Exported fields
// are set before Attach.
type Drain struct {
	// Report, if set, logs a step of a stop.
	Report func(message string, pairs ...any)
	// OnRefuse, if set, is called when the server begins to refuse requests.
	OnRefuse func()

	server    *http.Server
	listener  net.Listener
	interrupt context.CancelCauseFunc
	leaving   atomic.Bool

	mu          mutex.Mutex
	refusing    bool
	next        uint64
	requests    map[uint64]request
	connections map[net.Conn]http.ConnState
	// arrived is the number of requests so far, and lastBegin the time of the last.
	arrived     int
	lastBegin   time.Time
	interrupted int
}

// request is a request in flight.
type request struct {
	id    string
	began time.Time
}

// Attach makes the drain follow the server, which is about to serve the listener.
func (d *Drain) Attach(server *http.Server, listener net.Listener) {
	ctx, interrupt := context.WithCancelCause(context.Background())
	d.server, d.listener, d.interrupt = server, listener, interrupt
	d.requests, d.connections = map[uint64]request{}, map[net.Conn]http.ConnState{}
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	server.ConnState = d.trackConnection
}

// Begin counts a request until end is called. If accepted is false, the request must be
// refused: the server has no time left for it.
func (d *Drain) Begin(id string) (end func(), accepted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusing {
		return func() {}, false
	}
	return d.begin(id), true
}

// BeginLate counts a request like Begin, also while new requests are refused: one that
// may belong to earlier work, so that a refusal would not be true.
func (d *Drain) BeginLate(id string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.begin(id)
}

func (d *Drain) begin(id string) (end func()) {
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

func (d *Drain) trackConnection(conn net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(d.connections, conn)
		return
	}
	d.connections[conn] = state
}

// Leave asks that each reply from now on closes its connection.
func (d *Drain) Leave() { d.leaving.Store(true) }

// Leaving reports whether replies should close their connections.
func (d *Drain) Leaving() bool { return d.leaving.Load() }

// InFlight returns the number of requests in flight.
func (d *Drain) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.requests)
}

// Interrupted returns the number of requests for which Stop had no time left.
func (d *Drain) Interrupted() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.interrupted
}

// Stop stops the server. It returns at most AnswerTime after the end of ctx, with an
// error if requests were interrupted or answers cut. Without a deadline it waits for as
// long as callers send requests.
func (d *Drain) Stop(ctx context.Context) error {
	d.Leave()
	d.report("waiting until no request arrives")
	d.waitQuiet(ctx)
	d.refuse()
	d.report("refusing new requests")
	if !wait(ctx, func() bool { return d.InFlight() == 0 }) {
		d.interruptRequests()
	}
	// The last answers are still being written after their handlers have returned.
	isAnswered := func() bool { return d.InFlight() == 0 && d.countConnections()[http.StateActive] == 0 }
	answered := wait(ctx, isAnswered)
	if !answered {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), AnswerTime)
		defer cancel()
		answered = wait(ctx, isAnswered)
	}
	unwritten := d.countConnections()[http.StateActive]
	d.report("closing connections")
	// Closing fails only for connections that have ended already.
	_ = d.server.Close()
	if interrupted := d.Interrupted(); interrupted > 0 || !answered {
		return &Error{Op: "stop", Kind: KindInterrupted, Err: fault.Causef(
			"there was no time left for %d requests; %d answers could not be written", interrupted, unwritten)}
	}
	return nil
}

// waitQuiet waits until no request is in flight and none has arrived for a moment, or
// until half of the context's time is over.
func (d *Drain) waitQuiet(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
	}
	polls := 0
	wait(ctx, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		if len(d.requests) > 0 || time.Since(d.lastBegin) < quietPeriod {
			polls = 0
			return false
		}
		polls++
		return polls >= minQuietPolls
	})
}

// refuse makes the server take no more connections and requests.
func (d *Drain) refuse() {
	d.mu.Lock()
	d.refusing = true
	d.mu.Unlock()
	if d.OnRefuse != nil {
		d.OnRefuse()
	}
	// Callers that connect now find out at once that they have to go elsewhere. Closing
	// fails only if the listener is closed already.
	_ = d.listener.Close()
}

// interruptRequests ends the contexts of the requests in flight.
func (d *Drain) interruptRequests() {
	d.mu.Lock()
	d.interrupted = len(d.requests)
	var reported []request
	for _, r := range d.requests {
		if reported = append(reported, r); len(reported) == maxReported {
			break
		}
	}
	d.mu.Unlock()
	d.interrupt(ErrStopping)
	d.report("interrupting requests in flight")
	for _, r := range reported {
		if d.Report != nil {
			d.Report("request interrupted", "request", r.id, "ageMillis", time.Since(r.began).Milliseconds())
		}
	}
}

// wait waits until the condition holds and returns whether it does.
func wait(ctx context.Context, condition func() bool) bool {
	for !condition() {
		select {
		case <-ctx.Done():
			return condition()
		case <-time.After(pollInterval):
		}
	}
	return true
}

func (d *Drain) countConnections() map[http.ConnState]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	states := map[http.ConnState]int{}
	for _, state := range d.connections {
		states[state]++
	}
	return states
}

// report logs a step of a stop, with the requests in flight, the requests so far and the
// connections by state.
func (d *Drain) report(step string) {
	if d.Report == nil {
		return
	}
	states := d.countConnections()
	d.mu.Lock()
	inFlight, arrived := len(d.requests), d.arrived
	d.mu.Unlock()
	d.Report(step, "inFlight", inFlight, "arrived", arrived,
		"newConnections", states[http.StateNew], "activeConnections", states[http.StateActive], "idleConnections", states[http.StateIdle])
}
