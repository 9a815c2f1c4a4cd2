package feed

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fresh"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

// Guards against a daemon that renews a lease of an earlier era of the store, whose ID may be
// that of another daemon's lease by now.
func TestNewEraIsRegisteredIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &quietStore{}
		f := unchosen(store)
		f.Init()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{}, 2)
		go func() { f.KeepRegistered(ctx); done <- struct{}{} }()
		go func() { f.Run(ctx); done <- struct{}{} }()
		time.Sleep(time.Second)
		store.era.Store(1)
		f.Roster.Apply(time.Now(), nil, stamp.Stamp{Era: 1, Revision: 1})
		time.Sleep(electionInterval + registerRetryDelay(f.Table.Live()) + time.Millisecond)
		if store.registrations.Load() != 2 || store.renewals.Load() != 0 {
			t.Errorf("%d registrations, %d renewals; want 2 and none", store.registrations.Load(), store.renewals.Load())
		}
		time.Sleep(2 * renewInterval)
		if store.registrations.Load() != 2 || store.renewals.Load() == 0 {
			t.Errorf("then %d registrations, %d renewals; want 2 and some", store.registrations.Load(), store.renewals.Load())
		}
		cancel()
		<-done
		<-done
	})
}

// Guards against a daemon that takes a store for sound which answers from an earlier state
// than it has shown before.
func TestStaleStoreCountsAsLost(t *testing.T) {
	for _, known := range []stamp.Stamp{{Era: 1, Revision: 2}, {Era: 2, Revision: 1}} {
		synctest.Test(t, func(t *testing.T) {
			store := &quietStore{}
			store.era.Store(1)
			f := unchosen(store)
			f.Roster.Apply(time.Now(), []roster.Entry{{ID: "t", Pool: "p", Era: 1, Revision: 1}}, known)
			var e *Error
			if err := f.LoadOnce(t.Context(), 0); !errors.As(err, &e) || e.Kind != KindStale {
				t.Errorf("error %v", err)
			}
			if confirmed, _ := f.Fresh.Ages(time.Now()); confirmed >= 0 || f.Roster.Len() != 1 || f.Roster.Stamp() != known {
				t.Errorf("confirmed %v ago, %d registrations at %v", confirmed, f.Roster.Len(), f.Roster.Stamp())
			}
		})
	}
}

// Guards against targets that stay for longer after an outage of the store each time that one more daemon
// reaches it again.
func TestOnlyOutageOfTheStoreDefersRemovals(t *testing.T) {
	for _, tt := range []struct {
		name      string
		confirmed time.Duration
		deferred  bool
	}{
		{"the store has answered nobody", minLapseOutage, true},
		{"nothing is known", fresh.Unknown, true},
		{"the store has answered others", time.Second, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := unchosen(&quietStore{})
			f.lostSince = time.Now().Add(-minLapseOutage)
			f.Clock = time.Now
			f.Fresh.Merge(f.Clock(), tt.confirmed, 0, stamp.Stamp{}, stamp.Stamp{}, stamp.Stamp{})
			f.storeAnswered()
			if grace := f.Roster.Since(time.Now(), stamp.Stamp{}).GraceMillis; grace > 0 != tt.deferred {
				t.Errorf("%s: removals are deferred for %d ms", tt.name, grace)
			}
		})
	}
}

// Guards against daemons of a large tier that all register at the moment at which they learn of a new era.
func TestRegistrationsInNewEraAreSpread(t *testing.T) {
	const daemons, samples = 300, 24
	early := 0
	for range samples {
		synctest.Test(t, func(t *testing.T) {
			store := &quietStore{}
			f := unchosen(store)
			for i := range daemons {
				f.Table.Merge(time.Now(), []member.Member{{Name: "other" + strconv.Itoa(i), DataCentre: "dc2", Region: "r", Incarnation: 1, Version: 1, State: member.Ready}})
			}
			f.Init()
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{}, 2)
			go func() { f.KeepRegistered(ctx); done <- struct{}{} }()
			go func() { f.Run(ctx); done <- struct{}{} }()
			time.Sleep(time.Second)
			store.era.Store(1)
			f.Roster.Apply(time.Now(), nil, stamp.Stamp{Era: 1, Revision: 1})
			time.Sleep(electionInterval + minRegisterDelay)
			early += int(store.registrations.Load()) - 1
			cancel()
			<-done
			<-done
		})
	}
	if early > samples/2 {
		t.Errorf("%d of %d daemons have registered within %v", early, samples, minRegisterDelay)
	}
}

// Guards against a target that is gone and stays until the next answer of the store, for which a follower waits for seconds.
func TestFollowerAsksWhenRemovalIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 2 * time.Second
		store := &quietStore{}
		f := followerBeside(&member.Member{Name: "leader", DataCentre: "dc2", Region: "r", Incarnation: 1, Version: 1, State: member.Ready}, store)
		f.Clock = time.Now
		f.Fresh = fresh.New(time.Now(), 1)
		now := time.Now()
		f.Roster.Apply(now, []roster.Entry{{ID: "t", Pool: "p", Revision: 1}}, stamp.Stamp{Revision: 1})
		f.Roster.StoreRecovered(now)
		f.Roster.Apply(now, []roster.Entry{{ID: "t", Revision: 1, Gone: true}}, stamp.Stamp{Revision: 1})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(grace - time.Millisecond)
		if f.Roster.Len() != 1 {
			t.Error("the target was removed before the end of its time")
		}
		time.Sleep(10 * time.Millisecond)
		if f.Roster.Len() != 0 {
			t.Error("the target was not removed")
		}
		if calls := store.calls.Load(); calls > 3 {
			t.Errorf("%d calls", calls)
		}
		cancel()
		<-done
	})
}
