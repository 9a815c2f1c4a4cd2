package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// deadlockTimeout is how long a call that should return at once may take before it counts
// as stuck.
const deadlockTimeout = 5 * time.Second

// entries returns a registration in the local region for each ID.
func entries(ids ...string) []roster.Entry {
	list := make([]roster.Entry, 0, len(ids))
	for _, id := range ids {
		list = append(list, entry(id, id+":1", 1, 1))
	}
	return list
}

// returns fails the test if the call doesn't return.
func returns(t *testing.T, call func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		call()
	}()
	select {
	case <-done:
	case <-time.After(deadlockTimeout):
		t.Fatal("the call does not return")
	}
}

// Guards against a deadlock between the lock of a fleet and another lock that is held
// while the fleet is called: a function from outside the package may use the fleet.
func TestFunctionsFromOutsideMayUseTheFleet(t *testing.T) {
	const pause = time.Minute
	for _, tt := range []struct {
		name string
		// use makes the fleet call a function, which calls visit.
		use func(f *Fleet, g *Group, visit func())
	}{
		{"RetryCost of a pick", func(f *Fleet, g *Group, visit func()) {
			rejectWithRoom(f, g)
			g.RetryCost = func(time.Time, int) time.Duration { visit(); return 0 }
			g.Pick(start, Query{View: g.View})
		}},
		{"RetryCost of a wait", func(f *Fleet, g *Group, visit func()) {
			rejectWithRoom(f, g)
			g.RetryCost = func(time.Time, int) time.Duration { visit(); return 0 }
			g.Wait(start, Query{View: g.View}, 0, func(int) {})()
		}},
		{"LateAfter", func(_ *Fleet, g *Group, visit func()) {
			g.LateAfter = func(*Target) time.Duration { visit(); return 0 }
			g.Pick(start, Query{View: g.View})
		}},
		{"UsefulUntil", func(_ *Fleet, g *Group, visit func()) {
			g.UsefulUntil = func(time.Time) time.Time { visit(); return time.Time{} }
			g.Pick(start, Query{View: g.View})
		}},
		{"wake, at once", func(_ *Fleet, g *Group, visit func()) {
			g.Wait(start, Query{View: g.View}, 0, func(int) { visit() })
		}},
		{"wake, later", func(_ *Fleet, g *Group, visit func()) {
			var busy []*Target
			for c := g.Pick(start, Query{View: g.View}); c.Target != nil; c = g.Pick(start, Query{View: g.View}) {
				busy = append(busy, c.Target)
			}
			g.Wait(start, Query{View: g.View}, 0, func(int) { visit() })
			g.Finish(start, busy[0], 0, Success, 0, nil)
		}},
		{"OnStateChange", func(f *Fleet, g *Group, visit func()) {
			f.config.OnStateChange = func(*Target, State, Outcome) { visit() }
			g.Finish(start, g.Pick(start, Query{View: g.View}).Target, 0, Refused, 0, nil)
		}},
		{"OnNotice", func(f *Fleet, _ *Group, visit func()) {
			f.config.OnNotice = func(*Target, Notice) { visit() }
			f.RecordStatement(start, f.targets["a"], Statement{Leaving: true})
		}},
		{"OnNotice of a registration", func(f *Fleet, _ *Group, visit func()) {
			f.config.OnNotice = func(*Target, Notice) { visit() }
			changed := entries("a", "b")
			changed[0].Revision, changed[0].Leaving = 2, true
			register(f, start, changed...)
		}},
		{"OnKept of a pick", func(f *Fleet, g *Group, visit func()) {
			f.RecordStatement(start, f.targets["a"], Statement{Pause: pause})
			f.config.OnKept = func(NoticeKind) { visit() }
			g.Pick(start, Query{View: g.View})
		}},
		{"OnKept of a gate", func(f *Fleet, _ *Group, visit func()) {
			f.RecordStatement(start, f.targets["a"], Statement{Pause: pause})
			f.config.OnKept = func(NoticeKind) { visit() }
			f.targets["a"].Admit(start)
		}},
		{"OnRemoved", func(f *Fleet, _ *Group, visit func()) {
			f.config.OnRemoved = func(*Target) { visit() }
			register(f, start, entries("a")...)
		}},
		{"regionOf", func(f *Fleet, _ *Group, visit func()) {
			register(f, start)
			f.SetEntries(start, entries("a", "b"), func(dataCentre string) string { visit(); return dataCentre })
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f, _ := registeredPool(entries("a", "b")...)
			g := NewGroup([]*Fleet{f})
			visited := false
			returns(t, func() {
				tt.use(f, g, func() {
					visited = true
					f.SetDaemons(1 + len(f.Rows(start)))
				})
			})
			if !visited {
				t.Error("the function was not called")
			}
		})
	}
}

// rejectWithRoom lets each target of the pool reject a request with room to spare.
func rejectWithRoom(f *Fleet, g *Group) {
	for range f.targets {
		c := g.Pick(start, Query{View: g.View})
		g.Finish(start, c.Target, 0, Shed, 0, &wire.Load{})
	}
}

// Guards against notices of a target that are delivered in another order than the one in
// which the target gave them, when some of them arrive while others are delivered.
func TestNoticesKeepTheirOrder(t *testing.T) {
	f, _ := registeredPool(entries("a")...)
	var got []float64
	names := func(rate float64) Statement { return Statement{Limit: &rate} }
	f.config.OnNotice = func(target *Target, n Notice) {
		if n.Rate == 1 {
			f.RecordStatement(start, target, names(2))
			f.RecordStatement(start, target, names(4))
		}
		got = append(got, n.Rate)
	}
	returns(t, func() {
		f.RecordStatement(start, f.targets["a"], names(1))
		f.RecordStatement(start, f.targets["a"], names(8))
	})
	if want := []float64{1, 2, 4, 8}; !slices.Equal(got, want) {
		t.Errorf("notices of the limits %v, want %v", got, want)
	}
}

// Guards against a fleet that calls nothing any more after one function has panicked.
func TestPanicOfAFunctionLeavesTheFleetUsable(t *testing.T) {
	f, _ := registeredPool(entries("a")...)
	notices := 0
	f.config.OnNotice = func(*Target, Notice) {
		if notices++; notices == 1 {
			panic("the function fails")
		}
	}
	returns(t, func() {
		defer func() {
			if recover() == nil {
				t.Error("the panic was swallowed")
			}
		}()
		f.RecordStatement(start, f.targets["a"], Statement{Leaving: true})
	})
	returns(t, func() { f.RecordStatement(start, f.targets["a"], Statement{Pause: time.Second}) })
	if notices != 2 {
		t.Errorf("%d notices, want 2", notices)
	}
}

// Guards against work for each pick that only matters once a target has rejected a request
// although it had room.
func TestRetryCostIsAskedForOnlyAfterSuchARejection(t *testing.T) {
	f, _ := registeredPool(entries("a", "b")...)
	g := NewGroup([]*Fleet{f})
	asked := 0
	g.RetryCost = func(time.Time, int) time.Duration { asked++; return 0 }
	g.Finish(start, g.Pick(start, Query{View: g.View}).Target, 0, Success, 0, nil)
	if asked != 0 {
		t.Errorf("asked %d times before any rejection", asked)
	}
	rejectWithRoom(f, g)
	asked = 0
	if g.Pick(start, Query{View: g.View}); asked != 1 {
		t.Errorf("asked %d times for a pick after a rejection, want 1", asked)
	}
}
