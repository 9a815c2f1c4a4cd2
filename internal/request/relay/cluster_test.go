package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/process/alloc"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/pools"
	"github.com/magnoliarelay/magnoliarelay/internal/process/retry"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/process/timing"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// fakeTarget is a target in virtual time with slots, a bounded queue and a
// speed. It is used inside synctest only.
type fakeTarget struct {
	id    string
	slots chan struct{}
	// maxQueue bounds the requests that wait.
	maxQueue int

	mu      sync.Mutex
	waiting int
	runs    map[string]int
	// slowdown multiplies the work time; an unresponsive target never answers;
	// lossRate is the share of requests whose answer is lost after they ran.
	slowdown     float64
	unresponsive bool
	lossRate     float64
	// rejectRate is the share of requests that are rejected whatever the queue.
	rejectRate float64
	// pause delays the work.
	pause      pauseSchedule
	random     *rand.Rand
	statements statements
}

// testCallerTimeout is how long callers wait.
const testCallerTimeout = 4 * time.Second

const (
	headerID     = "Id"
	headerQueued = "Queued"
	headerWork   = "Work"
	headerCaller = "Caller"
)

func (f *fakeTarget) set(change func(f *fakeTarget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// Probe finds the target listening.
func (f *fakeTarget) Probe(context.Context) error { return nil }

// Do runs a request for the time that its header asks for.
func (f *fakeTarget) Do(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	f.mu.Lock()
	if !f.unresponsive && (f.waiting >= f.maxQueue || f.rejectRate > 0 && f.random.Float64() < f.rejectRate) {
		queued := f.waiting
		f.mu.Unlock()
		return &http1.Reply{Status: http.StatusServiceUnavailable, Header: http.Header{headerQueued: {strconv.Itoa(queued)}}}, nil
	}
	f.waiting++
	f.mu.Unlock()
	err := f.run(ctx, request)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && f.random.Float64() < f.lossRate {
		return nil, &http1.Error{Op: "receive", Kind: http1.KindBroken, Err: syscall.ECONNRESET}
	}
	if err != nil {
		return nil, err
	}
	header := http.Header{headerQueued: {strconv.Itoa(f.waiting)}}
	return &http1.Reply{Status: http.StatusOK, Header: header, Body: []byte(f.id)}, nil
}

// DoOnce is Do: fake targets have no connections.
func (f *fakeTarget) DoOnce(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error) {
	return f.Do(ctx, request, deadline)
}

func (f *fakeTarget) run(ctx context.Context, request *http.Request) error {
	select {
	case f.slots <- struct{}{}:
	case <-ctx.Done():
		f.set(func(f *fakeTarget) { f.waiting-- })
		return &http1.Error{Op: "receive", Kind: http1.KindExpired, Err: ctx.Err()}
	}
	defer func() { <-f.slots }()
	f.mu.Lock()
	f.waiting--
	unresponsive, slowdown := f.unresponsive, f.slowdown
	f.runs[request.Header.Get(headerID)]++
	f.mu.Unlock()
	work, err := time.ParseDuration(request.Header.Get(headerWork))
	if err != nil {
		return err
	}
	now := time.Now()
	timer := time.NewTimer(f.pause.end(now, time.Duration(slowdown*float64(work))).Sub(now))
	defer timer.Stop()
	if unresponsive {
		timer.Stop()
	}
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &http1.Error{Op: "receive", Kind: http1.KindExpired, Err: ctx.Err()}
	}
}

// pauseSchedule is when a target pauses: for the given length once in a period.
type pauseSchedule struct {
	length, period time.Duration
	// first is when the first pause begins.
	first time.Time
}

// end returns when work that starts at the given time is done.
func (p pauseSchedule) end(start time.Time, work time.Duration) time.Time {
	if p.period == 0 {
		return start.Add(work)
	}
	for {
		pauseStart := p.first
		if since := start.Sub(p.first); since >= 0 {
			pauseStart = p.first.Add(since / p.period * p.period)
			if start.Sub(pauseStart) >= p.length {
				pauseStart = pauseStart.Add(p.period)
			}
		}
		switch {
		case !start.Before(pauseStart):
			start = pauseStart.Add(p.length)
		case start.Add(work).After(pauseStart):
			work -= pauseStart.Sub(start)
			start = pauseStart.Add(p.length)
		default:
			return start.Add(work)
		}
	}
}

// fakeDialect is the dialect of fake targets.
type fakeDialect struct{}

func (fakeDialect) Encode(request *Request, _ *fleet.Target, _ time.Duration) *http.Request {
	return &http.Request{Header: request.Header}
}

func (fakeDialect) RequestID(request *http.Request) string { return request.Header.Get(headerID) }

func (fakeDialect) RepliedID(*http1.Reply) string { return "" }

func (fakeDialect) Classify(_ *Request, reply *http1.Reply) Classification {
	queued, err := strconv.Atoi(reply.Header.Get(headerQueued))
	load := &wire.Load{Queued: queued}
	pause, pauseErr := time.ParseDuration(reply.Header.Get(headerPause))
	leaving := reply.Header.Get(headerLeaving) != ""
	limit := parseFakeLimit(reply.Header)
	switch {
	case pauseErr == nil:
		return Classification{Outcome: fleet.Shed, Load: load, Leaving: leaving, Pause: pause}
	case err != nil:
		return Classification{Outcome: fleet.Corrupt}
	case reply.Status != http.StatusOK:
		return Classification{Outcome: fleet.Shed, Load: load, Limit: limit}
	}
	return Classification{Outcome: fleet.Success, Signature: string(reply.Body), Load: load, Leaving: leaving, Limit: limit}
}

func (fakeDialect) Merge(_ *tree.Route, parts [][]byte) []byte {
	return binary.BigEndian.AppendUint32(nil, uint32(len(parts)))
}

// cluster is a set of daemons and pools of targets, in virtual time.
type cluster struct {
	// query follows the path of each request, and callerName is the value of headerCaller.
	query, callerName string
	daemons           []*Runner
	targets           map[string][]*fakeTarget
	byID              map[string]*fakeTarget
	entries           map[string][]roster.Entry
	random            *rand.Rand
	// travel is the time that a message takes between regions.
	travel time.Duration
	// connectTime is the time that a request waits for a connection.
	connectTime time.Duration

	mu      sync.Mutex
	results []requestResult
	pending sync.WaitGroup
	count   int
}

// requestResult is how one request ended.
type requestResult struct {
	route   *tree.Route
	resent  bool
	answer  *Answer
	took    time.Duration
	arrived time.Time
}

// newCluster makes pools of targets that all daemons use alike.
func newCluster(t *testing.T, daemons, replicas, slots int, names ...string) *cluster {
	t.Helper()
	c := newPools(replicas, slots, func(int, int) string { return "here" }, names...)
	for range daemons {
		c.addDaemon("here", daemons)
	}
	return c
}

// newPools makes pools of targets, with regionOf as the region of each replica of a
// pool, and no daemons.
func newPools(replicas, slots int, regionOf func(pool, replica int) string, names ...string) *cluster {
	c := &cluster{
		targets: map[string][]*fakeTarget{}, byID: map[string]*fakeTarget{}, entries: map[string][]roster.Entry{},
		random: rand.New(rand.NewPCG(1, 2)),
	}
	for pool, name := range names {
		for replica := range replicas {
			id := fmt.Sprintf("%s-%d", name, replica)
			f := &fakeTarget{
				id: id, slots: make(chan struct{}, slots), maxQueue: 12, slowdown: 1, runs: map[string]int{},
				random: rand.New(rand.NewPCG(uint64(replica), 3)),
			}
			c.byID[id] = f
			c.targets[name] = append(c.targets[name], f)
			c.entries[name] = append(c.entries[name], roster.Entry{ID: id, Pool: name, Address: id, DataCentre: regionOf(pool, replica), Slots: slots, Revision: 1})
		}
	}
	return c
}

// addDaemon adds a daemon in a region that shares the targets with others.
func (c *cluster) addDaemon(region string, sharers int) *Runner {
	targetPools := &pools.Pools{
		Daemon: strconv.Itoa(len(c.daemons)), Region: region, RegionOf: func(dataCentre string) string { return dataCentre },
		Terms: retry.Terms{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second}, Seed: uint64(len(c.daemons)),
	}
	targetPools.SetSharers(sharers, sharers, alloc.UsableFraction/float64(sharers))
	for name := range c.entries {
		targetPools.Configure(&tree.Routes{Pools: map[string]tree.Pool{name: {Name: name, Connections: 26}}})
		targetPools.Register(time.Now(), name, c.entries[name])
	}
	targetPools.SetDrainTimeout(testDrainTimeout)
	daemon := len(c.daemons)
	targetPools.OnNotice = func(pool string, t *fleet.Target, n fleet.Notice) { c.tellLimit(daemon, pool, t.ID, &n) }
	r := &Runner{
		Pools: targetPools, Dialect: fakeDialect{}, Poison: poison.New(), ResponseTimes: timing.New(),
		Connect: func(target *fleet.Target) Sender {
			gated := gatedTarget{fakeTarget: c.byID[target.ID], gate: target, daemon: daemon, connectTime: c.connectTime}
			if !target.Local {
				gated.travel = c.travel
			}
			return gated
		},
	}
	targetPools.OnRemoved = r.TargetEnded
	c.daemons = append(c.daemons, r)
	return r
}

// maxTold is the number of other daemons that a daemon tells of a target's limit, and
// noticeTime how long that takes.
const (
	maxTold    = 16
	noticeTime = 20 * time.Millisecond
)

// tellLimit tells other daemons that a target has named a limit, or none any more.
func (c *cluster) tellLimit(from int, pool, id string, n *fleet.Notice) {
	if n.Kind != fleet.NoticeLimit && n.Kind != fleet.NoticeNoLimit {
		return
	}
	for i := range min(maxTold, len(c.daemons)-1) {
		// Each daemon tells others of its neighbourhood.
		to := c.daemons[(from+1+i*max(1, len(c.daemons)/maxTold))%len(c.daemons)]
		c.pending.Go(func() {
			time.Sleep(noticeTime)
			to.Pools.Fleet(pool).RecordPeerLimit(time.Now(), id, n.Born, n.Rate)
		})
	}
}

// ask sends one request to a random daemon. Resent marks a caller's retry, which
// has less time left.
func (c *cluster) ask(route *tree.Route, work, remaining time.Duration, resent bool) {
	runner := c.daemons[c.random.IntN(len(c.daemons))]
	c.count++
	id := strconv.Itoa(c.count)
	request := &Request{
		ID: id, Method: http.MethodGet, URI: "/" + id + c.query, Header: http.Header{headerID: {id}, headerWork: {work.String()}, headerCaller: {c.callerName}},
		Arrived: time.Now(), Timeout: remaining,
	}
	c.pending.Go(func() {
		ctx, cancel := context.WithTimeoutCause(context.Background(), remaining, errors.New("the caller's time is up"))
		defer cancel()
		answer := runner.Run(ctx, request, route)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.results = append(c.results, requestResult{route: route, resent: resent, answer: answer, took: time.Since(request.Arrived), arrived: request.Arrived})
	})
}

// offer sends requests at a steady rate with exponential gaps for some time.
func (c *cluster) offer(route *tree.Route, work time.Duration, perSecond float64, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		c.ask(route, work, min(route.Timeout, testCallerTimeout), false)
		time.Sleep(time.Duration(c.random.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

// settle waits for all answers, and for attempts that go on after them.
func (c *cluster) settle() {
	c.pending.Wait()
	time.Sleep(time.Minute)
}

// shareInTime is the share of matching requests that were answered within the
// latency target, with all shards or enough of them.
func (c *cluster) shareInTime(match func(e *requestResult) bool) (share float64, count int) {
	inTime := 0
	for i := range c.results {
		e := &c.results[i]
		if !match(e) {
			continue
		}
		count++
		served := e.answer.Result == Gathered || e.answer.Result == Partial || e.answer.Result == Passed
		if served && e.took <= e.route.LatencyTarget {
			inTime++
		}
	}
	return float64(inTime) / float64(max(count, 1)), count
}
