package pools

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/retry"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const (
	// deadlockTimeout is how long calls that should return at once may take before they
	// count as stuck.
	deadlockTimeout = 5 * time.Second
	// startTime is enough for a goroutine to reach a lock.
	startTime = 50 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

// Guards against a daemon that answers no request any more after targets have rejected
// requests with room to spare: a change of the daemons that share the targets waited for a
// fleet, while that fleet waited for the pools to find out what a retry costs.
func TestRejectionsAndNewSharersDoNotDeadlock(t *testing.T) {
	p := &Pools{RegionOf: func(dataCentre string) string { return dataCentre }, Terms: retry.Terms{Ratio: 0.2, Allowance: 10, Window: time.Second}}
	p.Register(start, "label-desk", []roster.Entry{{ID: "a", Pool: "label-desk", Address: "a:1", Slots: 2, Revision: 1}})
	group := fleet.NewGroup([]*fleet.Fleet{p.Fleet("label-desk")})
	rejecting := group.Pick(start, fleet.Query{View: group.View}).Target
	group.Finish(start, rejecting, 0, fleet.Shed, 0, &wire.Load{})
	changed, picked := make(chan struct{}), make(chan struct{})
	group.RetryCost = func(now time.Time, _ int) time.Duration {
		go func() {
			defer close(changed)
			p.SetSharers(2, 2, 0.25)
		}()
		time.Sleep(startTime)
		return time.Duration(p.Budget("label-desk").SpentShare(now) * float64(time.Second))
	}
	go func() {
		defer close(picked)
		group.Pick(start, fleet.Query{View: group.View})
	}()
	timeout := time.After(deadlockTimeout)
	for _, done := range []chan struct{}{picked, changed} {
		select {
		case <-done:
		case <-timeout:
			t.Fatal("a pick and a change of the sharers wait for each other")
		}
	}
}

// Guards against two locks that are taken in both orders, on any path: requests, what their
// answers say of targets, notices of peers, registrations, and changes of the settings and
// of the daemons that share the targets, all at once. The build tag lockorder shows them on
// one core too.
func TestAllChangesAtOnce(t *testing.T) {
	const (
		pools, targets = 3, 3
		workers        = 2
		rounds         = 300
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(max(2, runtime.GOMAXPROCS(0))))
	name := func(n int) string { return fmt.Sprint("pool", n%pools) }
	p := &Pools{RegionOf: func(dataCentre string) string { return dataCentre }, Terms: retry.Terms{Ratio: 0.2, Allowance: 10, Window: time.Second}}
	var told atomic.Int64
	// visit does what a function that is told of a change may do: it uses the pools.
	visit := func(pool string) {
		told.Add(1)
		p.Budget(pool).SpentShare(time.Now())
		p.Fleet(pool).Rows(time.Now())
	}
	p.OnStateChange = func(pool string, _ *fleet.Target, _ fleet.State, _ fleet.Outcome) { visit(pool) }
	p.OnNotice = func(pool string, _ *fleet.Target, _ fleet.Notice) { visit(pool) }
	p.OnKept = func(fleet.NoticeKind) { visit(name(0)) }
	p.OnRemoved = func(*fleet.Target) { visit(name(0)) }
	register := func(random *rand.Rand, n int) {
		var entries []roster.Entry
		for i := range targets {
			id := fmt.Sprintf("%s-%d", name(n), i)
			entries = append(entries, roster.Entry{ID: id, Pool: name(n), Address: id, Slots: 2, Born: random.Int64N(2), Revision: int64(n), Leaving: random.IntN(8) == 0})
		}
		p.Register(time.Now(), name(n), entries[random.IntN(2):])
	}
	request := func(random *rand.Rand, n int) {
		var fleets []*fleet.Fleet
		for i := range pools {
			fleets = append(fleets, p.Fleet(name(i)))
		}
		g := fleet.NewGroup(fleets)
		g.RetryCost = func(now time.Time, shard int) time.Duration {
			return time.Duration(p.Budget(name(shard)).SpentShare(now) * float64(time.Second))
		}
		g.LateAfter = func(*fleet.Target) time.Duration { p.MostSpent(time.Now()); return time.Millisecond }
		shard, now := n%pools, time.Now()
		q := fleet.Query{View: g.View, Shard: shard}
		choice := g.Pick(now, q)
		if choice.Target == nil {
			g.Wait(now, q, 0, func(int) { visit(name(0)) })()
			return
		}
		p.Connections(choice.Target).Gate.Admit(now)
		limit := float64(random.IntN(50))
		says := []fleet.Statement{{}, {}, {}, {Leaving: true}, {Pause: time.Millisecond}, {Limit: &limit}, {Answered: true, Sent: now}}
		g.RecordStatement(now, choice.Target, shard, says[random.IntN(len(says))])
		outcomes := []fleet.Outcome{fleet.Success, fleet.Success, fleet.Shed, fleet.Refused, fleet.Broken, fleet.Crowded, fleet.Withheld}
		g.Finish(time.Now(), choice.Target, shard, outcomes[random.IntN(len(outcomes))], 0.001, &wire.Load{})
	}
	changes := []func(random *rand.Rand, n int){
		request, request, request,
		register,
		func(random *rand.Rand, n int) { p.SetSharers(1+n%5, 1, random.Float64()) },
		func(_ *rand.Rand, n int) { p.SetDrainTimeout(time.Duration(n) * time.Millisecond) },
		func(*rand.Rand, int) { p.SetTerms(retry.Terms{Ratio: 0.2, Allowance: 10, Window: time.Second}) },
		func(_ *rand.Rand, n int) {
			p.Configure(&tree.Routes{Pools: map[string]tree.Pool{name(n): {Name: name(n), Connections: 10 + n%9}}})
		},
		func(_ *rand.Rand, n int) {
			now, id := time.Now(), fmt.Sprintf("%s-%d", name(n), n%targets)
			p.Fleet(name(n)).RecordPeerLimit(now, id, int64(n%2), float64(n%7))
			p.Fleet(name(n)).RecordPeerLoss(id, now)
			p.Fleet(name(n)).RecordPeerStall(now, id, time.Millisecond)
		},
		func(*rand.Rand, int) { p.Sweep(time.Now()); p.MostSpent(time.Now()) },
	}
	var running sync.WaitGroup
	for i, change := range changes {
		for worker := range workers {
			running.Go(func() {
				random := rand.New(rand.NewPCG(uint64(i), uint64(worker)))
				for n := range rounds {
					change(random, n)
				}
			})
		}
	}
	done := make(chan struct{})
	go func() {
		running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(6 * deadlockTimeout):
		t.Fatal("calls wait for each other")
	}
	if told.Load() == 0 {
		t.Error("no function was called")
	}
}
