package relay

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// regionPeers asks the daemons of a region in turn.
type regionPeers struct {
	peers map[string][]*fakePeer
	mu    *sync.Mutex
	next  map[string]int
}

func (r regionPeers) Peer(region string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next[region]++
	return region + "/" + strconv.Itoa(r.next[region]%len(r.peers[region])), true
}

func (regionPeers) Failed(string) {}

func (r regionPeers) Ask(ctx context.Context, peer string, body []byte, accepted func() bool) ([]byte, error) {
	region, index, _ := strings.Cut(peer, "/")
	at, err := strconv.Atoi(index)
	if err != nil {
		return nil, err
	}
	return r.peers[region][at].Ask(ctx, peer, body, accepted)
}

// requestKind is one kind of request of a pattern.
type requestKind struct {
	route *tree.Route
	// share is the share of all requests that are of this kind, and worth what
	// one of them earns if it is answered in full and in time.
	share, worth float64
	work         time.Duration
}

// disruption changes some targets for a while.
type disruption struct {
	from, to time.Duration
	// affects reports whether a replica of a shard is affected.
	affects func(shard, replica int) bool
	// slowdown, rejectRate and lossRate replace those of a fakeTarget.
	slowdown, rejectRate, lossRate float64
}

// effect is what a target does at a moment.
type effect struct{ slowdown, rejectRate, lossRate float64 }

// pattern is a load that callers and targets have been seen to produce, with what
// the product has to reach on it.
type pattern struct {
	name        string
	disruptions []disruption
	// perSecond is the rate of requests at a time since the beginning.
	perSecond func(since time.Duration) float64
	// measured is the span whose requests count.
	from, to time.Duration
	// least is the worth that the product has to reach, as a share of what the best
	// dispatcher in hindsight reaches.
	least float64
}

// effect returns what the disruptions do to a replica.
func (p *pattern) effect(since time.Duration, shard, replica int) effect {
	e := effect{slowdown: 1}
	for i := range p.disruptions {
		d := &p.disruptions[i]
		if since >= d.from && since < d.to && d.affects(shard, replica) {
			e.slowdown = max(e.slowdown, d.slowdown)
			e.rejectRate, e.lossRate = max(e.rejectRate, d.rejectRate), max(e.lossRate, d.lossRate)
		}
	}
	return e
}

const (
	// lateWorth is what a late answer earns of an answer in time.
	lateWorth = 0.1
	// usualRate is the rate of requests per second of the patterns.
	usualRate = 98
)

func steady(time.Duration) float64 { return usualRate }

// patterns lists the loads. The product has to reach 0.85 of the best dispatcher, since
// daemons know each other's work only by its effect, and more while all is calm.
func patterns() []pattern {
	oneReplica := func(_, replica int) bool { return replica == 0 }
	everySecondShard := func(shard, replica int) bool { return shard%2 == 0 && replica == 0 && shard < 18 }
	return []pattern{
		{name: "calm", perSecond: steady, from: 4 * time.Second, to: 10 * time.Second, least: 0.95},
		{
			name: "one replica of each shard rejects most requests with an empty queue", perSecond: steady,
			disruptions: []disruption{{from: 4 * time.Second, to: 13 * time.Second, affects: oneReplica, rejectRate: 0.6}},
			from:        4 * time.Second, to: 13 * time.Second, least: 0.85,
		},
		{
			name: "one replica of nine shards is slow", perSecond: steady,
			disruptions: []disruption{{from: 4 * time.Second, to: 10 * time.Second, affects: everySecondShard, slowdown: 11}},
			from:        4 * time.Second, to: 10 * time.Second, least: 0.85,
		},
		{
			name: "most targets lose answers", perSecond: steady,
			disruptions: []disruption{{
				from: 4 * time.Second, to: 8 * time.Second, lossRate: 0.4,
				affects: func(shard, replica int) bool { return (2*shard+replica)%9 < 7 },
			}},
			from: 4 * time.Second, to: 8 * time.Second, least: 0.85,
		},
		{
			name: "one replica of nine shards is slow during a burst",
			perSecond: func(since time.Duration) float64 {
				if since >= 8*time.Second && since < 10*time.Second {
					return 1.56 * usualRate
				}
				return usualRate
			},
			disruptions: []disruption{{from: 4 * time.Second, to: 9 * time.Second, affects: everySecondShard, slowdown: 11}},
			from:        8 * time.Second, to: 10 * time.Second, least: 0.85,
		},
		{
			name: "a quarter of the shards has only slow replicas", perSecond: steady,
			disruptions: []disruption{{
				from: 4 * time.Second, to: 9 * time.Second, slowdown: 4,
				affects: func(shard, _ int) bool { return shard%4 == 0 },
			}},
			from: 4 * time.Second, to: 9 * time.Second, least: 0.85,
		},
	}
}

// kinds returns the kinds of requests of the patterns: lookups of full records and
// urgent checks that may miss more shards.
func kinds() []*requestKind {
	lookup := historyRoute()
	lookup.Name, lookup.Timeout, lookup.LatencyTarget, lookup.MaxAttempts = "lookup", 1500*time.Millisecond, 250*time.Millisecond, 2
	check := historyRoute()
	check.Name, check.Timeout, check.LatencyTarget, check.MaxAttempts = "check", 800*time.Millisecond, 150*time.Millisecond, 2
	check.LeastCoverage, check.Priority = 0.75, 2
	return []*requestKind{
		{route: lookup, share: 0.75, worth: 2, work: 20 * time.Millisecond},
		{route: check, share: 0.25, worth: 1, work: 6700 * time.Microsecond},
	}
}

// Each pattern is served almost as well as by a dispatcher that knows everything.
func TestPatternsAgainstHindsight(t *testing.T) {
	for _, p := range patterns() {
		t.Run(p.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ours, best := p.play(t)
				t.Logf("worth %.3f, in hindsight %.3f", ours, best)
				if ours < p.least*best {
					t.Errorf("worth %.3f, want %.2f of %.3f", ours, p.least, best)
				}
			})
		})
	}
}

// play returns what the requests of the measured span earn, as a share of what
// they could, and what they earn in hindsight.
func (p *pattern) play(t *testing.T) (ours, best float64) {
	t.Helper()
	kinds := kinds()
	const slots = 2
	regions := []string{"east", "north", "west"}
	c := newPools(2, slots, func(pool, replica int) string { return regions[(pool+replica)%len(regions)] }, kinds[0].route.Gather...)
	c.travel = 20 * time.Millisecond
	const daemons = 7
	peers := map[string][]*fakePeer{}
	for i := range daemons {
		region := regions[i%len(regions)]
		r := c.addDaemon(region, daemons)
		r.RemotePeers = regionPeers{peers: peers, mu: &sync.Mutex{}, next: map[string]int{}}
		peers[region] = append(peers[region], &fakePeer{runner: r})
	}
	began := time.Now()
	for shard, name := range kinds[0].route.Gather {
		for replica, f := range c.targets[name] {
			f.pause = pauseSchedule{
				length: 300 * time.Millisecond, period: 7500 * time.Millisecond,
				first: began.Add(time.Duration(c.random.IntN(7500)) * time.Millisecond),
			}
			p.schedule(f, shard, replica)
		}
	}
	arrivals := p.offer(c, kinds, began)
	c.settle()
	earned, owed := 0.0, 0.0
	worths := map[*tree.Route]float64{kinds[0].route: kinds[0].worth, kinds[1].route: kinds[1].worth}
	for i := range c.results {
		if e := &c.results[i]; !e.arrived.Before(began.Add(p.from)) {
			earned += e.earned() * worths[e.route]
			owed += worths[e.route]
		}
	}
	h := &hindsight{pattern: p, began: began, slots: slots, travel: c.travel, free: map[string][]time.Time{}}
	return earned / owed, h.worth(c, arrivals, began.Add(p.from))
}

// schedule applies the disruptions to a target as time passes.
func (p *pattern) schedule(f *fakeTarget, shard, replica int) {
	for i := range p.disruptions {
		d := &p.disruptions[i]
		for _, at := range []time.Duration{d.from, d.to} {
			time.AfterFunc(at, func() {
				e := p.effect(at, shard, replica)
				f.set(func(f *fakeTarget) { f.slowdown, f.rejectRate, f.lossRate = e.slowdown, e.rejectRate, e.lossRate })
			})
		}
	}
}

// offer sends requests until the end of the measured span.
func (p *pattern) offer(c *cluster, kinds []*requestKind, began time.Time) []offered {
	var arrivals []offered
	for since := time.Duration(0); since < p.to; since = time.Since(began) {
		kind := kinds[0]
		if c.random.Float64() < kinds[1].share {
			kind = kinds[1]
		}
		// One request in a hundred takes five times as long.
		work := time.Duration((0.5 + c.random.Float64()) * float64(kind.work))
		if c.random.IntN(100) == 0 {
			work *= 5
		}
		arrivals = append(arrivals, offered{at: time.Now(), kind: kind, work: work})
		c.ask(kind.route, work, kind.route.Timeout, false)
		time.Sleep(time.Duration(c.random.ExpFloat64() / p.perSecond(since) * float64(time.Second)))
	}
	return arrivals
}

// earned returns what the answer earns of one in full and in time.
func (e *requestResult) earned() float64 {
	if e.answer.Result != Gathered && e.answer.Result != Partial {
		return 0
	}
	shards := float64(len(e.route.Gather))
	share := (shards - float64(e.answer.Missing)) / shards
	if e.took > e.route.LatencyTarget {
		share *= lateWorth
	}
	return share * (shards - float64(e.answer.Missing)) / shards
}

// A pause delays work that starts in it or before it.
func TestPauseSchedule(t *testing.T) {
	start := time.Unix(1000, 0)
	p := pauseSchedule{length: 300 * time.Millisecond, period: time.Second, first: start}
	for _, tt := range []struct{ at, work, want time.Duration }{
		{at: -200, work: 100, want: -100},
		{at: -50, work: 100, want: 350},
		{at: 0, work: 100, want: 400},
		{at: 100, work: 100, want: 400},
		{at: 400, work: 100, want: 500},
		{at: 950, work: 100, want: 1350},
	} {
		t.Run(fmt.Sprint(tt.at), func(t *testing.T) {
			if got := p.end(start.Add(tt.at*time.Millisecond), tt.work*time.Millisecond).Sub(start); got != tt.want*time.Millisecond {
				t.Errorf("work ends after %v, want %v", got, tt.want*time.Millisecond)
			}
		})
	}
}
