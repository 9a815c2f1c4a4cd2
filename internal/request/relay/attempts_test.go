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
	"github.com/magnoliarelay/magnoliarelay/internal/process/repeat"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

const (
	// seedsOfAttempts is the number of random towns.
	seedsOfAttempts = 40
	// daemonsOfRegion take the work of callers in each of two regions.
	daemonsOfRegion = 2
	// timeOfTown is how long callers come, and troubleEvery the time between changes
	// of what is wrong.
	timeOfTown   = 24 * time.Second
	troubleEvery = 700 * time.Millisecond
	// queriesOfTown is the number of gathers in a second.
	queriesOfTown = 12.0
)

// arrival is one attempt that reached a target.
type arrival struct {
	pool, request string
	at            time.Time
}

// tally counts what reaches targets.
type tally struct {
	mu       sync.Mutex
	arrivals []arrival
}

// watched counts the attempts that reach a target.
type watched struct {
	*fakeTarget
	pool  string
	tally *tally
}

// Do counts the attempt and passes it on.
func (s *watched) Do(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error) {
	s.tally.mu.Lock()
	s.tally.arrivals = append(s.tally.arrivals, arrival{pool: s.pool, request: request.Header.Get(headerID), at: time.Now()})
	s.tally.mu.Unlock()
	return s.fakeTarget.Do(ctx, request, deadline)
}

// strangers are the daemons of the other region, whose messages are late or lost.
type strangers struct {
	runners []*Runner
	random  *rand.Rand
	mu      sync.Mutex
}

func (s *strangers) Peer(string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.random.IntN(len(s.runners))), true
}

func (s *strangers) Failed(string) {}

// delay is the way of one message: often the usual one, at times much longer.
func (s *strangers) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.IntN(4) > 0 {
		return wayOfTown
	}
	return wayOfTown + time.Duration(s.random.IntN(int(300*time.Millisecond)))
}

// lost reports whether a message does not arrive.
func (s *strangers) lost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(20) == 0
}

func (s *strangers) Ask(ctx context.Context, peer string, body []byte, accepted func() bool) ([]byte, error) {
	if s.lost() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(s.delay())
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(s.delay(), cancel) })()
	confirmed, reply := make(chan struct{}), make(chan []byte, 1)
	index := 0
	if _, err := fmt.Sscan(peer, &index); err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		reply <- s.runners[index].Assist(work, body, confirmed)
	}()
	time.Sleep(s.delay())
	if ctx.Err() != nil || !accepted() {
		// The peer hears of it later still.
		time.Sleep(s.delay())
		cancel()
		<-ended
		return nil, errPeerLate
	}
	if !s.lost() {
		time.AfterFunc(s.delay(), func() { close(confirmed) })
	}
	select {
	case data := <-reply:
		time.Sleep(s.delay())
		return data, nil
	case <-ctx.Done():
		time.Sleep(s.delay())
		cancel()
		<-ended
		return nil, ctx.Err()
	}
}

// newTroubledTown has targets of each pool in both regions, those of some pools in
// one only.
func newTroubledTown(t *testing.T, seed uint64, route *tree.Route) (*cluster, *tally) {
	t.Helper()
	w := newCluster(t, 0, 3, 3, route.Gather...)
	w.random = rand.New(rand.NewPCG(seed, 11))
	for i, name := range route.Gather {
		for replica := range w.entries[name] {
			if (i+replica)%3 == 0 || i%5 == 0 {
				w.entries[name][replica].DataCentre = "away"
			}
		}
	}
	sums := &tally{}
	regions := map[string][]*Runner{}
	for _, region := range []string{"here", "away"} {
		for range daemonsOfRegion {
			r := w.addDaemon(region, 2*daemonsOfRegion)
			r.Connect = func(target *fleet.Target) Sender {
				m := w.byID[target.ID]
				return &watched{fakeTarget: m, pool: poolOf(target.ID), tally: sums}
			}
			regions[region] = append(regions[region], r)
		}
	}
	for i, r := range w.daemons {
		other := regions["away"]
		if i >= daemonsOfRegion {
			other = regions["here"]
		}
		r.Far = &strangers{runners: other, random: rand.New(rand.NewPCG(seed, uint64(i)))}
	}
	return w, sums
}

// poolOf is the pool of a machine's name.
func poolOf(id string) string { return id[:len(id)-len("-0")] }

// trouble changes what is wrong with some targets.
func (w *cluster) trouble(route *tree.Route) {
	for _, name := range route.Gather {
		for _, m := range w.targets[name] {
			if w.random.IntN(4) > 0 {
				continue
			}
			m.set(func(m *fakeTarget) {
				m.slowdown, m.lossRate, m.unresponsive, m.maxQueue = 1, 0, false, 12
				switch w.random.IntN(7) {
				case 0:
					m.slowdown = 8
				case 1:
					m.lossRate = 0.3
				case 2:
					m.unresponsive = true
				case 3:
					m.maxQueue = 0
				}
			})
		}
	}
}

// Guards against repeats beyond a route's attempts and beyond the budget of all
// daemons. Pattern: targets are slow, dark, full or lose answers by turns, while
// daemons gather for each other over links on which messages are late and lost.
func TestTroubledTierKeepsToItsAttempts(t *testing.T) {
	for seed := range uint64(seedsOfAttempts) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				route := historyRoute()
				route.MaxAttempts = 1 + int(seed)%3
				w, sums := newTroubledTown(t, seed, route)
				var asked []time.Time
				for end := time.Now().Add(timeOfTown); time.Now().Before(end); {
					w.trouble(route)
					for next := time.Now().Add(troubleEvery); time.Now().Before(next); {
						asked = append(asked, time.Now())
						w.ask(route, workOfTown, testCallerTimeout, false)
						time.Sleep(time.Duration(w.random.ExpFloat64() / queriesOfTown * float64(time.Second)))
					}
				}
				w.settle()
				w.checkAttempts(t, route)
				for _, name := range route.Gather {
					checkBudget(t, name, asked, sums.extras(name), repeat.Terms{Ratio: 0.2, Slack: 56, Window: 10 * time.Second})
				}
			})
		})
	}
}

// checkAttempts reports requests that ran on more targets of a pool than the route
// allows.
func (w *cluster) checkAttempts(t *testing.T, route *tree.Route) {
	t.Helper()
	for _, name := range route.Gather {
		ran := map[string]int{}
		for _, m := range w.targets[name] {
			m.set(func(m *fakeTarget) {
				for id := range m.runs {
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

// extras lists when attempts beyond the first of their request reached a pool.
func (s *tally) extras(pool string) []time.Time {
	var extras []time.Time
	seen := map[string]bool{}
	for _, a := range s.arrivals {
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

// checkBudget compares the extras of each window with what its requests, or those
// of the window before or of half a window before, allow.
func checkBudget(t *testing.T, pool string, asked, extras []time.Time, terms repeat.Terms) {
	t.Helper()
	for i, first := range extras {
		end := first.Add(terms.Window)
		most := 0
		for _, back := range []time.Duration{0, terms.Window / 2, terms.Window} {
			most = max(most, within(asked, first.Add(-back), end.Add(-back)))
		}
		if count := within(extras[i:], first, end); float64(count) > terms.Ratio*float64(most)+terms.Slack {
			t.Errorf("%s got %d extra attempts in a window of %d requests", pool, count, most)
			return
		}
	}
}

// within counts the times in [from, to).
func within(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}
