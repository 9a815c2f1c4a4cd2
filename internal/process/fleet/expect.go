package fleet

import (
	"math"
	"time"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// What a daemon expects of registered targets: for how many attempts they have
// room, and how long one takes.

// evenShare is a target's connections divided by the daemons.
func (f *Fleet) evenShare(t *Target) int {
	if t.connections == 0 {
		return defaultSlots
	}
	return max(1, sharedConnections(t)/max(f.sharers, 1))
}

// sharedConnections is how many connections of a target all daemons open together.
func sharedConnections(t *Target) int {
	return int((1 - unusedConnectionShare) * float64(t.connections))
}

// connectionShare is this daemon's share of a target's connections: an even one, and for
// daemons near the target what is left over by rounding, up to one more than its
// slots: more would only wait there.
func (f *Fleet) connectionShare(t *Target) int {
	even := f.evenShare(t)
	if !t.Near || f.nearDaemons < 1 || f.nearDaemons >= f.sharers || t.connections == 0 {
		return even
	}
	return max(even, min((sharedConnections(t)-(f.sharers-f.nearDaemons)*even)/f.nearDaemons, t.slots+1))
}

// registeredLimit is how many attempts this daemon may have at a target now: none just
// after it turned one away, since it is full, and no more than the connections
// that are open after it reset a new one.
func (f *Fleet) registeredLimit(now time.Time, t *Target) int {
	if now.Before(t.fullUntil) {
		return 0
	}
	if now.Before(t.crowdedUntil) {
		return min(t.crowdedLimit, f.connectionShare(t))
	}
	if t.hasQueue(now) {
		return f.evenShare(t)
	}
	return f.connectionShare(t)
}

// score is how an attempt at the target compares with others: the time that it
// is expected to take, and what it costs besides.
func (f *Fleet) score(now time.Time, t *Target) time.Duration {
	expected := f.expectedLatency(now, t)
	if !t.Near {
		expected += farPenalty
	}
	if t.failures > 0 {
		expected += t.responses.typicalLatency(now) * time.Duration(t.failures)
	}
	// Equals take turns.
	return expected + time.Duration(f.random.IntN(int(time.Millisecond)))
}

// expectedLatency is how long an attempt at the target is expected to take.
func (f *Fleet) expectedLatency(now time.Time, t *Target) time.Duration {
	typical := t.responses.typicalLatency(now)
	expected := typical
	if queued := t.inFlight + 1 - t.slots; queued > 0 {
		expected += typical * time.Duration(queued) / time.Duration(t.slots)
	}
	if until, paused := t.cycle.Paused(now, typical); paused {
		expected += until.Sub(now)
	} else if t.overdue(now) {
		since := t.responses.unanswered
		if since.IsZero() {
			since = t.peerUnansweredSince
		}
		expected += max(stallPenalty-now.Sub(since), stallPenalty/5)
		if t.responses.silent(now) {
			expected += stallPenalty
		}
	}
	return expected
}

// queryLimit is how many attempts this daemon may have at a target for one more of
// the query. One that yields needs a target with nothing else to do.
func (f *Fleet) queryLimit(now time.Time, t *Target, q Query) int {
	room := f.registeredLimit(now, t)
	switch {
	case f.tooLate(now, t, q):
		return 0
	case !q.Yield:
		return room
	case t.hasQueue(now):
		return 0
	}
	return min(room, 1)
}

// tooLate reports whether a first attempt would only wait at the target until
// its answer is of no use, and take the place of one that is.
func (f *Fleet) tooLate(now time.Time, t *Target, q Query) bool {
	return !q.By.IsZero() && len(q.Tried) == 0 && t.hasQueue(now) && now.Add(f.expectedLatency(now, t)).After(q.By)
}

// recordLoad takes the load that a target tells of itself.
func (t *Target) recordLoad(now time.Time, load *wire.Load) {
	if load != nil {
		t.queued, t.queuedAt = load.Queued, now
	}
}

// hasQueue reports whether requests waited at the target a moment ago.
func (t *Target) hasQueue(now time.Time) bool {
	return t.queued > 0 && now.Sub(t.queuedAt) < loadMaxAge
}

// expectedLossCost is the share of a cost by which the target may lose an answer, after
// it has lost one.
func (t *Target) expectedLossCost(now time.Time, cost time.Duration) time.Duration {
	if cost == 0 || t.lostAnswerAt.IsZero() {
		return 0
	}
	return time.Duration(float64(cost) * math.Exp2(-now.Sub(t.lostAnswerAt).Seconds()/lossRiskHalfLife.Seconds()))
}
