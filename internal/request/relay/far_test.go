package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// slowOfTown is the number of shards whose targets are slow: few enough that
// second attempts are sent.
const slowOfTown = 5

// wayOfTown is the way from one region to another.
const wayOfTown = 20 * time.Millisecond

// peer is a daemon of another region, whose word that it has a message takes a
// while longer than the way.
type peer struct {
	runner *Runner
	held   atomic.Int64
}

func (p *peer) Peer(string) (string, bool) { return "peer", true }

func (p *peer) Failed(string) {}

func (p *peer) Ask(ctx context.Context, _ string, body []byte, accepted func() bool) ([]byte, error) {
	time.Sleep(wayOfTown)
	// The peer hears of the asker's end as late as it hears of everything else.
	work, cancel := context.WithCancel(context.Background())
	defer context.AfterFunc(ctx, func() { time.AfterFunc(wayOfTown, cancel) })()
	confirmed := make(chan struct{})
	reply := make(chan []byte, 1)
	go func() { reply <- p.runner.Assist(work, body, confirmed) }()
	time.Sleep(time.Duration(p.held.Load()) + wayOfTown)
	if ctx.Err() != nil || !accepted() {
		return nil, errPeerLate
	}
	time.AfterFunc(wayOfTown, func() { close(confirmed) })
	select {
	case data := <-reply:
		time.Sleep(wayOfTown)
		return data, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Pattern: targets of another region are slow, so that a second attempt goes
// out for each shard, while the daemon there is late to say that it gathers. No
// shard runs on more targets than its route allows, whoever sent to it.
func TestShardsGatheredElsewhereKeepToTheirAttempts(t *testing.T) {
	for _, tt := range []struct {
		name   string
		held   time.Duration
		factor float64
		// answered is whether every query is.
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
				w := newCluster(t, 0, 3, 8, route.Gather...)
				there := w.addDaemon("here", 2)
				asker := w.addDaemon("away", 2)
				far := &peer{runner: there}
				asker.Far = far
				w.daemons = []*Runner{asker}
				// The daemons learn how long answers usually take.
				for range 5 {
					w.ask(route, workOfTown, testCallerTimeout, false)
					time.Sleep(700 * time.Millisecond)
				}
				far.held.Store(int64(tt.held))
				for _, name := range route.Gather[:slowOfTown] {
					for _, m := range w.targets[name] {
						m.set(func(m *fakeTarget) { m.slowdown = tt.factor })
					}
				}
				for range 10 {
					w.ask(route, workOfTown, testCallerTimeout, false)
					time.Sleep(700 * time.Millisecond)
				}
				w.settle()
				for name, machines := range w.targets {
					ran := map[string]int{}
					for _, m := range machines {
						m.set(func(m *fakeTarget) {
							for id, runs := range m.runs {
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
				for i := range w.results {
					if r := w.results[i].answer.Result; tt.answered && r != Gathered && r != Partial {
						t.Errorf("request %d: %s", i, r)
					}
				}
			})
		})
	}
}
