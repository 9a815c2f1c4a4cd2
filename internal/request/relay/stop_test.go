package relay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/drain"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// Guards against a stop of the daemon that ends a request without an answer, or with one
// that is not true: what the shards have answered is delivered, and NotRun is only said
// of a request that was sent nowhere.
func TestInterruptedRequestGetsATrueAnswer(t *testing.T) {
	gathered := []string{"a", "b", "c", "d"}
	tests := []struct {
		name          string
		gather        []string
		leastCoverage float64
		// silent is the number of pools whose targets never answer, full whether they
		// have no room.
		silent int
		full   bool
		cause  error
		want   Result
	}{
		{"enough shards have answered", gathered, 0.7, 1, false, drain.ErrStopping, Partial},
		{"too few shards have answered", gathered, 0.9, 1, false, drain.ErrStopping, Broken},
		{"sent to one target", nil, 0, 1, false, drain.ErrStopping, Broken},
		{"not sent", nil, 0, 1, true, drain.ErrStopping, NotRun},
		{"the caller has left", gathered, 0.7, 1, false, nil, CallerLeft},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				names := gathered
				route := &tree.Route{
					Name: "r", Gather: tt.gather, Idempotent: true, LeastCoverage: tt.leastCoverage, MaxAttempts: 1,
					Timeout: time.Minute, LatencyTarget: 50 * time.Second,
				}
				if tt.gather == nil {
					names = []string{"a"}
					route.Split = []tree.Share{{Pool: "a", Weight: 1}}
				}
				c := newCluster(t, 1, 1, 1, names...)
				for i, name := range names {
					c.targets[name][0].set(func(f *fakeTarget) { f.unresponsive, f.maxQueue = i < tt.silent, 100 })
				}
				if tt.full {
					// Requests in flight use all that this daemon may send to the target.
					for range 60 {
						c.ask(route, time.Millisecond, 30*time.Second, false)
					}
					time.Sleep(time.Second)
				}
				ctx, cancel := context.WithCancelCause(t.Context())
				time.AfterFunc(2*time.Second, func() { cancel(tt.cause) })
				request := &Request{
					ID: "x", Method: http.MethodGet, URI: "/x", Header: http.Header{headerID: {"x"}, headerWork: {"1ms"}},
					Arrived: time.Now(), Timeout: time.Minute,
				}
				answer := c.daemons[0].Run(ctx, request, route)
				if answer.Result != tt.want {
					t.Errorf("%s (%s), want %s", answer.Result, answer.Reason, tt.want)
				}
				if took := time.Since(request.Arrived); took > 2*time.Second {
					t.Errorf("answered %v after the request", took)
				}
				c.settle()
				ran := false
				for _, f := range c.byID {
					f.set(func(f *fakeTarget) { ran = ran || f.runs["x"] > 0 })
				}
				if ran && answer.Result == NotRun {
					t.Error("the request ran although the answer said that it did not")
				}
			})
		})
	}
}

// Guards against a gather for another daemon that is dropped when this one stops: the
// shards that have answered are delivered.
func TestInterruptedAssistDeliversItsShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"a", "b", "c", "d"}
		c := newCluster(t, 1, 1, 1, names...)
		c.targets["a"][0].set(func(f *fakeTarget) { f.unresponsive = true })
		message, err := codec.Encode(&remoteRequest{
			ID: "x", Method: http.MethodGet, URI: "/x", Header: http.Header{headerID: {"x"}, headerWork: {"1ms"}},
			Pools: names, MaxAttempts: 1, Least: 1, LeftMillis: 60_000, SoonMillis: 50_000, LateMillis: 55_000,
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(2*time.Second, func() { cancel(drain.ErrStopping) })
		began := time.Now()
		var reply remoteReply
		if err := codec.Decode(c.daemons[0].Assist(ctx, message, make(chan struct{})), &reply); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > 2*time.Second || len(reply.Signatures) != 3 || len(reply.Missing) != 1 {
			t.Errorf("after %v: %+v", took, reply)
		}
		c.settle()
	})
}
