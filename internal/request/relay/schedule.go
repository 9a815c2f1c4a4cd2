package relay

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// schedule holds the times that decide when and how a request ends.
type schedule struct {
	// deadline is when the caller's timeout or the route's ends, whichever is
	// earlier.
	deadline time.Time
	// partialAt is when an answer with enough shards is sent. If enough shards
	// answer only after the latency target, the answer is sent at lateAt.
	partialAt time.Time
	lateAt    time.Time
	// spent is how long the caller had waited before this request arrived.
	spent time.Duration
	// yieldFrom is when an answer in part is due, counted from the caller's first
	// attempt. What is sent later can't be in time, so from then until urgentAt the
	// request yields to others.
	yieldFrom time.Time
	urgentAt  time.Time
	// queueUntil is when the wait for room for a primary attempt ends.
	queueUntil time.Time
	// assisting is true for a gather on behalf of another daemon.
	assisting bool
}

// newSchedule computes the times at which the request ends.
func (r *Runner) newSchedule(request *Request, route *tree.Route) schedule {
	timeout := route.Timeout
	if request.Timeout > 0 {
		timeout = min(timeout, max(request.Timeout-answerMargin, request.Timeout/2))
	}
	spent := r.callerTimeouts.timeSpent(request.Arrived, route.Name, request.Timeout)
	margin := callerRoundTrip + timerSlack + min(spent, maxTravelTime)
	latencyTarget := route.LatencyTarget
	if latencyTarget == 0 {
		latencyTarget = timeout
	}
	urgentAfter := timeout - urgentTime(latencyTarget, timeout-max(0, latencyTarget-spent))
	queueFor := latencyTarget / queueTimeDivisor
	if len(route.Gather) > 0 && spent > latencyTarget {
		// The request is already late, so it may queue for as long as it yields.
		queueFor = max(queueFor, urgentAfter)
	}
	partialAfter := max(latencyTarget-margin, latencyTarget/2)
	return schedule{
		spent:      spent,
		yieldFrom:  request.Arrived.Add(partialAfter - spent),
		urgentAt:   request.Arrived.Add(urgentAfter),
		deadline:   request.Arrived.Add(timeout),
		partialAt:  request.Arrived.Add(partialAfter),
		lateAt:     request.Arrived.Add(min(lateAnswerFactor*latencyTarget, timeout*3/4)),
		queueUntil: request.Arrived.Add(queueFor),
	}
}

// urgentTime returns how long before its deadline a request that is late for the
// given time stops yielding. Callers that wait only a few latency targets yield for
// half of the time that they are late.
func urgentTime(latencyTarget, late time.Duration) time.Duration {
	return min(urgentFactor*latencyTarget, late/2)
}

// yields reports whether the request is already late and lets others that can
// still be in time go first.
func (x *exchange) yields(now time.Time) bool { return x.yieldTime(now) > 0 }

// yieldTime is how much longer the request yields; it stops before the deadline.
func (x *exchange) yieldTime(now time.Time) time.Duration {
	if !x.isGather() || now.Before(x.schedule.yieldFrom) {
		return 0
	}
	return max(0, x.schedule.urgentAt.Sub(now))
}
