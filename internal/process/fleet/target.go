package fleet

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/cycle"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// State is a target's condition as this daemon sees it.
type State string

// The states.
const (
	// StateUnknown is a target that has not reported yet.
	StateUnknown State = "Unknown"
	StateReady   State = "Ready"
	// StateSilent is a target whose status polls time out. It is used only
	// when nothing better is left, since the network may be at fault.
	StateSilent State = "Silent"
	// StateDown is a target that refuses connections.
	StateDown State = "Down"
	// StateLeaving is a target that drains; it gets no new work.
	StateLeaving State = "Leaving"
)

const (
	// latencyWeight is the weight of a new sample in a target's mean.
	latencyWeight = 0.2
	// latencyHalfLife is the time in which an unused target's mean falls
	// halfway to the service's, so that it is tried again.
	latencyHalfLife = 5 * time.Second
	// ejectAfter is the number of failures in a row that eject a target.
	ejectAfter = 3
	// minEjectTime and ejectMost bound the time a target stays out.
	minEjectTime = 500 * time.Millisecond
	maxEjectTime = 10 * time.Second
	// coldFactor is how much slower than the service a restarted target is
	// taken to be until it has answered, and coldHalf the time in which that
	// falls by half.
	coldFactor   = 8
	coldHalfLife = time.Second
	// limitDecrease is the factor applied to the limit when a target is overloaded.
	limitDecrease = 0.7
	// pollFactor is how much less often a target is polled whose replies come
	// in, and how much sooner one whose status is known to be out of date.
	pollFactor = 5
	// routineInterval spaces the polls of targets whose replies come in, so
	// that their cost does not grow with the targets.
	routineInterval = time.Second
	// defaultSlots is assumed until a target has reported.
	defaultSlots = 2
)

// Target is one searcher. Its exported fields never change.
type Target struct {
	// ID names a registered target; that of others is their address.
	ID         string
	Address    string
	Region     string
	DataCentre string
	Rack       string
	// Near is true in the daemon's own region.
	Near bool

	state          State
	hostLeaving    bool
	lastSeen       time.Time
	lastPolled     time.Time
	incarnation    string
	slots          int
	connections    int
	indexes        []wire.Index
	generation     uint64
	statusOutdated bool

	inFlight  int
	limit     float64
	latency   float64
	latencyAt time.Time
	// restarted is when a new incarnation was first heard of; it is zero once
	// the target has answered.
	restarted time.Time

	failures     int
	ejections    int
	ejectedUntil time.Time

	// What follows is kept for registered targets only.
	registered bool
	born       int64
	revision   int64
	responses  responseTimes
	cycle      cycle.Cycle
	// peerUnansweredSince is since when another daemon has had no answer.
	peerUnansweredSince time.Time
	// downUntil is until when a target that refused connections is left alone.
	downUntil time.Time
	refusals  int
	// fullUntil is until when a target that turned a request away gets no other.
	fullUntil time.Time
	// sheds is how often it did so since its last answer.
	sheds int
	// crowdedUntil is until when no further connection is opened, and crowdRoom the
	// number of attempts that the open ones carry.
	crowdedUntil time.Time
	crowdedLimit int
	// queued is the number of requests that waited at the target by its last word.
	queued   int
	queuedAt time.Time
	// lostAnswerAt is when the target last lostAnswerAt an answer.
	lostAnswerAt time.Time
	// reportedState is what was last told of the target; empty is ready.
	reportedState State
}

// Domain names the failure domain that a target shares with its rack.
func (t *Target) Domain() string { return t.DataCentre + "/" + t.Rack }

// observeLatency folds a latency sample into the target's mean.
func (t *Target) observeLatency(now time.Time, sample float64) {
	if t.latencyAt.IsZero() {
		t.latency = sample
	} else {
		t.latency += latencyWeight * (sample - t.latency)
	}
	t.latencyAt = now
	t.restarted = time.Time{}
}

// expected is the latency to expect, in seconds, decayed towards the mean of
// the service while the target is unused.
func (t *Target) expected(now time.Time, mean float64) float64 {
	if !t.restarted.IsZero() {
		age := now.Sub(t.restarted)
		return mean * (1 + (coldFactor-1)/(1+age.Seconds()/coldHalfLife.Seconds()))
	}
	if t.latencyAt.IsZero() {
		return mean
	}
	idle := now.Sub(t.latencyAt)
	if idle <= latencyHalfLife/8 {
		return t.latency
	}
	keep := 1 / (1 + idle.Seconds()/latencyHalfLife.Seconds())
	return mean + (t.latency-mean)*keep
}

// pollDue reports whether the target is to be asked for its status: at once
// when its indexes have changed, each interval when it is silent or out of use.
func (t *Target) pollDue(now time.Time, interval time.Duration) bool {
	since := now.Sub(t.lastPolled)
	if t.statusOutdated {
		return since >= interval/pollFactor
	}
	silent := t.state != StateReady || now.Sub(t.lastSeen) >= interval
	return silent && since >= interval
}

// routineDue reports whether a target whose replies come in may be polled in
// its turn, should its replies not tell of a new index.
func (t *Target) routineDue(now time.Time, interval time.Duration) bool {
	return !t.pollDue(now, interval) && now.Sub(t.lastPolled) >= pollFactor*interval
}

// recordFailure counts a failure and ejects the target after several in a row.
func (t *Target) recordFailure(now time.Time) {
	t.failures++
	if t.failures < ejectAfter {
		return
	}
	out := minEjectTime << min(t.ejections, 5)
	t.ejectedUntil = now.Add(min(out, maxEjectTime))
	t.ejections++
	t.failures = 0
}

func (t *Target) clearFailures() {
	t.failures = 0
	t.ejections = 0
	t.ejectedUntil = time.Time{}
}

// adaptLimit moves the concurrency limit by what a reply says of the target's load,
// between this daemon's share of the slots and all of them.
func (t *Target) adaptLimit(load *wire.Load, floor float64) {
	maxLimit := float64(t.slots)
	switch {
	case load != nil && load.Queued > 0:
		t.limit *= limitDecrease
	case float64(t.inFlight) >= t.limit-1 && (load == nil || load.InFlight < t.slots):
		t.limit += 1 / max(t.limit, 1)
	}
	t.limit = min(max(t.limit, floor), max(maxLimit, floor))
}

// checkGeneration notes from a reply's load that the status known is out of date.
func (t *Target) checkGeneration(load *wire.Load) {
	if load != nil && load.Generation != t.generation {
		t.statusOutdated = true
	}
}
