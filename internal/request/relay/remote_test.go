package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// slowShards is the number of shards whose targets are slow: few enough that
// hedges are sent.
const slowShards = 5

// oneWayDelay is the travel time of a message between regions.
const oneWayDelay = 20 * time.Millisecond

// fakePeer is a daemon of another region that accepts a message acceptDelay after
// the message arrived.
type fakePeer struct {
	runner      *Runner
	acceptDelay atomic.Int64
}

func (p *fakePeer) Peer(string) (string, bool) { return "peer", true }

func (p *fakePeer) Failed(string) {}

func (p *fakePeer) Ask(ctx context.Context, _ string, body []byte, accepted func() bool) ([]byte, error) {
	time.Sleep(oneWayDelay)
	// A cancellation travels as long as any message.
	peerCtx, cancel := context.WithCancel(context.Background())
	defer context.AfterFunc(ctx, func() { time.AfterFunc(oneWayDelay, cancel) })()
	confirmed := make(chan struct{})
	reply := make(chan []byte, 1)
	go func() { reply <- p.runner.Assist(peerCtx, body, confirmed) }()
	time.Sleep(time.Duration(p.acceptDelay.Load()) + oneWayDelay)
	if ctx.Err() != nil || !accepted() {
		return nil, errPeerLate
	}
	time.AfterFunc(oneWayDelay, func() { close(confirmed) })
	select {
	case data := <-reply:
		time.Sleep(oneWayDelay)
		return data, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against attempts beyond the route's maximum when a peer accepts late.
// Targets of the other region are slow, so that both the peer and the asking
// daemon send extra attempts.
func TestRemoteGatherKeepsToAttemptLimit(t *testing.T) {
	for _, tt := range []struct {
		name        string
		acceptDelay time.Duration
		slowdown    float64
		// answered is whether every query has to be answered.
		answered bool
	}{
		{"in time", 0, 1, true},
		{"in time, slow targets", 0, 8, true},
		{"late", 60 * time.Millisecond, 8, false},
		{"very late", 300 * time.Millisecond, 8, false},
		{"late, usual targets", 60 * time.Millisecond, 2, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := historyRoute()
				route.MaxAttempts = 2
				c := newCluster(t, 0, 3, 8, route.Gather...)
				assister := c.addDaemon("here", 2)
				asker := c.addDaemon("away", 2)
				remote := &fakePeer{runner: assister}
				asker.RemotePeers = remote
				c.daemons = []*Runner{asker}
				// The daemons learn the usual response times.
				for range 5 {
					c.ask(route, workTime, testCallerTimeout, false)
					time.Sleep(700 * time.Millisecond)
				}
				remote.acceptDelay.Store(int64(tt.acceptDelay))
				for _, name := range route.Gather[:slowShards] {
					for _, f := range c.targets[name] {
						f.set(func(f *fakeTarget) { f.slowdown = tt.slowdown })
					}
				}
				for range 10 {
					c.ask(route, workTime, testCallerTimeout, false)
					time.Sleep(700 * time.Millisecond)
				}
				c.settle()
				for name, targets := range c.targets {
					ran := map[string]int{}
					for _, f := range targets {
						f.set(func(f *fakeTarget) {
							for id, runs := range f.runs {
								ran[id] += runs
							}
						})
					}
					for id, runs := range ran {
						if runs > route.MaxAttempts {
							t.Errorf("request %s ran on %d targets of %s", id, runs, name)
						}
					}
				}
				for i := range c.results {
					if r := c.results[i].answer.Result; tt.answered && r != Gathered && r != Partial {
						t.Errorf("request %d: %s", i, r)
					}
				}
			})
		})
	}
}

// askUntilSettled sends ten requests one after the other, each of which must be gathered
// whole.
func askUntilSettled(t *testing.T, c *cluster, route *tree.Route) {
	t.Helper()
	for range 10 {
		c.ask(route, workTime, testCallerTimeout, false)
		time.Sleep(700 * time.Millisecond)
	}
	c.settle()
	for i := range c.results {
		if r := &c.results[i]; r.answer.Result != Gathered {
			t.Errorf("request %d: %s, %s", i, r.answer.Result, r.answer.Reason)
		}
	}
}

// Guards against gathers through peers that fail because a header value or the query of the
// caller has bytes that are not UTF-8.
func TestRemoteGatherPassesAnyBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := historyRoute()
		c := newCluster(t, 0, 3, 8, route.Gather...)
		c.query, c.callerName = "?q=caf\xe9", "Jos\xe9"
		assister := c.addDaemon("here", 2)
		asker := c.addDaemon("away", 2)
		asker.RemotePeers = &fakePeer{runner: assister}
		c.daemons = []*Runner{asker}
		askUntilSettled(t, c, route)
	})
}

// Guards against searches that fail although all targets are healthy: a peer accepts
// late, and the budget doesn't allow an attempt beside the one that it makes.
func TestLatePeerIsAwaitedWithoutBudget(t *testing.T) {
	for _, acceptDelay := range []time.Duration{60 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(acceptDelay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := historyRoute()
				route.LeastCoverage = 1
				c := newCluster(t, 0, 3, 8, route.Gather...)
				assister := c.addDaemon("here", 2)
				asker := c.addDaemon("away", 2)
				remote := &fakePeer{runner: assister}
				remote.acceptDelay.Store(int64(acceptDelay))
				asker.RemotePeers = remote
				c.daemons = []*Runner{asker}
				for range 10 {
					for _, name := range route.Gather {
						for asker.Pools.Budget(name).Take(time.Now(), 0) {
						}
					}
					c.ask(route, workTime, testCallerTimeout, false)
					time.Sleep(700 * time.Millisecond)
				}
				c.settle()
				for i := range c.results {
					if r := &c.results[i]; r.answer.Result != Gathered {
						t.Errorf("request %d: %s, %s", i, r.answer.Result, r.answer.Reason)
					}
				}
			})
		})
	}
}

// A daemon without memory for the gather of another one leaves it all attempts.
func TestPeerWithoutMemoryLeavesTheAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := historyRoute()
		route.LeastCoverage = 1
		c := newCluster(t, 0, 3, 8, route.Gather...)
		assister := c.addDaemon("here", 2)
		assister.Requests, assister.Answers = &room.Room{MaxBytes: 1 << 10}, &room.Room{MaxBytes: 1 << 20}
		held := assister.Requests.Open(func() {})
		if !held.Take(time.Now(), 1<<10) {
			t.Fatal("no room")
		}
		asker := c.addDaemon("away", 2)
		asker.RemotePeers = &fakePeer{runner: assister}
		c.daemons = []*Runner{asker}
		askUntilSettled(t, c, route)
		held.Close()
		if used := assister.Requests.Used(); used != 0 {
			t.Errorf("%d bytes are taken", used)
		}
	})
}
