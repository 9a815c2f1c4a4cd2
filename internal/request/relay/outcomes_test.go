package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/pools"
	"github.com/magnoliarelay/magnoliarelay/internal/process/retry"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

const (
	// outcomeSeeds is the number of random clusters.
	outcomeSeeds = 40
	// outcomeRunTime is how long callers send requests, and changeInterval the time
	// between changes of targets and routes.
	outcomeRunTime = 24 * time.Second
	changeInterval = 700 * time.Millisecond
	// maxTravel is the maximum time that a request is on its way to a target.
	maxTravel = 30 * time.Millisecond
	// maxCutDelay is the maximum time until the connection to a peer breaks.
	maxCutDelay = 400 * time.Millisecond
)

// lockedRand is a source of random numbers for several goroutines.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newLockedRand(seed, stream uint64) *lockedRand {
	return &lockedRand{random: rand.New(rand.NewPCG(seed, stream))}
}

func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// duration returns a time up to most.
func (r *lockedRand) duration(most time.Duration) time.Duration {
	return time.Duration(r.intN(int(most)))
}

// fickleTarget answers in all ways. A request that its daemon has cancelled still
// arrives and runs.
type fickleTarget struct {
	*fakeTarget
	random *lockedRand
	// troubled is the number of requests in ten that do not simply run.
	troubled int
}

type attemptResult struct {
	reply *http1.Reply
	err   error
}

func (f *fickleTarget) Do(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error) {
	if f.random.intN(10) < f.troubled {
		switch f.random.intN(8) {
		case 0:
			return nil, &http1.Error{Op: "connect", Kind: http1.KindNotSent, Err: syscall.ECONNREFUSED}
		case 1:
			return &http1.Reply{Status: http.StatusMisdirectedRequest, Header: http.Header{headerQueued: {"0"}}}, nil
		case 2, 3:
			return &http1.Reply{Status: http.StatusServiceUnavailable, Header: http.Header{headerQueued: {"0"}}}, nil
		default:
			return f.fail(f.send(ctx, request, deadline))
		}
	}
	result := f.send(ctx, request, deadline)
	return result.reply, result.err
}

// DoOnce is Do: fake targets have no connections.
func (f *fickleTarget) DoOnce(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error) {
	return f.Do(ctx, request, deadline)
}

// send runs the request to its end, and returns when ctx ends.
func (f *fickleTarget) send(ctx context.Context, request *http.Request, deadline time.Time) attemptResult {
	results := make(chan attemptResult, 1)
	go func() {
		time.Sleep(f.random.duration(maxTravel))
		reply, err := f.fakeTarget.Do(context.Background(), request, deadline)
		results <- attemptResult{reply, err}
	}()
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
		return attemptResult{nil, &http1.Error{Op: "receive", Kind: http1.KindBroken, Err: ctx.Err()}}
	}
}

// fail replaces the answer to a request that has run.
func (f *fickleTarget) fail(result attemptResult) (*http1.Reply, error) {
	if result.err != nil || result.reply.Status != http.StatusOK {
		return result.reply, result.err
	}
	kinds := []http1.Kind{http1.KindBroken, http1.KindReset, http1.KindExpired, http1.KindCorrupt}
	if i := f.random.intN(len(kinds) + 1); i < len(kinds) {
		return nil, &http1.Error{Op: "receive", Kind: kinds[i], Err: syscall.ECONNRESET}
	}
	return &http1.Reply{Status: http.StatusInternalServerError, Header: result.reply.Header}, nil
}

// fickleDialect is the dialect of fickle targets.
type fickleDialect struct{ fakeDialect }

func (d fickleDialect) Classify(request *Request, reply *http1.Reply) Classification {
	classification := d.fakeDialect.Classify(request, reply)
	switch reply.Status {
	case http.StatusMisdirectedRequest:
		classification.Outcome = fleet.Gone
	case http.StatusInternalServerError:
		classification.Outcome = fleet.Failed
	}
	return classification
}

// cutPeers are peers whose connections sometimes break. The asking daemon notices at
// once, and the peer gathers on until the cancellation arrives.
type cutPeers struct {
	RemotePeers
	random *lockedRand
	calls  sync.WaitGroup
}

func (p *cutPeers) Ask(ctx context.Context, peer string, body []byte, accepted func() bool) ([]byte, error) {
	if p.random.intN(4) > 0 {
		return p.RemotePeers.Ask(ctx, peer, body, accepted)
	}
	ctx, cut := context.WithTimeout(ctx, p.random.duration(maxCutDelay))
	type answer struct {
		reply []byte
		err   error
	}
	answers := make(chan answer, 1)
	p.calls.Go(func() {
		defer cut()
		reply, err := p.RemotePeers.Ask(ctx, peer, body, accepted)
		answers <- answer{reply, err}
	})
	select {
	case a := <-answers:
		if p.random.intN(2) == 0 {
			return a.reply[:len(a.reply)/2], a.err
		}
		return a.reply, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fickleCluster is a faulty cluster whose routes and targets change.
type fickleCluster struct {
	*cluster
	random *lockedRand
	// allowed is the number of targets of a pool on which each request may run.
	allowed map[string]int
	targets map[string]*fickleTarget
	peers   []*cutPeers
}

func newFickleCluster(t *testing.T, seed uint64) *fickleCluster {
	t.Helper()
	base, _ := newFaultyCluster(t, seed, historyRoute())
	c := &fickleCluster{cluster: base, random: newLockedRand(seed, 22), allowed: map[string]int{}, targets: map[string]*fickleTarget{}}
	for id, f := range base.byID {
		c.targets[id] = &fickleTarget{fakeTarget: f, random: newLockedRand(seed, uint64(len(c.targets)))}
	}
	for i, r := range c.daemons {
		r.Dialect = fickleDialect{}
		r.Connect = func(target *fleet.Target) Sender { return c.targets[target.ID] }
		peers := &cutPeers{RemotePeers: r.RemotePeers, random: newLockedRand(seed, uint64(1000+i))}
		r.RemotePeers = peers
		c.peers = append(c.peers, peers)
		// The budget of a few seconds would hide attempts beyond the maximum.
		r.Pools.(*pools.Pools).SetTerms(retry.Terms{Ratio: 10, Allowance: 1e6, Window: 10 * time.Second})
	}
	return c
}

// route returns a gather over some pools, or one pool's route of either kind, with a
// random number of attempts.
func (c *fickleCluster) route() (route *tree.Route, allowed int) {
	route = historyRoute()
	route.MaxAttempts = 1 + c.random.intN(3)
	switch c.random.intN(6) {
	case 0:
		route.Name, route.Split, route.Gather = "one", []tree.Share{{Pool: route.Gather[c.random.intN(shardCount)], Weight: 1}}, nil
	case 1:
		route.Name, route.Split, route.Gather = "once", []tree.Share{{Pool: route.Gather[c.random.intN(shardCount)], Weight: 1}}, nil
		route.Idempotent = false
		return route, 1
	default:
		from := c.random.intN(shardCount)
		route.Gather = slices.Concat(route.Gather[from:], route.Gather[:from])[:2+c.random.intN(shardCount-1)]
	}
	return route, route.MaxAttempts
}

// change changes what targets do, and what some daemons know of a pool's targets.
func (c *fickleCluster) change(names []string) {
	c.injectFaults(historyRoute())
	for _, f := range c.targets {
		f.random.mu.Lock()
		f.troubled = []int{0, 1, 2, 4}[f.random.random.IntN(4)]
		f.random.mu.Unlock()
	}
	for _, name := range names {
		entries := slices.Clone(c.entries[name])
		if c.random.intN(8) == 0 {
			entries = slices.Delete(entries, 0, 1+c.random.intN(len(entries)))
		}
		for i := range entries {
			if c.random.intN(16) == 0 {
				entries[i].DataCentre = []string{"here", "away"}[c.random.intN(2)]
				entries[i].Born = int64(c.random.intN(1 << 20))
			}
		}
		c.register(name, entries)
	}
}

func (c *fickleCluster) register(name string, entries []roster.Entry) {
	for _, r := range c.daemons {
		if c.random.intN(3) > 0 {
			r.Pools.(*pools.Pools).Register(time.Now(), name, entries)
		}
	}
}

// Guards against a request that runs on more targets of a pool than its route allows,
// whatever targets say and when, while callers leave, attempts that were cut arrive all the
// same, peers accept late or are cut off, and routes and registrations change.
func TestRequestsRunOnNoMoreTargetsThanAllowed(t *testing.T) {
	for seed := range uint64(outcomeSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newFickleCluster(t, seed)
				names := historyRoute().Gather
				for end := time.Now().Add(outcomeRunTime); time.Now().Before(end); {
					c.change(names)
					for next := time.Now().Add(changeInterval); time.Now().Before(next); {
						route, allowed := c.route()
						c.allowed[strconv.Itoa(c.count+1)] = allowed
						c.ask(route, workTime, testCallerTimeout/time.Duration(1+c.random.intN(20)), false)
						time.Sleep(time.Duration(c.cluster.random.ExpFloat64() / gathersPerSecond * float64(time.Second)))
					}
				}
				c.settle()
				for _, peers := range c.peers {
					peers.calls.Wait()
				}
				c.check(t, names)
			})
		})
	}
}

// check reports requests that ran on more targets of a pool than allowed. Many have
// to run on as many as are allowed, or nothing is tested.
func (c *fickleCluster) check(t *testing.T, names []string) {
	t.Helper()
	atLimit := 0
	for _, name := range names {
		ran := map[string]int{}
		for _, f := range c.cluster.targets[name] {
			f.set(func(f *fakeTarget) {
				for id := range f.runs {
					ran[id]++
				}
			})
		}
		for id, targets := range ran {
			switch allowed := c.allowed[id]; {
			case targets > allowed:
				t.Errorf("request %s ran on %d targets of %s, where %d are allowed", id, targets, name, allowed)
			case targets == allowed && allowed > 1:
				atLimit++
			}
		}
	}
	if atLimit < len(c.allowed)/10 {
		t.Errorf("of %d requests, %d used up the attempts of a pool", len(c.allowed), atLimit)
	}
}
