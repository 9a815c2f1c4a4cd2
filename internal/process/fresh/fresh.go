// Package fresh tracks what the settings and registrations in force on a daemon rest on,
// and since when. The store confirms them to the daemons that follow it. Heartbeats pass
// the age of the last confirmation on, so that it spreads to every daemon that has a path
// from one that follows the store, and to no other one. A record in the table of members
// says nothing of this: the process that it describes may be gone.
//
// Heartbeats also carry the time since a daemon last asked the store, whether or not it
// answered. While that is short, others look after the store, and a daemon that lacks a
// confirmation leaves them time before it asks the store itself.
//
// What a heartbeat says holds for the states that it names by their stamps. It counts once
// this daemon has them, so a daemon that learns of newer ones and does not get them is
// overdue too.
//
// The package does no I/O and reads no clock. Times must come from a clock that advances
// while the host is suspended.
//
// # Usage
//
//	t := fresh.New(now, seed)
//	t.State = func() (settings, roster stamp.Stamp) { ... }
//	t.Attempt(now)            // this daemon asks the store
//	t.Confirm(asked, stamp)   // the store has answered
//	confirmed, attempted := t.Ages(now) // for a heartbeat
//	t.Merge(now, confirmed, attempted, settings, roster, complete) // from a heartbeat
//	if t.Overdue(now, daemons, 2*time.Second) {
//		// ask the store
//	}
package fresh

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

const (
	// Unknown is the age of an event that has not occurred.
	Unknown = -time.Second
	// minSpread is the time over which daemons that are cut off at the same time spread
	// their calls.
	minSpread = 500 * time.Millisecond
	// maxCallRate, in calls per second of all daemons, lengthens the spread in a large tier.
	// It leaves half of the rate of reads that the store grants.
	maxCallRate = 1000
	// callsPerRead is the number of calls to ask for changes and for the records of
	// recordsPerPage daemons.
	callsPerRead   = 2
	recordsPerPage = 500
	// minGain is how much later than the known one a confirmation in a heartbeat has to be. It covers the time
	// that a heartbeat takes within a region.
	minGain = 100 * time.Millisecond
	// maxClaims is the maximum number of claims that wait for newer revisions. They take a
	// fraction of a second to arrive.
	maxClaims = 16
	// DefaultPatience covers a store that turns away some daemons, whose successors take
	// over.
	DefaultPatience = 3
)

// Tracker tracks the freshness of one daemon's settings and registrations. Its methods
// may be called from any goroutine. Exported fields are set before the first call.
type Tracker struct {
	// State returns the stamps of the settings and of the registrations that this daemon
	// has. The tracker isn't locked meanwhile.
	State func() (settings, roster stamp.Stamp)
	// Patience multiplies the time after which a daemon is overdue while others look after
	// the store.
	Patience int

	mu     mutex.Mutex
	random *rand.Rand
	// confirmed is when the store was asked, by any daemon, for the answer that the state
	// rests on, and attempted is when a daemon has last asked it; zero if none has.
	confirmed, attempted time.Time
	// stamp is that of the store up to which the state is complete.
	stamp stamp.Stamp
	// claims are those for states that this daemon does not have yet, oldest first.
	claims []claim
	// since is the start, or the last time at which Overdue was true, and delay the random
	// fraction of the spread by which the next time is delayed.
	since time.Time
	delay float64
}

// claim is what a heartbeat has said of a state.
type claim struct {
	confirmed, attempted time.Time
	settings, roster     stamp.Stamp
	// complete is the stamp of the store up to which both are complete. It is earlier than
	// theirs if the sender got one of them and still lacks a change of the other.
	complete stamp.Stamp
}

// New returns the tracker of a daemon that knows nothing yet.
func New(now time.Time, seed uint64) *Tracker {
	noState := func() (settings, roster stamp.Stamp) { return stamp.Stamp{}, stamp.Stamp{} }
	t := &Tracker{State: noState, Patience: DefaultPatience, random: rand.New(rand.NewPCG(seed, 0)), since: now}
	t.delay = t.random.Float64()
	return t
}

// Attempt records that this daemon asks the store.
func (t *Tracker) Attempt(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempted = later(t.attempted, now)
}

// Confirm records an answer of the store to a call that began at the given time. The
// settings and registrations in force are complete up to the stamp.
func (t *Tracker) Confirm(asked time.Time, complete stamp.Stamp) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(asked, complete)
}

func (t *Tracker) confirm(asked time.Time, complete stamp.Stamp) {
	t.confirmed = later(t.confirmed, asked)
	t.attempted = later(t.attempted, asked)
	t.stamp = t.stamp.Max(complete)
}

// Merge records what another daemon has sent: the ages, the stamps of the settings and of the
// registrations for which they hold, and the stamp up to which these are complete.
func (t *Tracker) Merge(now time.Time, confirmed, attempted time.Duration, settings, roster, complete stamp.Stamp) {
	c := claim{settings: settings, roster: roster, complete: complete}
	if confirmed >= 0 {
		c.confirmed = now.Add(-confirmed)
	}
	if attempted >= 0 {
		c.attempted = now.Add(-attempted)
	}
	ownSettings, ownRoster := t.State()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(ownSettings, ownRoster)
	if len(t.claims) < maxClaims {
		t.claims = append(t.claims, c)
		t.settle(ownSettings, ownRoster)
	}
}

// settle accepts the claims for states that this daemon has by now.
func (t *Tracker) settle(settings, roster stamp.Stamp) {
	t.claims = slices.DeleteFunc(t.claims, func(c claim) bool {
		if c.settings.After(settings) || c.roster.After(roster) {
			return false
		}
		if !c.confirmed.IsZero() {
			// The age in a heartbeat is that at its sending. Passed on in a circle, a confirmation would
			// become younger by the time that each one takes.
			if t.confirmed.IsZero() || c.confirmed.Sub(t.confirmed) >= minGain {
				t.confirmed = c.confirmed
				t.attempted = later(t.attempted, c.confirmed)
			}
			t.stamp = t.stamp.Max(c.complete)
		}
		t.attempted = later(t.attempted, c.attempted)
		return true
	})
}

// Ages returns the time since the last confirmation and since the last attempt.
func (t *Tracker) Ages(now time.Time) (confirmed, attempted time.Duration) {
	settings, roster := t.State()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(settings, roster)
	return age(now, t.confirmed), age(now, t.attempted)
}

// Stamp returns the stamp of the store up to which the settings and registrations are
// complete, or zero.
func (t *Tracker) Stamp() stamp.Stamp {
	settings, roster := t.State()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(settings, roster)
	return t.stamp
}

// Overdue reports whether the daemon, one of the given number, should ask the store
// itself: no daemon is known to have asked for silentAfter, the time after which a daemon
// without heartbeats is silent, or none has got an answer for longer. After it has returned
// true, it returns false until as much time has passed again.
func (t *Tracker) Overdue(now time.Time, daemons int, silentAfter time.Duration) bool {
	settings, roster := t.State()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(settings, roster)
	limit := silentAfter + time.Duration(t.delay*float64(spread(daemons)))
	alone := now.Sub(later(t.since, t.attempted)) > limit
	unconfirmed := now.Sub(later(t.since, t.confirmed)) > time.Duration(t.Patience)*limit
	if !alone && !unconfirmed {
		return false
	}
	t.since = now
	t.delay = t.random.Float64()
	t.claims = nil
	return true
}

// spread returns the time over which the daemons spread their calls.
func spread(daemons int) time.Duration {
	calls := daemons * (callsPerRead + daemons/recordsPerPage)
	return max(minSpread, time.Duration(calls)*time.Second/maxCallRate)
}

func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return Unknown
	}
	return max(0, now.Sub(at))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
