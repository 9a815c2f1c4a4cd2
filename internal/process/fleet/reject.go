package fleet

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// rejectionWeight is the weight of a new outcome in a target's rejection rate.
const rejectionWeight = 0.1

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
// full: its queue is as long as any that it has accepted.
func (r *rejections) full(load *wire.Load) bool {
	return load == nil || load.Queued > 0 && load.Queued >= r.longestQueue
}

func (r *rejections) recordAnswer(load *wire.Load) {
	r.rate -= rejectionWeight * r.rate
	if load != nil {
		r.longestQueue = max(r.longestQueue, load.Queued)
	}
}

func (r *rejections) recordRejection(took time.Duration) {
	r.rate += rejectionWeight * (1 - r.rate)
	r.took = took
}

// expectedCost returns the time that rejections are expected to add to a request
// until it is accepted here, if each costs a retry.
func (r *rejections) expectedCost(retryCost time.Duration) time.Duration {
	return time.Duration(r.rate / (1 - r.rate) * float64(r.took+retryCost))
}
