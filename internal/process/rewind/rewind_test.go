package rewind

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/sleep"
)

// deployment is the size of a tier, and what operators and the store demand of it.
type deployment struct {
	daemons, centres, targets int
	// bound is the time within which a change has to be in force, and reads and writes half of
	// the calls that the store grants in a second.
	bound         time.Duration
	reads, writes int
	// seeds is the number of seeds in CI; the large tiers take minutes with the race detector.
	seeds int
}

var deployments = []deployment{
	{3, 3, 12, 4 * time.Second, 1000, 200, 10},
	{24, 6, 16, 6 * time.Second, 3000, 600, 1},
	{60, 6, 24, 6 * time.Second, 3000, 600, 0},
	{300, 6, 40, 8 * time.Second, 8000, 1600, 0},
}

// Guards against a tier that goes on with what a store held before it was put back to an older
// copy, or takes what the copy holds for news.
func TestTier(t *testing.T) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	for _, d := range deployments {
		first, seeds := uint64(1), d.seeds
		if text := os.Getenv("REWIND_SEEDS"); text != "" {
			from, to, isRange := strings.Cut(text, "-")
			if !isRange {
				from, to = "1", text
			}
			first, seeds = parse(t, from), int(parse(t, to)-parse(t, from)+1)
		}
		t.Run(fmt.Sprintf("daemons=%d", d.daemons), func(t *testing.T) {
			for seed := first; seed < first+uint64(seeds); seed++ {
				t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { play(t, &d, seed) })
				})
			}
		})
	}
}

func parse(t *testing.T, text string) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// plan is what happens to the store and the daemons by a seed.
type plan struct {
	// away is when the store goes away, age that of the copy, and outage how long the store is away.
	away, age, outage time.Duration
	// twice is true if the store is put back once more, and restarts if a daemon restarts after that.
	leasesPaused, twice, restarts bool
	// late are the daemons that reach the store later than others, by how much. One, never, does not
	// reach it any more, and one, always, does.
	late          map[string]time.Duration
	never, always string
	trouble       faults
	random        *rand.Rand
}

func (p *plan) upTo(most time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(int64(most)))
}

func newPlan(dep *deployment, seed uint64) *plan {
	p := &plan{random: rand.New(rand.NewPCG(seed, uint64(dep.daemons))), late: map[string]time.Duration{}}
	p.away = 3*time.Second + p.upTo(2*time.Second)
	p.age = 50*time.Millisecond + p.upTo(3*time.Second)
	p.outage = 100*time.Millisecond + p.upTo(3*time.Second)
	p.leasesPaused, p.twice, p.restarts = p.random.IntN(2) == 0, p.random.IntN(3) == 0, p.random.IntN(3) == 0
	p.trouble.silent = p.random.IntN(2) == 0
	if p.random.IntN(2) == 0 {
		p.trouble.lost, p.trouble.late = 0.05, 0.1
	}
	p.never, p.always = nameOf(int(seed)%dep.daemons), nameOf(int(seed+1)%dep.daemons)
	share := []float64{0, 0.1, 0.4}[p.random.IntN(3)]
	for i := range dep.daemons {
		if name := nameOf(i); name != p.never && name != p.always && p.random.Float64() < share {
			p.late[name] = p.upTo(6 * time.Second)
		}
	}
	return p
}

// play plays one seed.
func play(t *testing.T, dep *deployment, seed uint64) {
	p := newPlan(dep, seed)
	// One store in eight is of before and names no era.
	s := newStore(10+p.random.IntN(300), int64(min(1, p.random.IntN(8))))
	t.Logf("plan %+v, era %d, history %d", *p, s.era, s.keptHistory)
	began := time.Now()
	s.mu.Lock()
	world := newWorld(s, rand.New(rand.NewPCG(seed, 1)), dep.targets, dep.bound)
	s.mu.Unlock()
	check := &check{world: world, bound: dep.bound, began: began, kinds: map[string]int{}}
	w := &tier{store: s, check: check, meter: meter.New(), random: rand.New(rand.NewPCG(seed, 2)), daemons: map[string]*daemon{}}
	var records []member.Member
	for i := range dep.daemons {
		records = append(records, record(i, dep.centres, 1))
	}
	for i := range records {
		w.start(records[i], records, nil)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	last := began.Add(p.away + p.outage + 5*time.Second)
	running.Go(func() {
		world.run(ctx, func(now time.Time) bool { return now.Sub(began) > time.Second && now.Before(last) })
	})
	running.Go(func() {
		interval := 100 * time.Millisecond
		if dep.daemons > 100 {
			interval = 500 * time.Millisecond
		}
		for sleep.For(ctx, interval) {
			check.deadlines(w.all())
		}
	})

	returned := w.putBack(p)
	if p.restarts {
		time.Sleep(p.upTo(3 * time.Second))
		w.kill(w.find(p.always))
		time.Sleep(300 * time.Millisecond)
		w.start(record(int(seed+1)%dep.daemons, dep.centres, 2), nil, []string{p.never, nameOf(int(seed+2) % dep.daemons)})
	}
	time.Sleep(4 * time.Second)
	settled := time.Now()
	for _, d := range w.all() {
		settled = latest(settled, returned.Add(p.late[d.name]))
		d.client.setFaults(func(f *faults) { f.lost, f.late = 0, 0 })
	}
	spread := time.Duration(dep.daemons) * 2 * time.Second / 200
	time.Sleep(time.Until(settled.Add(dep.bound + spread)))
	check.recovered(s, slices.DeleteFunc(w.all(), func(d *daemon) bool { return d.name == p.never }))
	time.Sleep(time.Until(latest(returned, last).Add(copyGrace + time.Second)))
	check.converged(s, w.all())
	reads, writes := s.rates(returned, returned.Add(10*time.Second))
	if reads > dep.reads || writes > dep.writes {
		check.fault("too many calls", "%d reads and %d writes in a second", reads, writes)
	}
	cancel()
	running.Wait()
	for _, d := range w.all() {
		w.kill(d)
	}
	t.Logf("%d events, era %d, settings %d; at most %d reads and %d writes in a second of the recovery; calls %v", world.events, s.era, world.number, reads, writes, s.kinds)
	// Calls that nobody waits for end by their time-outs.
	time.Sleep(10 * time.Second)
	for _, fault := range check.faults {
		t.Error(fault)
	}
	if len(check.kinds) > 0 {
		t.Errorf("faults %v", check.kinds)
	}
}

// putBack puts the store back by the plan and returns when it last returned.
func (w *tier) putBack(p *plan) time.Time {
	time.Sleep(p.away - p.age)
	w.store.mu.Lock()
	older := w.store.clone()
	w.store.mu.Unlock()
	time.Sleep(p.age)
	w.store.setAway()
	for _, d := range w.all() {
		after, isLate := p.late[d.name]
		d.client.setFaults(func(f *faults) {
			*f = p.trouble
			f.cutOff = isLate || d.name == p.never
		})
		if isLate {
			time.AfterFunc(p.outage+after, func() { d.client.setFaults(func(f *faults) { f.cutOff = false }) })
		}
	}
	time.Sleep(p.outage)
	w.store.putBack(older, p.leasesPaused)
	if p.twice {
		time.Sleep(p.upTo(4 * time.Second))
		w.store.setAway()
		time.Sleep(200*time.Millisecond + p.upTo(time.Second))
		w.store.putBack(older, p.leasesPaused)
	}
	return time.Now()
}
