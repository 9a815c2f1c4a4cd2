// Package feed brings settings, registrations and members from the store to
// the tier. Only a few daemons of each data centre follow the store, chosen by
// rendezvous hashing over the members that each daemon knows; the others hear
// from them. A daemon that loses the store says so, and the next one takes its
// place. Every daemon keeps its own record in the store under a lease, which
// is how daemons find each other after all of them were down.
//
// # Usage
//
//	f := &feed.Feed{Source: source, Table: table, Roster: roster, Meter: m, Log: l, Offer: offer, Registered: registered}
//	f.Start(ctx)       // registers, and returns the members found
//	go f.Run(ctx)
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/pause"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/process/trace"
	"github.com/magnoliarelay/magnoliarelay/internal/process/watch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	// KindUnavailable means that the store did not answer or turned the call away.
	KindUnavailable Kind = "Unavailable"
	// KindCompacted means that the store no longer has the history asked for.
	KindCompacted Kind = "Compacted"
	// KindLapsed means that a lease has ended.
	KindLapsed Kind = "Lapsed"
)

// Error is the error of this package, also for sources.
type Error = fault.Error[Kind]

// News is what a store holds, or what has changed there.
type News struct {
	// Whole is true for all that the store holds, false for changes.
	Whole bool
	// Settings is the newest change of the settings; nil is none.
	Settings *epoch.Change
	Entries  []roster.Entry
	// Members are records of daemons; Departed names those whose lease ended.
	Members  []member.Member
	Departed []string
	// Revision is the store's, up to which the news are complete.
	Revision int64
}

// Source is the store. Its methods return *Error.
type Source interface {
	// Load reads all that the store holds.
	Load(ctx context.Context) (*News, error)
	// Follow waits for changes after a revision, and returns without any when
	// the time is up.
	Follow(ctx context.Context, after int64, wait time.Duration) (*News, error)
	// Members reads the records of daemons, which may be some seconds old.
	Members(ctx context.Context) ([]member.Member, error)
	// Register keeps a record under a lease. A lease of zero asks for one; the
	// lease in force is returned.
	Register(ctx context.Context, lease int64, record *member.Member, life time.Duration) (int64, error)
	// Renew extends a lease.
	Renew(ctx context.Context, lease int64) error
}

const (
	electInterval = 150 * time.Millisecond
	// leadWait is how long a call of the first follower of the tier waits for
	// changes. It bounds for how long a watch that went deaf hides them, and
	// leaves time to read all and tell everyone within the three seconds that
	// operators allow.
	leadWait = time.Second
	// followWait is that of the others.
	followWait = 5 * time.Second
	// waitSlack is how much longer than asked for a call may take.
	waitSlack = 400 * time.Millisecond
	// gatherTime collects changes that come in a row, so that each call tells of
	// several.
	gatherTime = 150 * time.Millisecond
	// callTimeout bounds a call that does not wait.
	callTimeout = 2 * time.Second
	// leaseLife is how long the record of a daemon outlives it, and
	// leaseInterval the time between renewals.
	leaseLife     = 12 * time.Second
	leaseInterval = 4 * time.Second
	retryLeast    = 150 * time.Millisecond
	retryMost     = 1500 * time.Millisecond
	// lapseLeast is the shortest outage in which registrations can lapse: targets
	// write one every second or so, and three in a row have to be missing.
	lapseLeast = 2 * time.Second
)

// Feed is one daemon's part. Exported fields are set before Start.
type Feed struct {
	Source Source
	Table  *member.Table
	Roster *roster.Roster
	Meter  *meter.Meter
	Log    *trace.Log
	// Watchers is the number of daemons of each data centre that follow the store.
	Watchers int
	// Offer takes the settings that the store holds.
	Offer func(epoch.Change)
	// Registered takes the pools whose registrations changed.
	Registered func(pools []string)
	// Met takes members that the store told of and the table did not know.
	Met func()

	// lease holds the daemon's record. Enter sets it before Run begins, and
	// afterwards only the goroutine that renews it.
	lease int64
	// lost is since when the store has not answered; zero while it does.
	lost time.Time
}

// followers returns the daemons that follow the store: the first of each data
// centre that reach it. The first of all of them leads.
func (f *Feed) followers(now time.Time) (names []string, lead string) {
	self := f.Table.Self(now)
	var able []member.Member
	centres := map[string]bool{}
	for _, m := range f.Table.All(now) {
		if m.State <= member.Ready && (!m.StoreLost || m.Name == self.Name) {
			able = append(able, m)
			centres[m.DataCentre] = true
		}
	}
	for centre := range centres {
		names = append(names, watch.Choose(centre, able, f.Watchers)...)
	}
	if len(names) == 0 {
		return nil, ""
	}
	slices.Sort(names)
	return names, rendezvous.New(names, xxhash.Sum64String).Lookup(leadKey)
}

// Chosen reports whether this daemon follows the store.
func (f *Feed) Chosen(now time.Time) bool {
	names, _ := f.followers(now)
	return slices.Contains(names, f.Table.Self(now).Name)
}

// Run follows the store while this daemon is chosen, and keeps its record.
func (f *Feed) Run(ctx context.Context) {
	go f.register(ctx)
	following := false
	for ctx.Err() == nil {
		chosen := f.Chosen(time.Now())
		if chosen != following {
			f.Log.State("following the store", "chosen", chosen)
			following = chosen
		}
		if !chosen {
			pause.For(ctx, electInterval)
			continue
		}
		f.follow(ctx)
	}
}

// follow reads everything once and then waits for changes until this daemon is
// no longer chosen or the store fails.
func (f *Feed) follow(ctx context.Context) {
	retry := newRetry()
	revision := int64(0)
	for ctx.Err() == nil && f.Chosen(time.Now()) {
		news, err := f.next(ctx, revision)
		var e *Error
		switch {
		case ctx.Err() != nil:
			return
		case errors.As(err, &e) && e.Kind == KindCompacted:
			f.Log.State("the store has dropped its history, reading all of it", "revision", revision)
			revision = 0
		case err != nil:
			f.failed(err)
			// What was missed is read whole: a watch that failed may have been deaf.
			revision = 0
			pause.For(ctx, retry.NextBackOff())
		default:
			retry.Reset()
			f.reached()
			f.take(news)
			if news.Revision > revision {
				pause.For(ctx, gatherTime)
			}
			revision = news.Revision
		}
	}
	if !f.lost.IsZero() {
		// Another daemon follows; this one may be asked again.
		f.lost = time.Time{}
		f.Table.SetStoreLost(time.Now(), false)
	}
}

func (f *Feed) next(ctx context.Context, revision int64) (*News, error) {
	if revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
		defer cancel()
		return f.Source.Load(ctx)
	}
	wait := followWait
	if _, lead := f.followers(time.Now()); lead == f.Table.Self(time.Now()).Name {
		wait = leadWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+waitSlack)
	defer cancel()
	return f.Source.Follow(ctx, revision, wait)
}

// leadKey is what daemons are ranked by to find the first follower.
const leadKey = "lead"

// failed notes a call without an answer. Another daemon follows the store
// until this one reaches it again.
func (f *Feed) failed(err error) {
	if !f.lost.IsZero() {
		return
	}
	now := time.Now()
	f.lost = now
	f.Meter.Decide("StoreLost")
	f.Log.State("the store is lost", "error", err, "rosterRevision", f.Roster.Revision())
	f.Table.SetStoreLost(now, true)
	f.Met()
}

// reached notes an answer. After an outage, registrations that lapsed meanwhile
// get time to come back.
func (f *Feed) reached() {
	if f.lost.IsZero() {
		return
	}
	now := time.Now()
	away := now.Sub(f.lost)
	f.lost = time.Time{}
	f.Meter.Decide("StoreRegained")
	f.Log.State("the store answers again", "awayMillis", away.Milliseconds(), "rosterRevision", f.Roster.Revision())
	if away >= lapseLeast {
		f.Roster.Returned(now)
	}
	f.Table.SetStoreLost(now, false)
	f.Met()
}

func (f *Feed) take(news *News) {
	now := time.Now()
	if news.Settings != nil {
		f.Offer(*news.Settings)
	}
	var pools []string
	if news.Whole {
		pools = f.Roster.Replace(now, news.Entries, news.Revision)
	} else if len(news.Entries) > 0 {
		pools = f.Roster.Apply(now, news.Entries, news.Revision)
	}
	f.Registered(pools)
	if len(f.Table.Merge(now, news.Members)) > 0 {
		f.Met()
	}
}

// LoadOnce reads everything, for a daemon that no other can tell.
func (f *Feed) LoadOnce(ctx context.Context) error {
	news, err := f.next(ctx, 0)
	if err != nil {
		return err
	}
	f.take(news)
	return nil
}

// Enter registers this daemon and merges the records of the others into the
// table. The record goes first, so that of two daemons that start together at
// least one finds the other.
func (f *Feed) Enter(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self := f.Table.Self(time.Now())
	lease, err := f.Source.Register(ctx, 0, &self, leaseLife)
	if err != nil {
		return err
	}
	f.lease = lease
	members, err := f.Source.Members(ctx)
	if err != nil {
		return err
	}
	f.Table.Merge(time.Now(), members)
	return nil
}

// register keeps this daemon's record in the store, as a seed for new daemons.
// Nothing depends on holding it, so a lapsed lease does no harm.
func (f *Feed) register(ctx context.Context) {
	retry := newRetry()
	for pause.For(ctx, leaseInterval+rand.N(leaseInterval/4)) {
		for ctx.Err() == nil {
			err := f.renew(ctx)
			if err == nil {
				retry.Reset()
				break
			}
			var e *Error
			if errors.As(err, &e) && e.Kind == KindLapsed {
				f.lease = 0
			}
			f.Meter.Decide("LeaseNotRenewed")
			pause.For(ctx, retry.NextBackOff())
		}
	}
}

func (f *Feed) renew(ctx context.Context) error {
	if f.lease == 0 {
		return f.Enter(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.Source.Renew(ctx, f.lease)
}

func newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryLeast
	retry.MaxInterval = retryMost
	return retry
}
