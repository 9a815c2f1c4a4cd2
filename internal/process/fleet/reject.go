package fleet

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const (
	// rejectionWeight is the weight of a new outcome in a target's rejection rate.
	rejectionWeight = 0.1
	// maxRejectionRate bounds the rate, so that a target that rejects everything is
	// tried again when all others are worse.
	maxRejectionRate = 0.95
)

// rejections estimates how often a target rejects requests although it has room for
// them, as when a part of it is broken.
type rejections struct {
	// rate is the recent share of rejected requests, and took how long the last
	// rejection took to arrive.
	rate float64
	took time.Duration
	// longestQueue is the longest queue that the target has reported with an answer.
	longestQueue int
}

// full reports whether a rejection with the given load means that the target is
// full: all slots are busy or requests wait, and its queue is as long as any that it
// has accepted.
func (r *rejections) full(load *wire.Load, slots int) bool {
	if load == nil {
		return true
	}
	return load.Queued >= r.longestQueue && (load.Queued > 0 || load.InFlight >= slots)
}

func (r *rejections) recordAnswer(load *wire.Load) {
	r.rate -= rejectionWeight * r.rate
	if load != nil {
		r.longestQueue = max(r.longestQueue, load.Queued)
	}
}

func (r *rejections) recordRejection(took time.Duration) {
	r.rate = min(r.rate+rejectionWeight*(1-r.rate), maxRejectionRate)
	r.took = took
}

// expectedCost returns the time that rejections are expected to add to a request
// until it is accepted here, if each costs a retry.
func (r *rejections) expectedCost(retryCost time.Duration) time.Duration {
	return time.Duration(r.rate / (1 - r.rate) * float64(r.took+retryCost))
}
