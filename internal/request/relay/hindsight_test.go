package relay

import (
	"slices"
	"time"
)

// hindsight is the best dispatcher that a load test compares with: one for all
// callers, which knows when each target is free, pauses, is slow, rejects or loses an answer. It
// serves requests in the order of their offered, each shard where its answer comes
// first, leaves out shards that would be late, and refuses a request that would
// miss too many.
type hindsight struct {
	pattern *pattern
	began   time.Time
	slots   int
	// travel is the time that a message takes each way.
	travel time.Duration
	// free holds for each target the times at which its slots become free.
	free map[string][]time.Time
}

// offered is one request that callers sent.
type offered struct {
	at   time.Time
	kind *requestKind
	work time.Duration
}

// worth returns what the arrivals from the given time on earn in hindsight, as a
// share of what they could earn.
func (h *hindsight) worth(c *cluster, arrivals []offered, from time.Time) float64 {
	earned, owed := 0.0, 0.0
	for _, a := range arrivals {
		share := h.serve(c, a)
		if a.at.Before(from) {
			continue
		}
		earned += share * share * a.kind.worth
		owed += a.kind.worth
	}
	return earned / owed
}

// booking is the use of one slot for one shard.
type booking struct {
	target string
	slot   int
	until  time.Time
}

// serve books the shards of a request and returns the share that is in time; zero
// if the request is refused.
func (h *hindsight) serve(c *cluster, a offered) float64 {
	var bookings []booking
	shards := a.kind.route.Gather
	for shard, name := range shards {
		best, found := booking{}, false
		for replica, f := range c.targets[name] {
			e := h.pattern.effect(a.at.Sub(h.began), shard, replica)
			if c.random.Float64() < e.rejectRate || c.random.Float64() < e.lossRate {
				continue
			}
			free := h.free[f.id]
			if free == nil {
				free = make([]time.Time, h.slots)
				h.free[f.id] = free
			}
			slot := earliest(free)
			start := a.at.Add(h.travel)
			if free[slot].After(start) {
				start = free[slot]
			}
			until := f.pause.end(start, time.Duration(e.slowdown*float64(a.work)))
			if until.Add(h.travel).Sub(a.at) > a.kind.route.LatencyTarget {
				continue
			}
			if !found || until.Before(best.until) {
				best, found = booking{target: f.id, slot: slot, until: until}, true
			}
		}
		if found {
			bookings = append(bookings, best)
		}
	}
	share := float64(len(bookings)) / float64(len(shards))
	if share < a.kind.route.LeastCoverage {
		return 0
	}
	for _, b := range bookings {
		h.free[b.target][b.slot] = b.until
	}
	return share
}

func earliest(times []time.Time) int {
	return slices.Index(times, slices.MinFunc(times, time.Time.Compare))
}
