package relay

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

const (
	headerPause   = "Pause"
	headerLeaving = "Leaving"
	// testDrainTimeout is for how long a target may get requests after it has said that
	// it leaves.
	testDrainTimeout = 4 * time.Second
	// pauseGrace is the time after a request for a pause in which further requests
	// are still counted as on their way, and maxEarly how many may arrive after it.
	pauseGrace = 500 * time.Millisecond
	maxEarly   = 2
	// pausedRate is the number of requests a second, of pausedWork each, by which each of
	// 300 daemons learns of a pause from its own requests.
	pausedRate = 2000
	pausedWork = time.Millisecond
	// testConnectTime is how long each request waits for a connection.
	testConnectTime = 20 * time.Millisecond
)

// statements is what a fake target says of itself, and to whom.
type statements struct {
	// Until pausedUntil the target asks each caller for a pause until then. From
	// leavingFrom on it says that it leaves.
	pausedUntil time.Time
	leavingFrom time.Time
	// arrivals and pauses are the requests of each daemon, and the pauses it was asked for.
	arrivals map[int][]time.Time
	pauses   map[int][]askedPause
	// toldLeaving is when each daemon was first told that the target leaves.
	toldLeaving map[int]time.Time
	limit       limitStatement
}

type askedPause struct{ from, until time.Time }

// arrive records a request of a daemon, and returns the pause to ask for.
func (f *fakeTarget) arrive(daemon int) (pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.statements
	now := time.Now()
	if s.arrivals == nil {
		s.arrivals, s.pauses, s.toldLeaving = map[int][]time.Time{}, map[int][]askedPause{}, map[int]time.Time{}
	}
	s.arrivals[daemon] = append(s.arrivals[daemon], now)
	if now.Before(s.pausedUntil) {
		s.pauses[daemon] = append(s.pauses[daemon], askedPause{now, s.pausedUntil})
		return s.pausedUntil.Sub(now)
	}
	return 0
}

// mark adds to a reply that the target leaves.
func (f *fakeTarget) mark(daemon int, reply *http1.Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.statements
	if now := time.Now(); reply != nil && !s.leavingFrom.IsZero() && !now.Before(s.leavingFrom) {
		reply.Header.Set(headerLeaving, "1")
		if s.toldLeaving[daemon].IsZero() {
			s.toldLeaving[daemon] = now
		}
	}
}

// early returns the most requests that one daemon sent within one pause, after its
// first half second.
func (f *fakeTarget) early() int {
	most := 0
	for daemon, pauses := range f.statements.pauses {
		for _, p := range pauses {
			count := 0
			for _, at := range f.statements.arrivals[daemon] {
				if at.After(p.from.Add(pauseGrace)) && at.Before(p.until) {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

// lateArrivals returns the number of requests that daemons sent after the drain time.
func (f *fakeTarget) lateArrivals() int {
	count := 0
	for daemon, told := range f.statements.toldLeaving {
		for _, at := range f.statements.arrivals[daemon] {
			if at.After(told.Add(testDrainTimeout)) {
				count++
			}
		}
	}
	return count
}

// gatedTarget sends a daemon's requests to a fakeTarget when they have a connection and
// the gate admits them.
type gatedTarget struct {
	*fakeTarget
	gate        http1.Gate
	daemon      int
	connectTime time.Duration
	// travel is the time that a request and its answer take to a target of another
	// region.
	travel time.Duration
}

// Do sends the request. A cancelled request is still on its way for as long as any.
func (g gatedTarget) Do(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error) {
	withheld := &http1.Error{Op: "send", Kind: http1.KindWithheld, Err: fault.Causef("withheld")}
	if g.connectTime > 0 {
		select {
		case <-time.After(g.connectTime):
		case <-g.gate.Recalled():
			return nil, withheld
		case <-ctx.Done():
			return nil, &http1.Error{Op: "connect", Kind: http1.KindExpired, Err: ctx.Err()}
		}
	}
	if !g.gate.Admit(time.Now()) {
		return nil, withheld
	}
	if g.travel > 0 {
		time.Sleep(g.travel)
		defer func() {
			if ctx.Err() == nil {
				time.Sleep(g.travel)
			}
		}()
	}
	pause := g.arrive(g.daemon)
	if pause > 0 {
		return &http1.Reply{
			Status: http.StatusServiceUnavailable, Header: http.Header{headerQueued: {"0"}, headerPause: {pause.String()}},
		}, nil
	}
	reply, err := g.fakeTarget.Do(ctx, request, deadline)
	g.mark(g.daemon, reply)
	g.nameLimit(g.daemon, reply)
	return reply, err
}

// DoOnce is Do.
func (g gatedTarget) DoOnce(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error) {
	return g.Do(ctx, request, deadline)
}

// Guards against daemons that go on sending to targets which have asked for a pause:
// each daemon may send at most two requests within the pause. What other replicas can
// serve is served, and what they can't is refused at once, to callers that come back
// spread out after the pause.
func TestPausesAreKeptByManyDaemons(t *testing.T) {
	const pause = 3 * time.Second
	single := &tree.Route{
		Name: "single", Idempotent: true, MaxAttempts: 2, Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond,
		Split: []tree.Share{{Pool: "a", Weight: 1}},
	}
	gathered := &tree.Route{
		Name: "gathered", Gather: []string{"a", "b", "c", "d"}, Idempotent: true, LeastCoverage: 0.7, MaxAttempts: 2, Timeout: 2 * time.Second,
		LatencyTarget: 200 * time.Millisecond,
	}
	firstOfA := func(pool string, replica int) bool { return pool == "a" && replica == 0 }
	allOfA := func(pool string, _ int) bool { return pool == "a" }
	tests := []struct {
		name    string
		daemons int
		route   *tree.Route
		pauses  func(pool string, replica int) bool
		// served is the least share of requests that are served in time during the
		// pause, and most the result of most of them.
		served float64
		most   Result
	}{
		{"one replica, few daemons", 10, single, firstOfA, 0.97, Passed},
		{"one replica", 300, single, firstOfA, 0.97, Passed},
		{"all replicas of a pool", 300, single, allOfA, 0, NotRun},
		{"all replicas of a shard", 300, gathered, allOfA, 0.95, Partial},
		{"most targets", 300, gathered, func(_ string, replica int) bool { return replica > 0 }, 0.9, Gathered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testPause(t, tt.daemons, tt.route, tt.pauses, pause, tt.served, tt.most) })
		})
	}
}

func testPause(t *testing.T, daemons int, route *tree.Route, pauses func(pool string, replica int) bool, pause time.Duration, served float64, most Result) {
	c := newCluster(t, daemons, 4, 4, "a", "b", "c", "d")
	c.connectTime = testConnectTime
	c.offer(route, pausedWork, pausedRate, time.Second)
	began := time.Now()
	var pausing []*fakeTarget
	for pool, targets := range c.targets {
		for replica, f := range targets {
			if pauses(pool, replica) {
				f.set(func(f *fakeTarget) { f.statements.pausedUntil = began.Add(pause) })
				pausing = append(pausing, f)
			}
		}
	}
	c.offer(route, pausedWork, pausedRate, pause)
	ended := time.Now()
	c.offer(route, pausedWork, pausedRate, 4*time.Second)
	c.settle()
	mostEarly := 0
	for _, f := range pausing {
		mostEarly = max(mostEarly, f.early())
		if early := f.early(); early > maxEarly {
			t.Errorf("%s: a daemon sent %d requests within a pause", f.id, early)
		}
	}
	// Most daemons have been told of the pause by its second half.
	settled := began.Add(pause / 2)
	during := func(e *requestResult) bool { return e.arrived.After(settled) && e.arrived.Before(ended) }
	share, count := c.shareInTime(during)
	if share < served {
		t.Errorf("%.3f of %d requests served in time during the pause, want %.2f", share, count, served)
	}
	results, slowest := map[Result]int{}, time.Duration(0)
	var earliest, latest time.Duration
	for i := range c.results {
		e := &c.results[i]
		if !during(e) {
			continue
		}
		results[e.answer.Result]++
		if e.answer.Result != NotRun || e.answer.Reason != reasonDown {
			continue
		}
		slowest = max(slowest, e.took)
		if back := e.arrived.Add(e.took + e.answer.RetryAfter).Sub(ended); earliest == 0 || back < earliest {
			earliest = back
		} else {
			latest = max(latest, back)
		}
	}
	if results[most] < count/2 {
		t.Errorf("results %v, want mostly %s", results, most)
	}
	if most == NotRun && (earliest < 0 || latest-earliest < 100*time.Millisecond || slowest > 100*time.Millisecond+3*testConnectTime) {
		t.Errorf("callers may return from %v to %v after the pause; the slowest refusal took %v", earliest, latest, slowest)
	}
	after, count := c.shareInTime(func(e *requestResult) bool { return e.arrived.After(ended.Add(2 * time.Second)) })
	if after < 0.98 {
		t.Errorf("%.3f of %d requests served in time after the pause", after, count)
	}
	t.Logf("most within a pause from one daemon: %d", mostEarly)
	t.Logf("during: %v, in time %.3f, refusals return %v to %v, slowest %v; after: %.3f", results, share, earliest, latest, slowest, after)
}

// Guards against targets that are met by all waiting callers at once when their pause ends:
// the daemons resume spread out, and so do the callers that they have refused.
func TestCallersComeBackSpreadOutAfterAPause(t *testing.T) {
	const (
		callers = 1500
		pause   = 4 * time.Second
		bin     = 100 * time.Millisecond
		bins    = 30
	)
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 300, 4, 4, "a")
		route := &tree.Route{
			Name: "r", Idempotent: true, MaxAttempts: 2, Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond,
			Split: []tree.Share{{Pool: "a", Weight: 1}},
		}
		ends := time.Now().Add(pause)
		for _, f := range c.targets["a"] {
			f.set(func(f *fakeTarget) { f.statements.pausedUntil = ends })
		}
		// All daemons are told before the callers come.
		for i := range 6 * len(c.daemons) {
			runUntilServed(c, i, route, 1)
		}
		var served atomic.Int64
		for i := range callers {
			c.pending.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / callers)
				if runUntilServed(c, i, route, 8) {
					served.Add(1)
				}
			})
		}
		c.settle()
		counts := make([]int, bins)
		for _, f := range c.targets["a"] {
			for _, arrivals := range f.statements.arrivals {
				for _, at := range arrivals {
					if after := at.Sub(ends); after >= 0 && after < bins*bin {
						counts[after/bin]++
					}
				}
			}
		}
		t.Logf("requests in each 100 ms after the pause: %v; %d of %d callers served", counts, served.Load(), callers)
		if most := slices.Max(counts); most > callers/5 {
			t.Errorf("%d of %d requests within 100 ms", most, callers)
		}
		if served.Load() < callers*98/100 {
			t.Errorf("%d of %d callers served", served.Load(), callers)
		}
	})
}

// runUntilServed sends a request to one daemon, and again when it was refused and the
// time that it was told has passed.
func runUntilServed(c *cluster, number int, route *tree.Route, tries int) bool {
	for try := range tries {
		id := fmt.Sprint(number, "-", try)
		answer := c.daemons[number%len(c.daemons)].Run(context.Background(), &Request{
			ID: id, Method: http.MethodGet, URI: "/" + id, Header: http.Header{headerID: {id}, headerWork: {"10ms"}},
			Arrived: time.Now(), Timeout: route.Timeout,
		}, route)
		if answer.Result == Passed {
			return true
		}
		if tries > 1 {
			time.Sleep(answer.RetryAfter)
		}
	}
	return false
}

// Guards against requests that reach a target after the drain time since it said that it
// leaves, which only its answers say here, and against a shard that is lost while its
// last replica may still serve.
func TestDrainTimeIsKeptByManyDaemons(t *testing.T) {
	for _, replicas := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 100, replicas, 8, "a")
			c.connectTime = testConnectTime
			route := &tree.Route{
				Name: "r", Idempotent: true, MaxAttempts: 2, Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond,
				Split: []tree.Share{{Pool: "a", Weight: 1}},
			}
			c.offer(route, 10*time.Millisecond, 300, time.Second)
			began := time.Now()
			leaving := c.targets["a"][0]
			leaving.set(func(f *fakeTarget) { f.statements.leavingFrom = began })
			c.offer(route, 10*time.Millisecond, 300, 8*time.Second)
			c.settle()
			if late := leaving.lateArrivals(); late > 0 || len(leaving.statements.toldLeaving) < 50 {
				t.Errorf("%d replicas: %d requests after the drain time; %d daemons told", replicas, late, len(leaving.statements.toldLeaving))
			}
			within, _ := c.shareInTime(func(e *requestResult) bool { return e.arrived.Before(began.Add(testDrainTimeout / 2)) })
			after, _ := c.shareInTime(func(e *requestResult) bool { return e.arrived.After(began.Add(7 * time.Second)) })
			if within < 0.98 || replicas > 1 && after < 0.98 || replicas == 1 && after > 0.1 {
				t.Errorf("%d replicas: %.3f served in time within the drain time, %.3f after it", replicas, within, after)
			}
			for i := range c.results {
				e := &c.results[i]
				if e.answer.Result == NotRun && e.took > 100*time.Millisecond {
					t.Errorf("refused after %v: %s", e.took, e.answer.Reason)
				}
			}
		})
	}
}

// Guards against a daemon that gathers for a peer, or an asker that then sends requests
// itself, passing over what targets have said to it.
func TestGathersForPeersKeepToWhatTargetsSay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 3 * time.Second
		route := historyRoute()
		route.MaxAttempts = 2
		c := newCluster(t, 0, 3, 8, route.Gather...)
		assister, asker := c.addDaemon("here", 2), c.addDaemon("away", 2)
		remote := &fakePeer{runner: assister}
		asker.RemotePeers = remote
		c.daemons = []*Runner{asker}
		ask := func(duration time.Duration) {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				c.ask(route, workTime, testCallerTimeout, false)
			}
		}
		ask(2 * time.Second)
		began := time.Now()
		for _, targets := range c.targets {
			targets[0].set(func(f *fakeTarget) { f.statements.pausedUntil = began.Add(pause) })
			targets[1].set(func(f *fakeTarget) { f.statements.leavingFrom = began })
		}
		ask(pause)
		// A peer that accepts late makes the asker send its shards itself.
		remote.acceptDelay.Store(int64(300 * time.Millisecond))
		ask(testDrainTimeout)
		c.settle()
		early, late, told := 0, 0, map[int]int{}
		for _, targets := range c.targets {
			early = max(early, targets[0].early())
			late += targets[1].lateArrivals()
			for daemon := range targets[1].statements.toldLeaving {
				told[daemon]++
			}
		}
		served, count := c.shareInTime(func(e *requestResult) bool { return e.arrived.After(began) })
		t.Logf("%d early, %d late; daemons told by so many targets: %v; %.3f of %d in time", early, late, told, served, count)
		if early > maxEarly || late > 0 || told[0] == 0 {
			t.Errorf("%d requests within a pause, %d after the drain time; daemons told: %v", early, late, told)
		}
		if served < 0.9 {
			t.Errorf("%.3f of %d requests served in time", served, count)
		}
	})
}
