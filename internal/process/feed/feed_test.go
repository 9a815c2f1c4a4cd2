package feed

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fresh"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mono"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

// quietStore is a store without changes, which may stop answering.
type quietStore struct {
	silent atomic.Bool
	calls  atomic.Int64
	// loads and memberReads count the calls of Load and Members.
	loads, memberReads atomic.Int64
	// records are the daemons that the store holds.
	records []member.Member
	// registrations counts the records that were written, and renewals the renewals.
	registrations, renewals atomic.Int64
	// lapsed is true if the lease of an earlier record has ended, and withoutMembers if the
	// records of daemons can't be read.
	lapsed, withoutMembers atomic.Bool
	// era is the era of the store.
	era atomic.Int64
}

func (s *quietStore) Load(ctx context.Context, _ int) (*Changes, error) {
	s.loads.Add(1)
	return s.answer(ctx, 0)
}

func (s *quietStore) Follow(ctx context.Context, _ stamp.Stamp, wait time.Duration) (*Changes, error) {
	return s.answer(ctx, wait)
}

func (s *quietStore) answer(ctx context.Context, wait time.Duration) (*Changes, error) {
	s.calls.Add(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, &Error{Op: "follow the store", Kind: KindUnavailable, Err: ctx.Err()}
	}
	if s.silent.Load() {
		<-ctx.Done()
		return nil, &Error{Op: "follow the store", Kind: KindUnavailable, Err: fault.Causef("no answer")}
	}
	return &Changes{Stamp: stamp.Stamp{Era: s.era.Load(), Revision: 1}}, nil
}

func (s *quietStore) Members(ctx context.Context) ([]member.Member, error) {
	if _, err := s.answer(ctx, 0); err != nil {
		return nil, err
	}
	if s.withoutMembers.Load() {
		return nil, &Error{Op: "read members", Kind: KindUnavailable}
	}
	s.memberReads.Add(1)
	return s.records, nil
}

func (s *quietStore) Register(ctx context.Context, lease Lease, _ *member.Member, _ time.Duration) (Lease, error) {
	if _, err := s.answer(ctx, 0); err != nil {
		return lease, err
	}
	s.registrations.Add(1)
	return Lease{ID: 1, Era: s.era.Load()}, nil
}

func (s *quietStore) Renew(ctx context.Context, _ Lease) error {
	if _, err := s.answer(ctx, 0); err != nil {
		return err
	}
	if s.lapsed.Swap(false) {
		return &Error{Op: "renew", Kind: KindLapsed}
	}
	s.renewals.Add(1)
	return nil
}

// followerBeside returns a feed that follows the store in its data centre, beside a leader
// of another one.
func followerBeside(leader *member.Member, store *quietStore) *Feed {
	now := time.Now()
	for i := 0; ; i++ {
		self := member.Member{Name: "follower" + strconv.Itoa(i), DataCentre: "dc1", Region: "r", Incarnation: 1, Version: 1, State: member.Ready}
		f := &Feed{
			Source: store, Table: member.New(now, self, 1), Roster: roster.New(), Meter: meter.New(), Watchers: 1,
			ApplySettings: func(epoch.Change) {}, Registered: func([]string) {}, MembersChanged: func([]member.Member) {}, Fresh: fresh.New(mono.Now(), 1), Clock: mono.Now, SilentAfter: func() time.Duration { return 2 * time.Second },
		}
		f.Table.Merge(now, []member.Member{*leader})
		if _, name := f.followers(now); name == leader.Name {
			return f
		}
	}
}

// Guards against a change that stays unknown while the store turns the followers of several
// data centres away: the first that notices makes the others check at once.
func TestLossOfAnotherFollowerIsChecked(t *testing.T) {
	for _, silent := range []bool{true, false} {
		t.Run("silent "+strconv.FormatBool(silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &quietStore{}
				leader := member.Member{Name: "leader", DataCentre: "dc2", Region: "r", Incarnation: 1, Version: 1, State: member.Ready}
				f := followerBeside(&leader, store)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); f.Run(ctx) }()
				time.Sleep(200 * time.Millisecond)
				store.silent.Store(silent)
				leader.Version, leader.StoreLost = 2, true
				f.Table.Merge(time.Now(), []member.Member{leader})
				calls := store.calls.Load()
				time.Sleep(time.Second)
				if lost := f.Table.Self(time.Now()).StoreLost; lost != silent {
					t.Errorf("store lost: %t", lost)
				}
				if !silent && store.calls.Load() > calls+3 {
					t.Errorf("%d calls to check the store", store.calls.Load()-calls)
				}
				cancel()
				<-done
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Guards against a daemon that acts on old settings because it takes processes that are
// gone for those which follow the store.
func TestUnconfirmedDaemonReadsTheStore(t *testing.T) {
	const cutOff = 10 * time.Second
	for _, tt := range []struct {
		name string
		// confirmed, attempted and roster are what the last heartbeat has said.
		confirmed, attempted time.Duration
		roster               int64
		loads, calls         int64
	}{
		{"nothing is known", fresh.Unknown, fresh.Unknown, 1, 1, 1},
		{"the confirmation is old", cutOff, cutOff, 1, 0, 1},
		{"others ask the store", 4 * time.Second, 0, 1, 0, 0},
		{"others have asked for long", cutOff, 0, 1, 0, 1},
		{"the state is confirmed", 0, 0, 1, 0, 0},
		{"a newer state is confirmed", 0, 0, 2, 1, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				store := &quietStore{}
				for _, name := range []string{"gone0", "gone1", "gone2"} {
					store.records = append(store.records, member.Member{Name: name, DataCentre: "dc1", Region: "r", Incarnation: 2, Version: 1, State: member.Ready})
				}
				f := unchosen(store)
				f.Fresh = fresh.New(mono.Now().Add(-cutOff), 1)
				f.Fresh.State = func() (settings, roster stamp.Stamp) { return stamp.Stamp{Revision: 1}, stamp.Stamp{Revision: 1} }
				f.Fresh.Merge(mono.Now(), tt.confirmed, tt.attempted, stamp.Stamp{Revision: 1}, stamp.Stamp{Revision: tt.roster}, stamp.Stamp{Revision: tt.roster})
				var news []member.Member
				f.MembersChanged = func(records []member.Member) { news = append(news, records...) }
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); f.Run(ctx) }()
				time.Sleep(time.Second)
				cancel()
				<-done
				if store.loads.Load() != tt.loads || store.calls.Load() != 2*tt.calls || store.memberReads.Load() != tt.calls {
					t.Errorf("%d calls, of these %d of the whole store, and %d of the members; want %d, %d, %d",
						store.calls.Load(), store.loads.Load(), store.memberReads.Load(), 2*tt.calls, tt.loads, tt.calls)
				}
				if tt.calls > 0 && len(news) != len(store.records) {
					t.Errorf("news %v", news)
				}
				if confirmed, _ := f.Fresh.Ages(mono.Now()); tt.calls > 0 && confirmed > 5*time.Second {
					t.Errorf("state confirmed %v ago", confirmed)
				}
				if f.Chosen(now) {
					t.Error("the daemon follows the store")
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// unchosen returns a feed of a daemon that does not follow the store, since its table holds
// another one of its data centre.
func unchosen(store *quietStore) *Feed {
	for i := 0; ; i++ {
		other := member.Member{Name: "gone" + strconv.Itoa(i%3), DataCentre: "dc1", Region: "r", Incarnation: 1, Version: 1, State: member.Ready}
		f := followerBeside(&member.Member{Name: "leader", DataCentre: "dc2", Region: "r", Incarnation: 1, Version: 1, State: member.Ready}, store)
		self := f.Table.Self(time.Now())
		self.Name += strconv.Itoa(i)
		f.Table = member.New(time.Now(), self, 1)
		f.Table.Merge(time.Now(), []member.Member{other})
		if !f.Chosen(time.Now()) {
			return f
		}
	}
}

// Guards against a daemon that stays unknown to the others after an outage of the store in
// which it has started, at whatever step of its registration the outage ends.
func TestRegistrationIsRepeatedAfterOutage(t *testing.T) {
	// bound covers a call that was made in the outage, and a delay before the next.
	const bound = 2 * time.Second
	for outage := time.Duration(0); outage < 4*time.Second; outage += 190 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &quietStore{}
				store.silent.Store(true)
				f := unchosen(store)
				f.Init()
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); f.KeepRegistered(ctx) }()
				time.Sleep(outage)
				store.silent.Store(false)
				time.Sleep(bound)
				if store.registrations.Load() != 1 || store.memberReads.Load() != 1 {
					t.Errorf("%v after the outage: %d registrations, %d reads of the members; want one each",
						bound, store.registrations.Load(), store.memberReads.Load())
				}
				time.Sleep(renewInterval + renewInterval/4)
				if store.renewals.Load() == 0 {
					t.Error("the lease is not renewed")
				}
				store.lapsed.Store(true)
				time.Sleep(renewInterval + renewInterval/4 + minRegisterDelay)
				if store.registrations.Load() != 2 {
					t.Errorf("%d registrations after the lease had ended, want 2", store.registrations.Load())
				}
				cancel()
				<-done
			})
		})
	}
}

// Guards against a lease that ends while the records of the others can't be read.
func TestLeaseIsRenewedWhileMembersAreNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &quietStore{}
		store.withoutMembers.Store(true)
		f := unchosen(store)
		f.Init()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); f.KeepRegistered(ctx) }()
		for range 5 {
			before := store.renewals.Load()
			time.Sleep(leaseTTL / 2)
			if store.renewals.Load() == before {
				t.Errorf("no renewal within %v", leaseTTL/2)
			}
		}
		store.withoutMembers.Store(false)
		time.Sleep(2 * minRegisterDelay)
		if store.registrations.Load() != 1 || store.memberReads.Load() != 1 {
			t.Errorf("%d registrations, %d reads of the members; want one each", store.registrations.Load(), store.memberReads.Load())
		}
		cancel()
		<-done
	})
}

// Guards against daemons of a large tier that overload the store with their registrations.
func TestRegistrationsOfLargeTierAreSpread(t *testing.T) {
	if delay := registerRetryDelay(2000); delay < 2000*writesPerRegistration*time.Second/maxWriteRate {
		t.Errorf("delay %v", delay)
	}
	if delay := registerRetryDelay(10); delay != minRegisterDelay {
		t.Errorf("delay %v of a small tier, want %v", delay, minRegisterDelay)
	}
}
