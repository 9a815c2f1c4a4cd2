package feed

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
)

// quietStore is a store without changes, which may stop answering.
type quietStore struct {
	silent atomic.Bool
	calls  atomic.Int64
}

func (s *quietStore) Load(ctx context.Context, _ int) (*Changes, error) {
	return s.answer(ctx, 0)
}

func (s *quietStore) Follow(ctx context.Context, _ int64, wait time.Duration) (*Changes, error) {
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
	return &Changes{Revision: 1}, nil
}

func (*quietStore) Members(context.Context) ([]member.Member, error) { return nil, nil }

func (*quietStore) Register(context.Context, int64, *member.Member, time.Duration) (int64, error) {
	return 1, nil
}

func (*quietStore) Renew(context.Context, int64) error { return nil }

// followerBeside returns a feed that follows the store in its data centre, beside a leader
// of another one.
func followerBeside(leader *member.Member, store *quietStore) *Feed {
	now := time.Now()
	for i := 0; ; i++ {
		self := member.Member{Name: "follower" + strconv.Itoa(i), DataCentre: "dc1", Region: "r", Incarnation: 1, Version: 1, State: member.Ready}
		f := &Feed{
			Source: store, Table: member.New(now, self, 1), Roster: roster.New(), Meter: meter.New(), Watchers: 1,
			ApplySettings: func(epoch.Change) {}, Registered: func([]string) {}, MembersChanged: func() {},
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
