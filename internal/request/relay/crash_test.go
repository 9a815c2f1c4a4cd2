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

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/pools"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

const (
	headerDeadly = "Deadly"
	// crashDaemons and crashReplicas are the sizes of the tier in tests of crashes.
	crashDaemons  = 3
	crashReplicas = 5
	// deadlyURI is that of the request that crashes targets, and popularURI that of a
	// harmless one that is sent often.
	deadlyURI  = "/deadly"
	popularURI = "/popular"
	// deadlyInterval is the time between two sends of the deadly request, and
	// deadlyTime how long it is sent.
	deadlyInterval = 250 * time.Millisecond
	deadlyTime     = 8 * time.Second
	// harmlessRate is the number of harmless requests a second, and gatherRate if each is
	// sent to 20 shards.
	harmlessRate = 120.0
	gatherRate   = 80.0
	// quarantineTime is the time after the third crash by which the tier must hold a
	// deadly request back, and maxLateRetries how many retries may reach targets later.
	quarantineTime = 4 * time.Second
	maxLateRetries = 3
	// suspectDelay is how long news of suspects takes from one daemon to the others.
	suspectDelay = 50 * time.Millisecond
)

// crashPlan is how targets behave in a test of crashes.
type crashPlan struct {
	// downFor is the time for which a crashed target refuses connections, and
	// sameID is true if it comes back under the ID that it had.
	downFor time.Duration
	sameID  bool
	// silent targets fall silent instead of resetting connections.
	silent bool
	// deregister removes the registration of a crashed target after this time; zero
	// means when it comes back.
	deregister time.Duration
	// earlyRejections is the share of deadly requests that a target rejects with a 4xx
	// status without running them.
	earlyRejections float64
	// lostAnswers is the share of harmless requests whose answer is lost.
	lostAnswers float64
	// otherCrashes is the time between crashes of other targets for other reasons.
	otherCrashes time.Duration
	// pauses makes each target ask for pauses now and then.
	pauses bool
	// restarts is the time between restarts of daemons, in turn. A restarted one is told
	// of suspects by the next heartbeat of the others.
	restarts time.Duration
	// together is the number of daemons that get the deadly request at the same moment.
	together int
}

// mortalTarget is a target that crashes when it begins to run a deadly request.
type mortalTarget struct {
	*fakeTarget
	tier *mortalTier

	crashed   chan struct{}
	downUntil time.Time
}

// mortalTier is a cluster of mortal targets.
type mortalTier struct {
	*cluster
	plan    crashPlan
	mu      sync.Mutex
	random  *rand.Rand
	targets map[string]*mortalTarget
	boots   int
	// crashes are the times at which a deadly request crashed a target, and reached those
	// at which each send of it reached targets.
	crashes []time.Time
	reached map[string][]time.Time
}

func (t *mortalTier) chance(share float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < share
}

// Do runs a request, which ends without an answer if the target crashes meanwhile.
func (m *mortalTarget) Do(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error) {
	t := m.tier
	t.mu.Lock()
	if time.Now().Before(m.downUntil) {
		t.mu.Unlock()
		if t.plan.silent {
			return unanswered(ctx, deadline)
		}
		return nil, &http1.Error{Op: "connect", Kind: http1.KindNotSent, Err: syscall.ECONNREFUSED}
	}
	crashed := m.crashed
	t.mu.Unlock()
	if request.Header.Get(headerDeadly) != "" {
		id := request.Header.Get(headerID)
		t.mu.Lock()
		t.reached[id] = append(t.reached[id], time.Now())
		t.mu.Unlock()
		if t.chance(t.plan.earlyRejections) {
			return &http1.Reply{Status: http.StatusRequestEntityTooLarge, Header: http.Header{headerQueued: {"0"}}}, nil
		}
		t.crash(m, true)
		if t.plan.silent {
			return unanswered(ctx, deadline)
		}
		return nil, &http1.Error{Op: "receive", Kind: http1.KindBroken, Err: syscall.ECONNRESET}
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-crashed:
			cancel()
		case <-runCtx.Done():
		}
	}()
	reply, err := m.fakeTarget.Do(runCtx, request, deadline)
	select {
	case <-crashed:
		if t.plan.silent {
			return unanswered(ctx, deadline)
		}
		// The connections of a crashed target break one after the other.
		time.Sleep(time.Millisecond)
		return nil, &http1.Error{Op: "receive", Kind: http1.KindBroken, Err: syscall.ECONNRESET}
	default:
	}
	if err == nil && reply.Status == http.StatusOK && t.chance(t.plan.lostAnswers) {
		return nil, &http1.Error{Op: "receive", Kind: http1.KindBroken, Err: syscall.ECONNRESET}
	}
	return reply, err
}

// unanswered waits for a reply that never comes.
func unanswered(ctx context.Context, deadline time.Time) (*http1.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	<-ctx.Done()
	return nil, &http1.Error{Op: "receive", Kind: http1.KindExpired, Err: ctx.Err()}
}

// DoOnce is Do: fake targets have no connections.
func (m *mortalTarget) DoOnce(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error) {
	return m.Do(ctx, request, deadline)
}

// Probe finds out whether the target listens.
func (m *mortalTarget) Probe(ctx context.Context) error {
	m.tier.mu.Lock()
	down := time.Now().Before(m.downUntil)
	m.tier.mu.Unlock()
	switch {
	case down && m.tier.plan.silent:
		_, err := unanswered(ctx, time.Now().Add(time.Second))
		return err
	case down:
		return &http1.Error{Op: "connect", Kind: http1.KindNotSent, Err: syscall.ECONNREFUSED}
	}
	return nil
}

// crash ends a target's process and starts the next one later.
func (t *mortalTier) crash(m *mortalTarget, deadly bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().Before(m.downUntil) {
		return
	}
	if deadly {
		t.crashes = append(t.crashes, time.Now())
	}
	m.downUntil = time.Now().Add(t.plan.downFor)
	close(m.crashed)
	m.crashed = make(chan struct{})
	t.pending.Go(func() { t.restart(m) })
}

// restart changes the registration of a crashed target.
func (t *mortalTier) restart(m *mortalTarget) {
	name := poolOf(m.id)
	if t.plan.deregister > 0 {
		time.Sleep(t.plan.deregister)
		t.register(name, func(e *roster.Entry) bool { return e.Address != m.id })
	}
	time.Sleep(max(0, t.plan.downFor-t.plan.deregister))
	t.mu.Lock()
	t.boots++
	boot := t.boots
	replica := slices.IndexFunc(t.cluster.targets[name], func(f *fakeTarget) bool { return f.id == m.id })
	t.mu.Unlock()
	entry := roster.Entry{ID: m.id, Pool: name, Address: m.id, DataCentre: "here", Slots: cap(m.slots), Revision: int64(boot) + 1, Born: int64(boot)}
	if !t.plan.sameID {
		entry.ID = fmt.Sprintf("%s-%d.%d", name, replica, boot)
	}
	t.register(name, func(e *roster.Entry) bool { return e.Address != m.id }, entry)
}

// register keeps some registrations of a pool, adds others, and tells all daemons.
func (t *mortalTier) register(name string, keep func(e *roster.Entry) bool, added ...roster.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var entries []roster.Entry
	for _, e := range t.entries[name] {
		if keep(&e) {
			entries = append(entries, e)
		}
	}
	t.entries[name] = append(entries, added...)
	for _, r := range t.daemons {
		r.Pools.(*pools.Pools).Register(time.Now(), name, slices.Clone(t.entries[name]))
	}
}

func newMortalTier(t *testing.T, seed uint64, plan crashPlan, names ...string) *mortalTier {
	t.Helper()
	tier := &mortalTier{
		cluster: newCluster(t, 0, crashReplicas, 3, names...), plan: plan, random: rand.New(rand.NewPCG(seed, 7)),
		targets: map[string]*mortalTarget{}, reached: map[string][]time.Time{},
	}
	tier.cluster.random = rand.New(rand.NewPCG(seed, 8))
	for id, f := range tier.byID {
		tier.targets[id] = &mortalTarget{fakeTarget: f, tier: tier, crashed: make(chan struct{})}
	}
	for range crashDaemons {
		tier.startDaemon()
	}
	return tier
}

// startDaemon adds a daemon that knows nothing yet.
func (t *mortalTier) startDaemon() *Runner {
	r := t.addDaemon("here", crashDaemons)
	r.Dialect = rejectingDialect{}
	r.Connect = func(target *fleet.Target) Sender { return t.targets[target.Address] }
	return r
}

// restartDaemon replaces a daemon.
func (t *mortalTier) restartDaemon(index int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.startDaemon()
	t.daemons = t.daemons[:len(t.daemons)-1]
	t.daemons[index] = r
}

// rejectingDialect takes a 4xx reply for a failure.
type rejectingDialect struct{ fakeDialect }

func (d rejectingDialect) Classify(request *Request, reply *http1.Reply) Classification {
	if reply.Status == http.StatusRequestEntityTooLarge {
		return Classification{Outcome: fleet.Failed}
	}
	return d.fakeDialect.Classify(request, reply)
}

// send sends a request to one daemon.
func (t *mortalTier) send(r *Runner, route *tree.Route, id, uri string, deadly bool) {
	header := http.Header{headerID: {id}, headerWork: {workTime.String()}}
	if deadly {
		header.Set(headerDeadly, "1")
	}
	request := &Request{ID: id, Method: http.MethodGet, URI: uri, Header: header, Arrived: time.Now(), Timeout: time.Second}
	t.pending.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		answer := r.Run(ctx, request, route)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.results = append(t.results, requestResult{route: route, resent: deadly, answer: answer, arrived: request.Arrived})
	})
}

// shareSuspects tells each daemon what the others suspect, until the given time.
func (t *mortalTier) shareSuspects(until time.Time) {
	t.pending.Go(func() {
		for ; time.Now().Before(until); time.Sleep(suspectDelay) {
			t.mu.Lock()
			daemons := slices.Clone(t.daemons)
			t.mu.Unlock()
			for _, from := range daemons {
				entries := from.Poison.Entries(time.Now(), 8)
				for _, to := range daemons {
					if from != to {
						to.Poison.Merge(time.Now(), entries)
					}
				}
			}
		}
	})
}

// play sends harmless requests, and after two seconds the deadly one as well.
func (t *mortalTier) play(route *tree.Route) {
	start := time.Now()
	end := start.Add(2*time.Second + deadlyTime)
	t.shareSuspects(end)
	deadlyAt, otherAt, pauseAt := start.Add(2*time.Second), start.Add(2*time.Second), start
	restartAt := start.Add(2 * time.Second)
	rate := harmlessRate
	if len(route.Gather) > 0 {
		rate = gatherRate
	}
	for n := 0; time.Now().Before(end); n++ {
		now := time.Now()
		if !now.Before(deadlyAt) {
			first := t.cluster.random.IntN(len(t.daemons))
			for i := range max(1, t.plan.together) {
				t.send(t.daemons[(first+i)%len(t.daemons)], route, fmt.Sprint("deadly", n, ".", i), deadlyURI, true)
			}
			deadlyAt = deadlyAt.Add(deadlyInterval)
		}
		if t.plan.otherCrashes > 0 && !now.Before(otherAt) {
			ids := make([]string, 0, len(t.targets))
			for id := range t.targets {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			t.crash(t.targets[ids[t.cluster.random.IntN(len(ids))]], false)
			otherAt = otherAt.Add(t.plan.otherCrashes)
		}
		if t.plan.restarts > 0 && !now.Before(restartAt) {
			t.restartDaemon(n % len(t.daemons))
			restartAt = restartAt.Add(t.plan.restarts)
		}
		if t.plan.pauses && !now.Before(pauseAt) {
			for _, m := range t.targets {
				if t.chance(0.2) {
					m.set(func(f *fakeTarget) { f.rejectRate = 1 - f.rejectRate })
				}
			}
			pauseAt = pauseAt.Add(300 * time.Millisecond)
		}
		uri := "/" + strconv.Itoa(n)
		if t.cluster.random.IntN(4) == 0 {
			uri = popularURI
		}
		t.send(t.daemons[t.cluster.random.IntN(len(t.daemons))], route, strconv.Itoa(n), uri, false)
		time.Sleep(time.Duration(t.cluster.random.ExpFloat64() / rate * float64(time.Second)))
	}
	t.settle()
}

// check checks that few sends of the deadly request reached targets later than
// quarantineTime after the third crash, and that no harmless request is held back.
func (t *mortalTier) check(test *testing.T) {
	test.Helper()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashes) < 3 {
		test.Logf("%d crashes", len(t.crashes))
		return
	}
	late := 0
	for _, times := range t.reached {
		if slices.ContainsFunc(times, func(at time.Time) bool { return at.After(t.crashes[2].Add(quarantineTime)) }) {
			late++
		}
	}
	test.Logf("%d crashes, %d sends reached targets, %d of them late", len(t.crashes), len(t.reached), late)
	if late > maxLateRetries {
		test.Errorf("%d sends reached targets later than %v after the third crash", late, quarantineTime)
	}
	for i, r := range t.daemons {
		if count := r.Poison.Count(time.Now().Add(-time.Minute)); count > 1 {
			test.Errorf("daemon %d holds back %d requests, of which one is deadly", i, count)
		}
	}
	served, harmless := 0, 0
	last := t.crashes[len(t.crashes)-1]
	for i := range t.results {
		if e := &t.results[i]; !e.resent && e.arrived.After(last.Add(quarantineTime)) {
			harmless++
			if e.answer.Result == Gathered || e.answer.Result == Passed {
				served++
			}
		}
	}
	test.Logf("%d of %d harmless requests served after the last crash", served, harmless)
	if t.plan.otherCrashes == 0 && !t.plan.pauses && t.plan.lostAnswers == 0 && float64(served) < 0.98*float64(harmless) {
		test.Errorf("%d of %d harmless requests served after the last crash", served, harmless)
	}
}

// Guards against a request that is sent on and on although each target that runs it
// crashes, and against harmless requests that are held back in its place.
func TestDeadlyRequestsAreHeldBack(t *testing.T) {
	const (
		seeds = 5
		// gatherSeeds is the number of seeds of gathers, which take ten times as long.
		gatherSeeds = 2
	)
	plans := []struct {
		name string
		plan crashPlan
	}{
		{"crashed targets refuse connections", crashPlan{downFor: 2 * time.Second, sameID: true}},
		{"crashed targets come back under another ID", crashPlan{downFor: 1200 * time.Millisecond}},
		{"crashed targets come back at once", crashPlan{downFor: 5 * time.Millisecond, sameID: true}},
		{"crashed targets are deregistered at once", crashPlan{downFor: 1200 * time.Millisecond, deregister: time.Millisecond}},
		{"crashed targets fall silent", crashPlan{downFor: 2 * time.Second, silent: true, deregister: time.Second}},
		{"targets reject some requests unread", crashPlan{downFor: time.Second, sameID: true, earlyRejections: 0.3}},
		{"targets lose answers", crashPlan{downFor: time.Second, lostAnswers: 0.1}},
		{"other targets crash", crashPlan{downFor: time.Second, otherCrashes: 300 * time.Millisecond}},
		{"targets reject what they get by turns", crashPlan{downFor: time.Second, pauses: true}},
		{"daemons restart in turn", crashPlan{downFor: time.Second, restarts: 400 * time.Millisecond}},
		{"all daemons get the request at once", crashPlan{downFor: time.Second, together: crashDaemons}},
	}
	gather := historyRoute()
	gather.MaxAttempts = 2
	single := &tree.Route{
		Name: "single", Idempotent: true, MaxAttempts: 2, Timeout: 2 * time.Second, LatencyTarget: 400 * time.Millisecond,
		Split: []tree.Share{{Pool: gather.Gather[0], Weight: 1}},
	}
	for _, p := range plans {
		for _, route := range []*tree.Route{gather, single} {
			count := uint64(seeds)
			if route == gather {
				count = gatherSeeds
			}
			for seed := range count {
				t.Run(fmt.Sprintf("%s/%s/%d", p.name, route.Name, seed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						tier := newMortalTier(t, seed, p.plan, gather.Gather...)
						tier.play(route)
						tier.check(t)
					})
				})
			}
		}
	}
}

// Guards against a deadly request that counts as harmless since a target rejected it
// unread, with a status that is passed on to the caller.
func TestRejectionClearsNoSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := newMortalTier(t, 1, crashPlan{earlyRejections: 1}, "s00")
		route := &tree.Route{
			Name: "single", Idempotent: true, MaxAttempts: 1, Timeout: time.Second, LatencyTarget: time.Second, Split: []tree.Share{{Pool: "s00", Weight: 1}},
		}
		r := tier.daemons[0]
		fingerprint := poison.Fingerprint(http.MethodGet, "", deadlyURI, "")
		for i, target := range []string{"a", "b"} {
			time.Sleep(time.Second)
			r.Poison.Lost(time.Now(), poison.Query{Fingerprint: fingerprint}, poison.Loss{Target: target, Domain: target, RanMillis: int64(i)})
			if i == 0 {
				tier.send(r, route, "rejected", deadlyURI, true)
				tier.pending.Wait()
			}
		}
		if len(tier.results) != 1 || tier.results[0].answer.Result != Passed {
			t.Fatalf("results %+v, want the rejection", tier.results)
		}
		if _, quarantined := r.Poison.Quarantined(time.Now(), fingerprint); !quarantined {
			t.Error("the request is not held back after two losses and a rejection")
		}
	})
}

// Guards against second attempts of a request that is held back since its first ones,
// here and at a peer that gathers for another daemon.
func TestRequestInProgressIsHeldBack(t *testing.T) {
	route := historyRoute()
	route.MaxAttempts = 2
	assist := func(r *Runner, id string) {
		body, err := codec.Encode(&remoteRequest{
			ID: id, Route: route.Name, Method: http.MethodGet, URI: deadlyURI, Header: http.Header{headerID: {id}, headerWork: {workTime.String()}},
			Pools: route.Gather, LeftMillis: 2000, SoonMillis: 1000, LateMillis: 2000, Top: 10, MaxAttempts: 2,
		})
		if err != nil {
			panic(err)
		}
		confirmed := make(chan struct{})
		close(confirmed)
		r.Assist(context.Background(), body, confirmed)
	}
	for _, tt := range []struct {
		name string
		run  func(tier *mortalTier, r *Runner)
	}{
		{"asked by a caller", func(tier *mortalTier, r *Runner) { tier.send(r, route, "late", deadlyURI, false) }},
		{"asked by a daemon", func(tier *mortalTier, r *Runner) { tier.pending.Go(func() { assist(r, "late") }) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tier := newMortalTier(t, 1, crashPlan{}, route.Gather...)
				for _, m := range tier.targets {
					m.set(func(f *fakeTarget) { f.lossRate = 1 })
				}
				r := tier.daemons[0]
				tt.run(tier, r)
				// The first attempts run, and their answers will be lost.
				time.Sleep(5 * time.Millisecond)
				fingerprint := poison.Fingerprint(http.MethodGet, "", deadlyURI, "")
				for i, target := range []string{"a", "b"} {
					r.Poison.Lost(time.Now(), poison.Query{Fingerprint: fingerprint}, poison.Loss{Target: target, Domain: target, RanMillis: int64(-i)})
				}
				tier.settle()
				runs := 0
				for _, m := range tier.targets {
					m.set(func(f *fakeTarget) { runs += f.runs["late"] })
				}
				if runs > len(route.Gather) {
					t.Errorf("the request ran on %d targets of %d shards", runs, len(route.Gather))
				}
			})
		})
	}
}

// Guards against a daemon that sends a request itself after its peer has found out that
// targets crash while they run it.
func TestAskerLearnsOfCrashesAtItsPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := historyRoute()
		route.MaxAttempts = 2
		tier := newMortalTier(t, 1, crashPlan{downFor: 2 * time.Second, sameID: true}, route.Gather...)
		asker := tier.addDaemon("away", crashDaemons)
		asker.Connect = func(target *fleet.Target) Sender { return tier.targets[target.Address] }
		asker.RemotePeers = &fakePeer{runner: tier.daemons[0]}
		tier.send(asker, route, "deadly", deadlyURI, true)
		tier.settle()
		// One attempt a shard, and those of a shard or two until the peer knows.
		tier.mu.Lock()
		defer tier.mu.Unlock()
		if most := len(route.Gather) + 3; len(tier.reached["deadly"]) > most {
			t.Errorf("the request reached %d targets of %d shards", len(tier.reached["deadly"]), len(route.Gather))
		}
	})
}

// Guards against answers that are ready and not delivered, since the request has been
// quarantined meanwhile.
func TestQuarantineDeliversWhatIsReady(t *testing.T) {
	for _, missing := range []int{0, 1} {
		t.Run(fmt.Sprint(missing, " shards missing"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := historyRoute()
				tier := newMortalTier(t, 1, crashPlan{}, route.Gather...)
				for _, name := range route.Gather[:missing] {
					for _, f := range tier.cluster.targets[name] {
						f.set(func(f *fakeTarget) { f.unresponsive = true })
					}
				}
				r := tier.daemons[0]
				tier.send(r, route, "known", deadlyURI, false)
				// The answers of the other shards have arrived, and the answer in part is not due.
				time.Sleep(2 * workTime)
				fingerprint := poison.Fingerprint(http.MethodGet, "", deadlyURI, "")
				for i, target := range []string{"a", "b", "c"} {
					r.Poison.Lost(time.Now(), poison.Query{Fingerprint: fingerprint}, poison.Loss{Target: target, Domain: target, RanMillis: int64(-i)})
				}
				tier.settle()
				answer := tier.results[0].answer
				want := Gathered
				if missing > 0 {
					want = Partial
				}
				if answer.Result != want || answer.Missing != missing {
					t.Errorf("%s, %d missing, want %s, %d", answer.Result, answer.Missing, want, missing)
				}
			})
		})
	}
}
