package watch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	fakestore "github.com/magnoliarelay/magnoliarelay/internal/fake/store"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/store"
	"github.com/magnoliarelay/magnoliarelay/internal/process/watch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/change"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// bound is the time within which a change has to be in force.
const bound = 19 * time.Second

type fixture struct {
	t      *testing.T
	store  *fakestore.Store
	client *store.Store
	keeper *epoch.Keeper
	cancel context.CancelFunc
}

// start runs one watcher against a store without sockets, in virtual time.
func start(t *testing.T) *fixture {
	t.Helper()
	s := &fakestore.Store{}
	r := &fixture{t: t, store: s, client: &store.Store{Endpoints: []string{"http://store"}, Transport: fakestore.NewTransport(s)}, keeper: epoch.NewKeeper()}
	w := &watch.Watch{
		Store: r.client, Keeper: r.keeper, Meter: meter.New(),
		Table: member.New(time.Now(), member.Member{Name: "a", DataCentre: "dc", State: member.Ready, Link: "l"}, 1),
		ApplySettings: func(c epoch.Change) {
			if _, err := r.keeper.Apply(time.Now(), c); err != nil {
				t.Errorf("offer: %v", err)
			}
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	r.cancel = cancel
	go w.Run(ctx)
	return r
}

// apply writes a change and returns its revision.
func (r *fixture) apply(queue int) int64 {
	r.t.Helper()
	c := &change.Change{Store: r.client}
	result, err := c.Apply(r.t.Context(), change.Request{Files: tree.Files{"firm.ini": fmt.Sprintf("[Cost]\nQueueLength = %d\n", queue)}})
	if err != nil {
		r.t.Fatal(err)
	}
	return result.Change.Revision
}

func (r *fixture) waitForRevision(limit time.Duration, revision int64) {
	r.t.Helper()
	for waited := time.Duration(0); waited <= limit; waited += 100 * time.Millisecond {
		if r.keeper.Current().Change.Revision == revision {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.t.Fatalf("revision %d is in force, not %d, after %v", r.keeper.Current().Change.Revision, revision, limit)
}

func (r *fixture) calls() int64 {
	sum := int64(0)
	for _, count := range r.store.Calls() {
		sum += count
	}
	return sum
}

func TestChangeIsSeenThroughTheWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t)
		defer r.cancel()
		for n := range 3 {
			time.Sleep(5 * time.Second)
			r.waitForRevision(time.Second, r.apply(n))
		}
	})
}

func TestStoreDownForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t)
		defer r.cancel()
		first := r.apply(1)
		r.waitForRevision(bound, first)
		r.store.SetFaults(fakestore.Faults{Down: true})
		before := r.calls()
		time.Sleep(time.Hour)
		if got := r.keeper.Current().Change.Revision; got != first {
			t.Errorf("revision %d during the outage", got)
		}
		// Each of the two loops may call once every five seconds.
		if calls := r.calls() - before; calls > 2*3600/5 {
			t.Errorf("%d calls to a store that is down for an hour", calls)
		}
		r.store.SetFaults(fakestore.Faults{})
		r.waitForRevision(bound, r.apply(2))
	})
}

func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t)
		defer r.cancel()
		r.waitForRevision(bound, r.apply(1))
		r.store.SetFaults(fakestore.Faults{Delay: 2 * time.Second})
		r.waitForRevision(bound, r.apply(2))
	})
}

func TestCompactedWatchReadsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t)
		defer r.cancel()
		r.waitForRevision(bound, r.apply(1))
		r.store.SetFaults(fakestore.Faults{Down: true})
		time.Sleep(time.Second)
		r.store.SetFaults(fakestore.Faults{})
		revision := r.apply(2)
		r.store.Compact()
		r.waitForRevision(bound, revision)
	})
}

func TestLapsedLeaseIsTakenAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := start(t)
		defer r.cancel()
		r.waitForRevision(bound, r.apply(1))
		seeds := func() int {
			links, err := watch.Seeds(t.Context(), r.client)
			if err != nil {
				t.Fatal(err)
			}
			return len(links)
		}
		time.Sleep(time.Second)
		if got := seeds(); got != 1 {
			t.Fatalf("%d daemons registered", got)
		}
		r.store.SetFaults(fakestore.Faults{Down: true})
		time.Sleep(time.Minute)
		r.store.SetFaults(fakestore.Faults{})
		if got := seeds(); got != 0 {
			t.Errorf("%d daemons registered after the lease has lapsed", got)
		}
		time.Sleep(bound)
		if got := seeds(); got != 1 {
			t.Errorf("%d daemons registered after the outage", got)
		}
	})
}

func TestChooseSpreadsAndIsStable(t *testing.T) {
	var members []member.Member
	for i := range 60 {
		members = append(members, member.Member{Name: fmt.Sprint("d", i), DataCentre: fmt.Sprint("dc", i%3), State: member.Ready})
	}
	for _, dataCentre := range []string{"dc0", "dc1", "dc2"} {
		chosen := watch.Choose(dataCentre, members, 2)
		if len(chosen) != 2 {
			t.Fatalf("%s: chosen %v", dataCentre, chosen)
		}
		for i := range members {
			if members[i].Name == chosen[0] {
				members[i].State = member.Leaving
			}
		}
		again := watch.Choose(dataCentre, members, 2)
		if len(again) != 2 || again[0] != chosen[1] {
			t.Errorf("%s: %v chosen after %v lost its first", dataCentre, again, chosen)
		}
	}
}
