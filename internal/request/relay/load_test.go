package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

const (
	// shardsOfTown is the number of shards of the queries in the tests of load.
	shardsOfTown = 20
	workOfTown   = 28 * time.Millisecond
)

// historyRoute gathers over all shards, and may miss one in ten.
func historyRoute() *tree.Route {
	route := &tree.Route{
		Name: "history", Idempotent: true, Timeout: 4 * time.Second, LatencyTarget: 200 * time.Millisecond,
		MaxAttempts: 3, LeastCoverage: 0.89, Merge: tree.MergeGreatest, Top: 10, Priority: 1,
	}
	for shard := range shardsOfTown {
		route.Gather = append(route.Gather, fmt.Sprintf("s%02d", shard))
	}
	return route
}

// Pattern: all daemons lost power for two seconds and are back. Everybody who
// asked meanwhile asks again at once, late already, while new requests come in
// as on any day, which alone take half of what the targets can do. The new ones
// are answered in time, and the others with what is left over.
func TestBacklogOfAnOutageYieldsToNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := historyRoute()
		w := newCluster(t, 9, 2, 2, route.Gather...)
		const fresh = 70.0
		w.offer(route, workOfTown, fresh, 3*time.Second)
		outage := time.Now()
		for range int(2 * fresh) {
			w.ask(route, workOfTown, testCallerTimeout-time.Duration(w.random.IntN(int(2*time.Second)))-200*time.Millisecond, true)
		}
		w.offer(route, workOfTown, fresh, 3*time.Second)
		w.settle()
		share, count := w.shareInTime(func(e *requestResult) bool { return !e.resent && e.arrived.After(outage) })
		if share < 0.9 {
			t.Errorf("%.3f of %d new requests were answered in time, want 0.9", share, count)
		}
		unserved := 0
		for i := range w.results {
			if e := &w.results[i]; e.resent && e.answer.Result != Gathered && e.answer.Result != Partial {
				unserved++
			}
		}
		if unserved > 0 {
			t.Errorf("%d requests that came again were not served", unserved)
		}
	})
}

// Pattern: two of three targets lose a quarter of their answers for some seconds.
// Requests that must run at most once go to the third, which has room for all,
// as long as daemons tell each other.
func TestLostAnswersAreAvoidedWhereNothingCanBeSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := &tree.Route{
			Name: "pull", Split: []tree.Share{{Pool: "p", Weight: 1}}, Timeout: 4 * time.Second, LatencyTarget: 400 * time.Millisecond, MaxAttempts: 2,
		}
		w := newCluster(t, 8, 3, 6, "p")
		for _, r := range w.daemons {
			r.Lost = func(pool string, target *fleet.Target) {
				for _, other := range w.daemons {
					other.Pools.Fleet(pool).Lost(target.ID, time.Now())
				}
			}
		}
		for _, m := range w.targets["p"][:2] {
			m.set(func(m *fakeTarget) { m.lossRate = 0.25 })
		}
		w.offer(route, 90*time.Millisecond, 22, 6*time.Second)
		w.settle()
		lost := 0
		for i := range w.results {
			if w.results[i].answer.Result != Passed {
				lost++
			}
		}
		// One loss tells of each target, and half of the requests that begin before
		// the first go there.
		if most := 6; lost > most {
			t.Errorf("%d of %d requests lost their answer, want %d at most", lost, len(w.results), most)
		}
		for _, machines := range w.targets {
			for _, m := range machines {
				for id, runs := range m.runs {
					if runs > 1 {
						t.Errorf("request %s ran %d times", id, runs)
					}
				}
			}
		}
	})
}

// Pattern: one of the two targets of six shards in twenty goes dark on a heavy
// day, and the other can serve no more than seven in eight queries. A query that
// may miss two shards does not queue where it can not be answered in time, so
// that what those targets serve comes in time.
func TestScarceShardsAnswerInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := historyRoute()
		w := newCluster(t, 9, 2, 2, route.Gather...)
		const perSecond = 80.0
		w.offer(route, workOfTown, perSecond, 2*time.Second)
		for _, name := range route.Gather[:6] {
			w.targets[name][0].set(func(m *fakeTarget) { m.unresponsive = true })
		}
		// The daemons find out within a second.
		w.offer(route, workOfTown, perSecond, time.Second)
		heavy := time.Now()
		w.offer(route, workOfTown, perSecond, 4*time.Second)
		w.settle()
		share, count := w.shareInTime(func(e *requestResult) bool { return e.arrived.After(heavy) })
		if share < 0.75 {
			t.Errorf("%.3f of %d queries were answered in time, want 0.75", share, count)
		}
	})
}

// Pattern: for five seconds two and a half times as many callers ask as on any
// day, half more than the targets can serve. Hardly anybody goes without an
// answer, since queues stay short where they help nobody.
func TestBurstLeavesFewWithoutAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := historyRoute()
		w := newCluster(t, 9, 2, 2, route.Gather...)
		w.offer(route, workOfTown, 80, 2*time.Second)
		w.offer(route, workOfTown, 200, 5*time.Second)
		w.offer(route, workOfTown, 80, 4*time.Second)
		w.settle()
		served := 0
		for i := range w.results {
			if r := w.results[i].answer.Result; r == Gathered || r == Partial {
				served++
			}
		}
		if share := float64(served) / float64(len(w.results)); share < 0.95 {
			t.Errorf("%.3f of %d queries were served, want 0.95", share, len(w.results))
		}
	})
}
