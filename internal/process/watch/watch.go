// Package watch reads the settings from the key-value service. Only a few daemons
// of each data centre watch, chosen by rendezvous hashing over the members in each
// daemon's table; the others get changes from them by gossip. Two watchers too
// many do no harm, and a missing one is replaced as soon as the daemons see that
// the membership has changed. Until then, or if no watcher can be reached, a daemon
// reads the settings itself when nothing has confirmed them for too long.
//
// # Usage
//
//	w := &watch.Watch{Store: s, Keeper: keeper, Table: table, Fresh: tracker, Clock: mono.Now, ApplySettings: g.ApplySettings, Meter: m}
//	go w.Run(ctx)
package watch

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"k8s.io/klog/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fresh"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/sleep"
	"github.com/magnoliarelay/magnoliarelay/internal/process/store"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

const (
	// SettingsKey is the key of the change in force.
	SettingsKey = "/magnoliarelay/settings"
	// HistoryPrefix is the prefix of the keys of past changes; the number of the
	// change follows it.
	HistoryPrefix = "/magnoliarelay/history/"
	// MembersPrefix is the prefix of the keys of daemons that watch; the name of the
	// daemon follows it.
	MembersPrefix = "/magnoliarelay/members/"

	// electionInterval is the time between checks whether this daemon is chosen.
	electionInterval = 500 * time.Millisecond
	leaseTTL         = 15 * time.Second
	renewInterval    = 5 * time.Second
	minRetryDelay    = 200 * time.Millisecond
	maxRetryDelay    = 10 * time.Second
	// rereadInterval is the time between reads of a watched key, in case the watch no
	// longer delivers changes.
	rereadInterval = 8 * time.Second
	// Patience makes other daemons wait for longer than the time between two reads before
	// they read the settings themselves.
	Patience = 6
	// refreshTimeout is the timeout of such a read.
	refreshTimeout = time.Second
)

// Watch follows the settings on behalf of one daemon. Exported fields are set
// before Run.
type Watch struct {
	Store  *store.Store
	Keeper *epoch.Keeper
	Table  *member.Table
	Meter  *meter.Meter
	// Fresh tracks what the settings rest on.
	Fresh *fresh.Tracker
	// Clock returns the time on a clock that advances while the host is suspended.
	Clock func() time.Time
	// ApplySettings is called with each change that the store returns.
	ApplySettings func(epoch.Change)

	// behind is the order of the change in force for which the log says that the store lacks it.
	behind atomic.Int64
}

// Run watches while this daemon is chosen, until the context ends.
func (w *Watch) Run(ctx context.Context) {
	ticker := time.NewTicker(electionInterval)
	defer ticker.Stop()
	var stop context.CancelFunc
	for {
		chosen := w.Chosen(time.Now())
		switch {
		case chosen && stop == nil:
			var watchContext context.Context
			watchContext, stop = context.WithCancel(ctx)
			w.Meter.CountDecision("BeginWatch")
			go w.watch(watchContext)
			go w.register(watchContext)
		case !chosen && stop != nil:
			w.Meter.CountDecision("EndWatch")
			stop()
			stop = nil
		}
		w.checkFreshness(ctx, chosen)
		select {
		case <-ctx.Done():
			if stop != nil {
				stop()
			}
			return
		case <-ticker.C:
		}
	}
}

// checkFreshness records that this daemon watches the store or, if it does not, reads the
// settings when nothing has confirmed them for too long.
func (w *Watch) checkFreshness(ctx context.Context, watching bool) {
	now := w.Clock()
	if watching {
		w.Fresh.Attempt(now)
		return
	}
	silentAfter := w.Keeper.Current().Tree.Resolve("", "", "").SilentAfter
	if !w.Fresh.Overdue(now, w.Table.Live(), silentAfter) {
		return
	}
	confirmed, attempted := w.Fresh.Ages(now)
	klog.InfoS("nothing confirms the settings, reading the store", "revision", w.Keeper.Current().Change.Revision,
		"confirmedMillisAgo", confirmed.Milliseconds(), "attemptedMillisAgo", attempted.Milliseconds())
	w.Meter.CountDecision("RefreshFromStore")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
		defer cancel()
		if err := w.ReadOnce(ctx); err != nil {
			klog.InfoS("the store could not be read to confirm the settings", "error", err)
		}
	}()
}

// Chosen reports whether this daemon is among the watchers of its data centre.
func (w *Watch) Chosen(now time.Time) bool {
	self := w.Table.Self(now)
	count := w.Keeper.Current().Tree.Resolve("", "", "").WatchersPerDataCentre
	return slices.Contains(Choose(self.DataCentre, w.Table.All(now), count), self.Name)
}

// Choose returns the names of the given number of watchers of a data centre,
// chosen among the members.
func Choose(dataCentre string, members []member.Member, count int) []string {
	var names []string
	for i := range members {
		m := &members[i]
		if m.DataCentre == dataCentre && m.State <= member.Ready {
			names = append(names, m.Name)
		}
	}
	var chosen []string
	for len(chosen) < count && len(names) > 0 {
		name := rendezvous.New(names, xxhash.Sum64String).Lookup(dataCentre)
		chosen = append(chosen, name)
		names = slices.DeleteFunc(names, func(n string) bool { return n == name })
	}
	return chosen
}

// ReadOnce reads the settings in the store and passes them to ApplySettings.
func (w *Watch) ReadOnce(ctx context.Context) error {
	_, err := w.read(ctx)
	return err
}

func (w *Watch) read(ctx context.Context) (int64, error) {
	asked := w.Clock()
	inForce := w.Keeper.Current().Change
	item, err := w.Store.Get(ctx, SettingsKey)
	if err != nil {
		return 0, err
	}
	if change, readable := w.apply(item); readable {
		w.reportLost(inForce, change)
	}
	w.Fresh.Confirm(asked, stamp.Stamp{Revision: item.Revision})
	return item.Revision, nil
}

// apply passes the change of an item to ApplySettings. The change is zero if the store
// has none.
func (w *Watch) apply(item store.Item) (change epoch.Change, readable bool) {
	if item.Revision == 0 {
		return epoch.Change{}, true
	}
	change, err := Decode(item)
	if err != nil {
		klog.Errorf("the store's settings at revision %d cannot be read: %v", item.Revision, err)
		return epoch.Change{}, false
	}
	w.ApplySettings(change)
	return change, true
}

// reportLost logs, once for each change, that the store holds an earlier one than was in force
// when the store was asked.
func (w *Watch) reportLost(inForce, held epoch.Change) {
	if inForce.Order <= held.Order {
		w.behind.Store(0)
		return
	}
	w.Meter.CountDecision("StoreBehind")
	if w.behind.Swap(inForce.Order) != inForce.Order {
		klog.InfoS("the store has lost the change in force, which stays in force until a later one is applied", "change", inForce.Number,
			"revision", inForce.Revision, "storeChange", held.Number, "storeRevision", held.Revision)
	}
}

// Decode decodes a change from an item of the store.
func Decode(item store.Item) (epoch.Change, error) {
	var change epoch.Change
	if err := codec.Decode(item.Value, &change); err != nil {
		return epoch.Change{}, err
	}
	change.Revision = item.Revision
	// Earlier commands wrote the time only.
	change.Order = cmp.Or(change.Order, change.UnixMillis)
	return change, nil
}

// watch keeps the key watched, with a backoff while the store fails.
func (w *Watch) watch(ctx context.Context) {
	retry := newBackoff()
	for ctx.Err() == nil {
		started := time.Now()
		err := w.follow(ctx)
		var e *store.Error
		if errors.As(err, &e) && e.Kind == store.KindCompacted || time.Since(started) > maxRetryDelay {
			retry.Reset()
		}
		if ctx.Err() == nil && err != nil {
			w.Meter.CountDecision("WatchBroken")
		}
		sleep.For(ctx, retry.NextBackOff())
	}
}

// follow reads the key and watches it until the stream breaks. It reads the key
// again at intervals, since a network partition may leave a watch open that no
// longer delivers changes.
func (w *Watch) follow(ctx context.Context) error {
	revision, err := w.read(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for sleep.For(ctx, rereadInterval) {
			if _, err := w.read(ctx); err != nil {
				return
			}
		}
	}()
	return w.Store.Watch(ctx, SettingsKey, revision+1, func(item store.Item) { w.apply(item) })
}

// register keeps this daemon's key in the store, where new daemons find it as a
// seed. Nothing else depends on the key, so a lapsed lease does no harm.
func (w *Watch) register(ctx context.Context) {
	lease := int64(0)
	retry := newBackoff()
	for ctx.Err() == nil {
		var err error
		if lease, err = w.renew(ctx, lease); err != nil {
			lease = 0
			sleep.For(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		sleep.For(ctx, renewInterval)
	}
}

func (w *Watch) renew(ctx context.Context, lease int64) (int64, error) {
	self := w.Table.Self(time.Now())
	if lease != 0 {
		if err := w.Store.KeepAlive(ctx, lease); err != nil {
			return 0, err
		}
		// A store that was restored from a snapshot may have the lease and not the key.
		held, err := w.Store.Get(ctx, MembersPrefix+self.Name)
		if err != nil || held.Lease == lease {
			return lease, err
		}
	}
	lease, err := w.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, err
	}
	value, err := codec.Encode(&self)
	if err != nil {
		return 0, err
	}
	return lease, w.Store.PutLeased(ctx, MembersPrefix+self.Name, value, lease)
}

// Seeds returns the link addresses of the daemons registered in the store.
func Seeds(ctx context.Context, s *store.Store) ([]string, error) {
	members, err := Members(ctx, s)
	var links []string
	for i := range members {
		links = append(links, members[i].Link)
	}
	return links, err
}

// Members returns the daemons registered in the store.
func Members(ctx context.Context, s *store.Store) ([]member.Member, error) {
	items, err := s.List(ctx, MembersPrefix)
	if err != nil {
		return nil, err
	}
	var members []member.Member
	for i := range items {
		var m member.Member
		if codec.Decode(items[i].Value, &m) == nil {
			members = append(members, m)
		}
	}
	return members, nil
}

func newBackoff() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay
	retry.MaxInterval = maxRetryDelay
	return retry
}
