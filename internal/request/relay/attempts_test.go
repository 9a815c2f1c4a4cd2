package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/retry"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

const (
	// attemptSeeds is the number of random clusters.
	attemptSeeds = 40
	// daemonsPerRegion is the number of daemons in each of two regions.
	daemonsPerRegion = 2
	// runTime is how long callers send requests, and faultInterval the time
	// between changes of the faults.
	runTime          = 24 * time.Second
	faultInterval    = 700 * time.Millisecond
	gathersPerSecond = 12.0
)

// arrival is one attempt that reached a target.
type arrival struct {
	pool, request string
	at            time.Time
}

// arrivalLog records the attempts that reach targets.
type arrivalLog struct {
	mu       sync.Mutex
	arrivals []arrival
}

// recordingTarget records the attempts that reach a target.
type recordingTarget struct {
	*fakeTarget
	pool string
	log  *arrivalLog
}

// Do records the attempt and passes it on.
func (r *recordingTarget) Do(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error) {
	r.log.mu.Lock()
	r.log.arrivals = append(r.log.arrivals, arrival{pool: r.pool, request: request.Header.Get(headerID), at: time.Now()})
	r.log.mu.Unlock()
	return r.fakeTarget.Do(ctx, request, deadline)
}

// unreliablePeers are the daemons of the other region, reached over links that
// delay and lose messages.
type unreliablePeers struct {
	runners []*Runner
	random  *rand.Rand
	mu      sync.Mutex
}

func (p *unreliablePeers) Peer(string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprint(p.random.IntN(len(p.runners))), true
}

func (p *unreliablePeers) Failed(string) {}

// delay is the travel time of one message: usually the normal one, sometimes
// much longer.
func (p *unreliablePeers) delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random.IntN(4) > 0 {
		return oneWayDelay
	}
	return oneWayDelay + time.Duration(p.random.IntN(int(300*time.Millisecond)))
}

// lost reports whether a message is lost.
func (p *unreliablePeers) lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(20) == 0
}

func (p *unreliablePeers) Ask(ctx context.Context, peer string, body []byte, accepted func() bool) ([]byte, error) {
	if p.lost() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(p.delay())
	peerCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(p.delay(), cancel) })()
	confirmed, reply := make(chan struct{}), make(chan []byte, 1)
	index := 0
	if _, err := fmt.Sscan(peer, &index); err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reply <- p.runners[index].Assist(peerCtx, body, confirmed)
	}()
	time.Sleep(p.delay())
	if ctx.Err() != nil || !accepted() {
		// The cancellation takes as long as any message.
		time.Sleep(p.delay())
		cancel()
		<-ended
		return nil, errPeerLate
	}
	if !p.lost() {
		time.AfterFunc(p.delay(), func() { close(confirmed) })
	}
	select {
	case data := <-reply:
		time.Sleep(p.delay())
		return data, nil
	case <-ctx.Done():
		time.Sleep(p.delay())
		cancel()
		<-ended
		return nil, ctx.Err()
	}
}

// newFaultyCluster makes a cluster whose pools have targets in both regions, or
// for some pools in one region only.
func newFaultyCluster(t *testing.T, seed uint64, route *tree.Route) (*cluster, *arrivalLog) {
	t.Helper()
	c := newCluster(t, 0, 3, 3, route.Gather...)
	c.random = rand.New(rand.NewPCG(seed, 11))
	for i, name := range route.Gather {
		for replica := range c.entries[name] {
			if (i+replica)%3 == 0 || i%5 == 0 {
				c.entries[name][replica].DataCentre = "away"
			}
		}
	}
	log := &arrivalLog{}
	regions := map[string][]*Runner{}
	for _, region := range []string{"here", "away"} {
		for range daemonsPerRegion {
			r := c.addDaemon(region, 2*daemonsPerRegion)
			r.Connect = func(target *fleet.Target) Sender {
				f := c.byID[target.ID]
				return &recordingTarget{fakeTarget: f, pool: poolOf(target.ID), log: log}
			}
			regions[region] = append(regions[region], r)
		}
	}
	for i, r := range c.daemons {
		other := regions["away"]
		if i >= daemonsPerRegion {
			other = regions["here"]
		}
		r.RemotePeers = &unreliablePeers{runners: other, random: rand.New(rand.NewPCG(seed, uint64(i)))}
	}
	return c, log
}

// poolOf returns the pool of a target's ID.
func poolOf(id string) string { return id[:len(id)-len("-0")] }

// injectFaults changes the faults of some targets.
func (c *cluster) injectFaults(route *tree.Route) {
	for _, name := range route.Gather {
		for _, f := range c.targets[name] {
			if c.random.IntN(4) > 0 {
				continue
			}
			f.set(func(f *fakeTarget) {
				f.slowdown, f.lossRate, f.unresponsive, f.maxQueue = 1, 0, false, 12
				switch c.random.IntN(7) {
				case 0:
					f.slowdown = 8
				case 1:
					f.lossRate = 0.3
				case 2:
					f.unresponsive = true
				case 3:
					f.maxQueue = 0
				}
			})
		}
	}
}

// Guards against attempts beyond the route's maximum and beyond the retry budget
// of all daemons. Targets are slow, unresponsive, full or lose answers by turns,
// while daemons gather for each other over links that delay and lose messages.
func TestTroubledTierKeepsToItsAttempts(t *testing.T) {
	for seed := range uint64(attemptSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				route := historyRoute()
				route.MaxAttempts = 1 + int(seed)%3
				c, log := newFaultyCluster(t, seed, route)
				var asked []time.Time
				for end := time.Now().Add(runTime); time.Now().Before(end); {
					c.injectFaults(route)
					for next := time.Now().Add(faultInterval); time.Now().Before(next); {
						asked = append(asked, time.Now())
						c.ask(route, workTime, testCallerTimeout, false)
						time.Sleep(time.Duration(c.random.ExpFloat64() / gathersPerSecond * float64(time.Second)))
					}
				}
				c.settle()
				c.checkAttempts(t, route)
				for _, name := range route.Gather {
					checkBudget(t, name, asked, log.extraAttempts(name), retry.Terms{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second})
				}
			})
		})
	}
}

// checkAttempts reports requests that ran on more targets of a pool than the route
// allows.
func (c *cluster) checkAttempts(t *testing.T, route *tree.Route) {
	t.Helper()
	for _, name := range route.Gather {
		ran := map[string]int{}
		for _, f := range c.targets[name] {
			f.set(func(f *fakeTarget) {
				for id := range f.runs {
					ran[id]++
				}
			})
		}
		for id, targets := range ran {
			if targets > route.MaxAttempts {
				t.Errorf("request %s ran on %d targets of %s, where %d are allowed", id, targets, name, route.MaxAttempts)
			}
		}
	}
}

// extraAttempts lists when attempts beyond the first of a request reached a
// pool.
func (l *arrivalLog) extraAttempts(pool string) []time.Time {
	var extras []time.Time
	seen := map[string]bool{}
	for _, a := range l.arrivals {
		if a.pool != pool {
			continue
		}
		if seen[a.request] {
			extras = append(extras, a.at)
		}
		seen[a.request] = true
	}
	return extras
}

// checkBudget compares the extra attempts in each window with the budget for the
// requests of that window, of the window before it, or of the one half a window
// before it, whichever has the most.
func checkBudget(t *testing.T, pool string, asked, extras []time.Time, terms retry.Terms) {
	t.Helper()
	for i, first := range extras {
		end := first.Add(terms.Window)
		maxRequests := 0
		for _, shift := range []time.Duration{0, terms.Window / 2, terms.Window} {
			maxRequests = max(maxRequests, countWithin(asked, first.Add(-shift), end.Add(-shift)))
		}
		if count := countWithin(extras[i:], first, end); float64(count) > terms.Ratio*float64(maxRequests)+terms.Allowance {
			t.Errorf("%s got %d extra attempts in a window of %d requests", pool, count, maxRequests)
			return
		}
	}
}

// countWithin counts the times in [from, to).
func countWithin(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}
