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
	return max(1, usable(t)/max(f.sharers, 1))
}

// usable is how many connections of a target all daemons open together.
func usable(t *Target) int { return int((1 - spareShare) * float64(t.connections)) }

// shareOf is this daemon's share of a target's connections: an even one, and for
// daemons near the target what is left over by rounding, up to one more than its
// slots: more would only wait there.
func (f *Fleet) shareOf(t *Target) int {
	even := f.evenShare(t)
	if !t.Near || f.near < 1 || f.near >= f.sharers || t.connections == 0 {
		return even
	}
	return max(even, min((usable(t)-(f.sharers-f.near)*even)/f.near, t.slots+1))
}

// roomOf is how many attempts this daemon may have at a target now: none just
// after it turned one away, since it is full, and no more than the connections
// that are open after it reset a new one.
func (f *Fleet) roomOf(now time.Time, t *Target) int {
	if now.Before(t.full) {
		return 0
	}
	if now.Before(t.crowded) {
		return min(t.crowdRoom, f.shareOf(t))
	}
	if t.busy(now) {
		return f.evenShare(t)
	}
	return f.shareOf(t)
}

// wait is how an attempt at the target compares with others: the time that it
// is expected to take, and what it costs besides.
func (f *Fleet) wait(now time.Time, t *Target) time.Duration {
	expected := f.takes(now, t)
	if !t.Near {
		expected += farPenalty
	}
	if t.failures > 0 {
		expected += t.pace.typical(now) * time.Duration(t.failures)
	}
	// Equals take turns.
	return expected + time.Duration(f.random.IntN(int(time.Millisecond)))
}

// takes is how long an attempt at the target is expected to take.
func (f *Fleet) takes(now time.Time, t *Target) time.Duration {
	typical := t.pace.typical(now)
	expected := typical
	if queued := t.inFlight + 1 - t.slots; queued > 0 {
		expected += typical * time.Duration(queued) / time.Duration(t.slots)
	}
	if until, paused := t.cycle.Paused(now, typical); paused {
		expected += until.Sub(now)
	} else if t.overdue(now) {
		since := t.pace.unanswered
		if since.IsZero() {
			since = t.warned
		}
		expected += max(stallPenalty-now.Sub(since), stallPenalty/5)
		if t.pace.dark(now) {
			expected += stallPenalty
		}
	}
	return expected
}

// roomFor is how many attempts this daemon may have at a target for one more of
// the query. One that yields needs a target with nothing else to do.
func (f *Fleet) roomFor(now time.Time, t *Target, q Query) int {
	room := f.roomOf(now, t)
	switch {
	case f.hopeless(now, t, q):
		return 0
	case !q.Yield:
		return room
	case t.busy(now):
		return 0
	}
	return min(room, 1)
}

// hopeless reports whether a first attempt would only wait at the target until
// its answer is of no use, and take the place of one that is.
func (f *Fleet) hopeless(now time.Time, t *Target, q Query) bool {
	return !q.By.IsZero() && len(q.Tried) == 0 && t.busy(now) && now.Add(f.takes(now, t)).After(q.By)
}

// report takes the load that a target tells of itself.
func (t *Target) report(now time.Time, load *wire.Load) {
	if load != nil {
		t.queued, t.queuedAt = load.Queued, now
	}
}

// busy reports whether requests waited at the target a moment ago.
func (t *Target) busy(now time.Time) bool { return t.queued > 0 && now.Sub(t.queuedAt) < loadFresh }

// lossRisk is the share of a cost by which the target may lose an answer, after
// it has lost one.
func (t *Target) lossRisk(now time.Time, cost time.Duration) time.Duration {
	if cost == 0 || t.lost.IsZero() {
		return 0
	}
	return time.Duration(float64(cost) * math.Exp2(-now.Sub(t.lost).Seconds()/lossHalfLife.Seconds()))
}
