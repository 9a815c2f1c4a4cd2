// Package feed reads settings, registrations and members from the store. Only a
// few daemons of each data centre follow the store, chosen by rendezvous hashing
// over the members in each daemon's table; the others get the changes from them by
// gossip. A daemon that cannot reach the store announces that in its record, and
// the next daemon takes its place. Every daemon keeps its own record in the store
// under a lease, so that daemons find each other after all of them were down.
//
// A store that was put back to an older copy is in a new era. Whatever it holds then replaces
// what earlier eras gave, as packages stamp and roster order it, and daemons register anew: their
// leases have gone, and the IDs of these may be given out again.
//
// The table may hold records of processes that are gone, so that nobody follows the
// store, or nobody whom this daemon can reach. A daemon therefore also reads the store
// when nothing has confirmed its settings and registrations for too long.
//
// # Usage
//
//	f := &feed.Feed{Source: source, Table: table, Roster: roster, Fresh: tracker, Clock: mono.Now, Meter: m, Log: l, Watchers: 2, SilentAfter: silentAfter, ApplySettings: apply, Registered: registered, MembersChanged: changed}
//	f.Init()
//	go f.KeepRegistered(ctx)
//	<-f.Registering()         // this daemon is registered, or the first attempt has failed
//	err = f.LoadOnce(ctx, 0)  // if no other daemon can be asked
//	go f.Run(ctx)
package feed

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fresh"
	"github.com/magnoliarelay/magnoliarelay/internal/process/logger"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/process/sleep"
	"github.com/magnoliarelay/magnoliarelay/internal/process/watch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	// KindUnavailable means that the store did not answer or refused the call.
	KindUnavailable Kind = "Unavailable"
	// KindCompacted means that the store no longer has the requested history.
	KindCompacted Kind = "Compacted"
	// KindLapsed means that a lease has ended.
	KindLapsed Kind = "Lapsed"
	// KindStale means that the store is at an earlier state than one that it has shown
	// before, in the same or a later era.
	KindStale Kind = "Stale"
)

// Error is the error of this package and of sources.
type Error = fault.Error[Kind]

// Changes is the content of a store, or the changes in it.
type Changes struct {
	// Snapshot is true for the complete content of the store, and false for changes.
	Snapshot bool
	// Settings is the newest change of the settings; nil if there is none.
	Settings *epoch.Change
	Entries  []roster.Entry
	// Members are records of daemons. Expired are the names of the daemons whose lease
	// has ended.
	Members []member.Member
	Expired []string
	// Stamp is that of the store up to which the changes are complete.
	Stamp stamp.Stamp
}

// Lease is a lease of the store. It is valid in the era in which it was granted.
type Lease struct {
	ID, Era int64
}

// Source reads and writes the store. Its methods return *Error.
type Source interface {
	// Load reads the complete content of the store. It returns an error if the store
	// holds more than maxKeys keys, unless that is zero.
	Load(ctx context.Context, maxKeys int) (*Changes, error)
	// Follow waits for changes after a stamp. If there are none within the given time,
	// it returns without any. If the store is in another era than the stamp, it returns an
	// error of KindCompacted.
	Follow(ctx context.Context, after stamp.Stamp, wait time.Duration) (*Changes, error)
	// Members reads the records of daemons, which may be some seconds old.
	Members(ctx context.Context) ([]member.Member, error)
	// Register writes a record under a lease. If the given lease is zero, it creates
	// one. It returns the lease, also if only the record could not be written.
	Register(ctx context.Context, lease Lease, record *member.Member, ttl time.Duration) (Lease, error)
	// Renew extends a lease.
	Renew(ctx context.Context, lease Lease) error
}

const (
	// electionInterval is the time between checks whether a daemon that does not follow
	// the store has been chosen.
	electionInterval = 150 * time.Millisecond
	// leaderWaitTimeout is how long a call of the leader, the first of all followers,
	// waits for changes. It bounds how long a watch that no longer delivers changes can hide
	// them, and leaves time to read the store and inform every daemon within the three
	// seconds that operators allow.
	leaderWaitTimeout = time.Second
	// followerWaitTimeout is how long a call of any other follower waits for changes.
	followerWaitTimeout = 5 * time.Second
	// minWaitTimeout is the wait of a call that only checks whether the store answers.
	minWaitTimeout = time.Millisecond
	// waitSlack is how much longer than its wait a call may take.
	waitSlack = 400 * time.Millisecond
	// batchDelay is the pause after a call that returned changes, so that the next
	// call returns several changes at once.
	batchDelay = 150 * time.Millisecond
	// callTimeout is the timeout of a call that does not wait for changes.
	callTimeout   = 2 * time.Second
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
	// minLapseOutage is the shortest outage in which registrations can lapse: targets
	// write theirs about once per second, and lapse after three missing writes in a
	// row.
	minLapseOutage = 2 * time.Second
)

// Feed follows the store on behalf of one daemon. Exported fields are set before
// Init.
type Feed struct {
	Source Source
	Table  *member.Table
	Roster *roster.Roster
	Fresh  *fresh.Tracker
	// Clock returns the time on a clock that advances while the host is suspended.
	Clock func() time.Time
	Meter *meter.Meter
	Log   *logger.Log
	// Watchers is the number of daemons of each data centre that follow the store.
	Watchers int
	// SilentAfter returns the time after which a daemon without heartbeats is silent.
	SilentAfter func() time.Duration
	// ApplySettings is called with each change of the settings that the store holds.
	ApplySettings func(epoch.Change)
	// Registered is called with the pools whose registrations have changed.
	Registered func(pools []string)
	// MembersChanged is called when the table has changed: the store returned the given
	// new records, or this daemon lost or regained the store.
	MembersChanged func(news []member.Member)

	// registering is closed after the first attempt to register.
	registering chan struct{}
	// newEra wakes KeepRegistered when the store is in a new era. era is the last one that
	// was noticed.
	newEra chan struct{}
	era    int64
	// lostSince is when the store stopped answering; zero while it answers.
	lostSince time.Time
}

// Init prepares the feed.
func (f *Feed) Init() {
	f.registering = make(chan struct{})
	f.newEra = make(chan struct{}, 1)
}

// followers returns the daemons that follow the store: in each data centre the
// first ones that reach it. The leader is the first of all followers.
func (f *Feed) followers(now time.Time) (names []string, leader string) {
	self := f.Table.Self(now)
	var candidates []member.Member
	centres := map[string]bool{}
	for _, m := range f.Table.All(now) {
		if m.State <= member.Ready && (!m.StoreLost || m.Name == self.Name) {
			candidates = append(candidates, m)
			centres[m.DataCentre] = true
		}
	}
	for centre := range centres {
		names = append(names, watch.Choose(centre, candidates, f.Watchers)...)
	}
	if len(names) == 0 {
		return nil, ""
	}
	slices.Sort(names)
	return names, rendezvous.New(names, xxhash.Sum64String).Lookup(leaderKey)
}

// Chosen reports whether this daemon follows the store.
func (f *Feed) Chosen(now time.Time) bool {
	names, _ := f.followers(now)
	return slices.Contains(names, f.Table.Self(now).Name)
}

// Run follows the store while this daemon is chosen.
func (f *Feed) Run(ctx context.Context) {
	following := false
	f.era = f.Roster.Stamp().Era
	for ctx.Err() == nil {
		f.noticeEra()
		chosen := f.Chosen(time.Now())
		if chosen != following {
			f.Log.State("following the store", "chosen", chosen)
			following = chosen
		}
		if chosen {
			f.follow(ctx)
			continue
		}
		if f.Fresh.Overdue(f.Clock(), f.Table.Live(), f.SilentAfter()) {
			f.refresh(ctx)
		}
		sleep.For(ctx, electionInterval)
	}
}

// noticeEra makes the daemon register anew if the store is in a new era, of which this
// daemon or a peer has learnt.
func (f *Feed) noticeEra() {
	at := f.Roster.Stamp()
	if at.Era == f.era {
		return
	}
	f.Meter.CountDecision("NewStoreEra")
	f.Log.State("the store was put back to an older copy; what it holds now is in force", "era", at.Era, "before", f.era, "rosterRevision", at.Revision)
	f.era = at.Era
	select {
	case f.newEra <- struct{}{}:
	default:
	}
}

// follow reads the whole store once and then waits for changes, until this daemon
// is no longer chosen or the context ends.
func (f *Feed) follow(ctx context.Context) {
	retry := newBackoff()
	followed := stamp.Stamp{}
	for ctx.Err() == nil && f.Chosen(time.Now()) {
		changes, confirmed, err := f.next(ctx, followed)
		var e *Error
		switch {
		case ctx.Err() != nil:
			return
		case errors.As(err, &e) && e.Kind == KindCompacted:
			f.Log.State("the store has dropped its history, reading all of it", "revision", followed.Revision, "era", followed.Era, "error", err)
			followed = stamp.Stamp{}
		case err != nil:
			f.storeFailed(err)
			// Read the whole store again: the failed watch may have missed changes.
			followed = stamp.Stamp{}
			sleep.For(ctx, retry.NextBackOff())
		default:
			retry.Reset()
			f.storeAnswered()
			f.apply(changes, confirmed)
			f.noticeEra()
			if changes.Stamp.After(followed) {
				sleep.For(ctx, batchDelay)
			}
			followed = changes.Stamp
		}
	}
	if !f.lostSince.IsZero() {
		// Another daemon follows the store; this one may be chosen again.
		f.lostSince = time.Time{}
		f.Table.SetStoreLost(time.Now(), false)
	}
}

// next waits for the changes after a stamp. It also returns a time at or after which
// the store gave the answer.
func (f *Feed) next(ctx context.Context, after stamp.Stamp) (changes *Changes, confirmed time.Time, err error) {
	asked := f.Clock()
	f.Fresh.Attempt(asked)
	if after == (stamp.Stamp{}) {
		changes, err := f.load(ctx, 0)
		return changes, asked, err
	}
	wait := followerWaitTimeout
	if _, leader := f.followers(time.Now()); leader == f.Table.Self(time.Now()).Name {
		wait = leaderWaitTimeout
	}
	if due := f.Roster.Due(); !due.IsZero() {
		// An answer at that time tells whether a target has come back.
		wait = min(wait, max(minRetryDelay, time.Until(due)+minWaitTimeout))
	}
	waiting, cancel := context.WithTimeout(ctx, wait+waitSlack)
	defer cancel()
	waiting, interrupt := context.WithCancelCause(waiting)
	defer interrupt(nil)
	go f.attend(waiting, interrupt)
	changes, err = f.Source.Follow(waiting, after, wait)
	if err == nil && changes.Stamp == after {
		// The store has waited for the whole time.
		return changes, asked.Add(min(wait, f.Clock().Sub(asked))), nil
	}
	if err == nil || !errors.Is(context.Cause(waiting), errOtherLost) {
		return changes, asked, err
	}
	// The store may turn several daemons away without a word, so this one asks it
	// something that it answers at once.
	ctx, cancelCheck := context.WithTimeout(ctx, waitSlack)
	defer cancelCheck()
	asked = f.Clock()
	changes, err = f.Source.Follow(ctx, after, minWaitTimeout)
	return changes, asked, err
}

// errOtherLost is the cause for which a wait for changes ends when another daemon has
// lost the store.
var errOtherLost = fault.Causef("another daemon has lost the store")

// attend records that this daemon waits for an answer of the store, and interrupts the
// wait when another daemon loses the store, until ctx ends.
func (f *Feed) attend(ctx context.Context, interrupt context.CancelCauseFunc) {
	known := f.othersWithoutStore(time.Now())
	for sleep.For(ctx, electionInterval) {
		f.Fresh.Attempt(f.Clock())
		lost := f.othersWithoutStore(time.Now())
		for name := range lost {
			if !known[name] {
				interrupt(errOtherLost)
				return
			}
		}
		known = lost
	}
}

// othersWithoutStore returns the names of the other daemons that can't reach the store.
func (f *Feed) othersWithoutStore(now time.Time) map[string]bool {
	names := map[string]bool{}
	for _, m := range f.Table.All(now) {
		if m.StoreLost && m.Name != f.Table.Name() {
			names[m.Name] = true
		}
	}
	return names
}

// leaderKey is the key of the rendezvous hashing that chooses the leader.
const leaderKey = "lead"

// storeFailed records a call without an answer. Another daemon follows the store
// until this one reaches it again.
func (f *Feed) storeFailed(err error) {
	if !f.lostSince.IsZero() {
		return
	}
	now := time.Now()
	f.lostSince = now
	f.Meter.CountDecision("StoreLost")
	f.Log.State("the store is lost", "error", err, "rosterRevision", f.Roster.Stamp().Revision)
	f.Table.SetStoreLost(now, true)
	f.MembersChanged(nil)
}

// storeAnswered records an answer. After an outage, registrations that lapsed
// during it get time to come back. While the store has answered other daemons, none has lapsed for that.
func (f *Feed) storeAnswered() {
	if f.lostSince.IsZero() {
		return
	}
	now := time.Now()
	away := now.Sub(f.lostSince)
	f.lostSince = time.Time{}
	f.Meter.CountDecision("StoreRegained")
	f.Log.State("the store answers again", "awayMillis", away.Milliseconds(), "rosterRevision", f.Roster.Stamp().Revision)
	if confirmed, _ := f.Fresh.Ages(f.Clock()); away >= minLapseOutage && (confirmed < 0 || confirmed >= minLapseOutage) {
		f.Roster.StoreRecovered(now)
	}
	f.Table.SetStoreLost(now, false)
	f.MembersChanged(nil)
}

// apply applies changes that the store has confirmed, and records the confirmation.
func (f *Feed) apply(changes *Changes, confirmed time.Time) {
	now := time.Now()
	if changes.Settings != nil {
		f.ApplySettings(*changes.Settings)
	}
	var pools []string
	if changes.Snapshot {
		pools = f.Roster.Replace(now, changes.Entries, changes.Stamp)
	} else if len(changes.Entries) > 0 {
		pools = f.Roster.Apply(now, changes.Entries, changes.Stamp)
	}
	f.Fresh.Confirm(confirmed, changes.Stamp)
	age, _ := f.Fresh.Ages(f.Clock())
	f.Registered(append(pools, f.Roster.Expire(now, age)...))
	f.mergeMembers(changes.Members)
}

func (f *Feed) mergeMembers(records []member.Member) {
	if news := f.Table.Merge(time.Now(), records); len(news) > 0 {
		f.MembersChanged(news)
	}
}

// LoadOnce reads the whole store, for a daemon that cannot get the content from
// another one. It fails if the store holds more than maxKeys keys, unless that is zero.
func (f *Feed) LoadOnce(ctx context.Context, maxKeys int) error {
	asked := f.Clock()
	changes, err := f.load(ctx, maxKeys)
	if err != nil {
		return err
	}
	f.apply(changes, asked)
	return nil
}

// load reads the whole store. It fails if the store is at an earlier state than the one that
// this daemon had before the call.
func (f *Feed) load(ctx context.Context, maxKeys int) (*Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	known := f.Roster.Stamp()
	changes, err := f.Source.Load(ctx, maxKeys)
	if err != nil {
		return nil, err
	}
	if known.After(changes.Stamp) {
		cause := fault.Causef("revision %d of era %d is before revision %d of era %d, which is known", changes.Stamp.Revision, changes.Stamp.Era, known.Revision, known.Era)
		return nil, &Error{Op: "read the store", Kind: KindStale, Err: cause}
	}
	return changes, nil
}

func newBackoff() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay
	retry.MaxInterval = maxRetryDelay
	return retry
}
