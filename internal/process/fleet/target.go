package fleet

import (
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// State is a target's condition as this daemon sees it.
type State string

// The states.
const (
	// StateUnknown is a target that has not been polled yet.
	StateUnknown State = "Unknown"
	StateReady   State = "Ready"
	// StateSilent is a target that doesn't answer. A target whose status polls
	// time out is used only when no ready one is left, since the network may be
	// at fault.
	StateSilent State = "Silent"
	// StateDown is a target that refuses connections.
	StateDown State = "Down"
	// StateLeaving is a target that is draining; it gets no new work.
	StateLeaving State = "Leaving"
)

const (
	// latencyWeight is the weight of a new sample in a target's moving average.
	latencyWeight = 0.2
	// latencyHalfLife is the time in which the average of an unused target
	// falls halfway to that of the service, so that the target is tried again.
	latencyHalfLife = 5 * time.Second
	// ejectAfter is the number of consecutive failures that ejects a target.
	ejectAfter = 3
	// minEjectTime and maxEjectTime bound the duration of an ejection.
	minEjectTime = 500 * time.Millisecond
	maxEjectTime = 10 * time.Second
	// coldFactor is how many times slower than the service a restarted target
	// is assumed to be before its first answer; the excess halves within
	// coldHalfLife.
	coldFactor   = 8
	coldHalfLife = time.Second
	// limitDecrease is the factor applied to the concurrency limit of an
	// overloaded target.
	limitDecrease = 0.7
	// A target that sends replies is polled pollFactor times less often than
	// others, and one whose status is known to be outdated pollFactor times
	// sooner.
	pollFactor = 5
	// routineInterval is the time between polls of targets that send replies,
	// so that the cost of these polls doesn't grow with the number of targets.
	routineInterval = time.Second
	// defaultSlots is assumed for a target before its first report.
	defaultSlots = 2
)

// MaxPause bounds the pause that a target can ask for. A target that still wants no
// requests after it can ask again at the cost of one attempt a minute, while one
// that asks for a day by mistake is back within a minute.
const MaxPause = time.Minute

// Target is one searcher. Its exported fields don't change after its creation.
type Target struct {
	// ID is the ID of a registered target; for others it is the address.
	ID         string
	Address    string
	Region     string
	DataCentre string
	Rack       string
	// Local is true for a target in the daemon's own region.
	Local bool

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
	// restarted is when the daemon noticed a possible restart; it is zero once
	// the target has answered.
	restarted time.Time

	failures     int
	ejections    int
	ejectedUntil time.Time

	// The fields below are used mainly for registered targets.
	registered bool
	born       int64
	// registration is the stamp of the registration that was last applied.
	registration      atomic.Pointer[stamp.Stamp]
	registeredLeaving bool
	responses         responseTimes
	// peerUnansweredSince is the time since when a peer has had no answer.
	peerUnansweredSince time.Time
	// A target that refused connections gets no attempts before downUntil.
	downUntil time.Time
	refusals  int
	// A target that rejected a request because it was full gets no other before
	// fullUntil.
	fullUntil time.Time
	// sheds is the number of such rejections since the target's last answer.
	sheds int
	// rejections are the target's rejections while it had room.
	rejections rejections
	// Before crowdedUntil no further connection is opened; crowdedLimit is the
	// number of attempts that the open ones carry.
	crowdedUntil time.Time
	crowdedLimit int
	// queued is the number of requests waiting at the target, as last reported.
	queued   int
	queuedAt time.Time
	// lostAnswerAt is when the target last lost an answer.
	lostAnswerAt time.Time
	// owner is the fleet of a registered target, and selfReport what this boot of the
	// target has said of itself; nil means nothing.
	owner      *Fleet
	selfReport *selfReport
	// recalled is closed when attempts that wait for a connection are recalled; nil if
	// none waits.
	recalled chan struct{}
	// reportedState is the state last passed to Config.OnStateChange; empty means
	// ready.
	reportedState State
}

// Born returns the start of the target's process in Unix milliseconds, or zero if that is
// not known.
func (t *Target) Born() int64 { return t.born }

// Registered returns the stamp of the registration on which the target is used. It is zero
// for a target that is not registered.
func (t *Target) Registered() stamp.Stamp {
	if s := t.registration.Load(); s != nil {
		return *s
	}
	return stamp.Stamp{}
}

// Domain returns the failure domain of the target, which is its rack.
func (t *Target) Domain() string { return t.DataCentre + "/" + t.Rack }

// observeLatency adds a latency sample to the target's moving average.
func (t *Target) observeLatency(now time.Time, sample float64) {
	if t.latencyAt.IsZero() {
		t.latency = sample
	} else {
		t.latency += latencyWeight * (sample - t.latency)
	}
	t.latencyAt = now
	t.restarted = time.Time{}
}

// expected returns the expected latency in seconds. It decays towards the mean
// of the service while the target is unused.
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

// pollDue reports whether the target's status is to be polled: soon when its
// indexes have changed, and every interval when it sends no replies or is not
// ready.
func (t *Target) pollDue(now time.Time, interval time.Duration) bool {
	since := now.Sub(t.lastPolled)
	if t.statusOutdated {
		return since >= interval/pollFactor
	}
	silent := t.state != StateReady || now.Sub(t.lastSeen) >= interval
	return silent && since >= interval
}

// routineDue reports whether a target that sends replies may be polled
// nevertheless, in case its replies don't show a new index.
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

// adaptLimit adjusts the concurrency limit to the load reported in a reply. The
// limit stays between this daemon's share of the target's slots and all of
// them.
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

// checkGeneration marks the target's status as outdated when a reply shows
// another generation of its indexes.
func (t *Target) checkGeneration(load *wire.Load) {
	if load != nil && load.Generation != t.generation {
		t.statusOutdated = true
	}
}
