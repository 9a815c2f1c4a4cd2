package fleet

import (
	"math"
	"time"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// This file estimates for registered targets how many attempts this daemon may
// have in flight at each, and how long an attempt takes.

// evenShare returns the number of a target's connections for each daemon if all
// daemons get the same.
func (f *Fleet) evenShare(t *Target) int {
	if t.connections == 0 {
		return defaultSlots
	}
	return max(1, sharedConnections(t)/max(f.sharers, 1))
}

// sharedConnections returns how many connections all daemons together may open
// to a target.
func sharedConnections(t *Target) int {
	return int((1 - unusedConnectionShare) * float64(t.connections))
}

// connectionShare returns how many connections this daemon may open to a
// target. Daemons in the target's region also divide the connections that
// rounding leaves over, up to one more than the target's slots: further
// attempts would only queue there.
func (f *Fleet) connectionShare(t *Target) int {
	even := f.evenShare(t)
	if !t.Local || f.localDaemons < 1 || f.localDaemons >= f.sharers || t.connections == 0 {
		return even
	}
	return max(even, min((sharedConnections(t)-(f.sharers-f.localDaemons)*even)/f.localDaemons, t.slots+1))
}

// registeredLimit returns how many attempts this daemon may have in flight at a
// registered target now. It is zero for a short time after the target rejected
// a request because it was full. After the target reset a new connection, it is
// at most the number of attempts that were in flight on the other connections.
func (f *Fleet) registeredLimit(now time.Time, t *Target) int {
	if now.Before(t.fullUntil) {
		return 0
	}
	if now.Before(t.crowdedUntil) {
		return t.selfReport.boundAttempts(min(t.crowdedLimit, f.connectionShare(t)))
	}
	if t.hasQueue(now) {
		return t.selfReport.boundAttempts(f.evenShare(t))
	}
	return t.selfReport.boundAttempts(f.connectionShare(t))
}

// score rates a target for the next attempt; a lower score is better. It is the
// expected latency plus penalties for another region and for recent failures.
func (f *Fleet) score(now time.Time, t *Target) time.Duration {
	expected := f.expectedLatency(now, t)
	if !t.Local {
		expected += remotePenalty
	}
	if t.failures > 0 {
		expected += t.responses.typicalLatency(now) * time.Duration(t.failures)
	}
	// A random addend of up to 1 ms spreads attempts over targets that are
	// equally good.
	return expected + time.Duration(f.random.IntN(int(time.Millisecond)))
}

// queryScore is the score of a target for a query, which includes what a lost
// answer or a rejection would cost the query.
func (f *Fleet) queryScore(now time.Time, t *Target, q Query) time.Duration {
	score := f.score(now, t)
	if q.LostAnswerCost > 0 {
		// No second attempt can make up for a target that does not answer.
		score = max(score, t.responses.wait(now, t.inFlight)) + t.expectedLossCost(now, q.LostAnswerCost)
	}
	if t.rejections.rate > 0 {
		score += t.rejections.expectedCost(q.RetryCost)
	}
	return score
}

// expectedLatency returns how long an attempt at the target is expected to
// take, including time in its queue and, if an answer is overdue, the rest of a pause.
func (f *Fleet) expectedLatency(now time.Time, t *Target) time.Duration {
	typical := t.responses.typicalLatency(now)
	expected := typical
	if queued := t.inFlight + 1 - t.slots; queued > 0 {
		expected += typical * time.Duration(queued) / time.Duration(t.slots)
	}
	if t.overdue(now) {
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

// queryLimit returns the limit of attempts in flight at a target that applies
// to a query. A low-priority query may use only a target that is otherwise idle.
func (f *Fleet) queryLimit(now time.Time, t *Target, q Query) int {
	limit := f.registeredLimit(now, t)
	switch {
	case f.tooLate(now, t, q):
		return 0
	case !q.LowPriority:
		return limit
	case t.hasQueue(now):
		return 0
	}
	return min(limit, 1)
}

// tooLate reports whether a first attempt would wait at the target until its
// answer is useless, and so delay an attempt that can still be in time.
func (f *Fleet) tooLate(now time.Time, t *Target, q Query) bool {
	return !q.UsefulUntil.IsZero() && len(q.Tried) == 0 && t.hasQueue(now) && now.Add(f.expectedLatency(now, t)).After(q.UsefulUntil)
}

// recordLoad stores the queue length that the target reported.
func (t *Target) recordLoad(now time.Time, load *wire.Load) {
	if load != nil {
		t.queued, t.queuedAt = load.Queued, now
	}
}

// hasQueue reports whether requests waited at the target by a recent report.
func (t *Target) hasQueue(now time.Time) bool {
	return t.queued > 0 && now.Sub(t.queuedAt) < maxLoadAge
}

// expectedLossCost multiplies the cost of a lost answer by the risk that the
// target loses one. The risk is 1 right after a loss and halves every
// lossRiskHalfLife.
func (t *Target) expectedLossCost(now time.Time, cost time.Duration) time.Duration {
	if cost == 0 || t.lostAnswerAt.IsZero() {
		return 0
	}
	return time.Duration(float64(cost) * math.Exp2(-now.Sub(t.lostAnswerAt).Seconds()/lossRiskHalfLife.Seconds()))
}
