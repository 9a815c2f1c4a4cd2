package relay

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

// callerTimeouts learns the full timeout of the callers of each route: the
// longest time that a recent request had left. A request with less time left has
// spent the difference, either a little on its way here or more on a first
// attempt. If most requests of a route have much less than the longest time
// left, its callers use different timeouts, and a large difference does not show
// how long a caller has waited.
type callerTimeouts struct {
	mu     mutex.Mutex
	routes map[string]*routeTimeout
}

// routeTimeout holds the longest remaining time of this period and of the one
// before.
type routeTimeout struct {
	current, previous time.Duration
	periodStart       time.Time
	// seen is the number of requests so far.
	seen int
	// nearMaxShare is the recent share of requests that had about the longest
	// time left.
	nearMaxShare float64
}

const (
	// timeoutPeriod is the minimum time for which a caller's timeout is
	// remembered.
	timeoutPeriod = 30 * time.Second
	// maxTravelTime is the longest time that a request is assumed to travel. A
	// request that has spent more is a retry after a first attempt.
	maxTravelTime = 60 * time.Millisecond
	// timeoutStep is the number that timeouts are assumed to be multiples of,
	// since people choose round values. The longest remaining time is rounded up
	// to it until minSeen requests have arrived, since the first ones have all
	// spent time on opening a connection.
	timeoutStep = 50 * time.Millisecond
	minSeen     = 50
	// minNearMaxShare is the minimum nearMaxShare of a route whose callers count
	// as having equal timeouts, and nearMaxWeight the weight of one request in
	// it. The weight is small because many requests are retries after an outage.
	minNearMaxShare = 0.25
	nearMaxWeight   = 0.01
	// maxRoutes bounds the routes remembered.
	maxRoutes = 4096
)

// timeSpent returns how long the caller had waited before its request arrived.
func (c *callerTimeouts) timeSpent(now time.Time, route string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.routes[route]
	if state == nil {
		if c.routes == nil || len(c.routes) >= maxRoutes {
			c.routes = map[string]*routeTimeout{}
		}
		state = &routeTimeout{periodStart: now, nearMaxShare: 1}
		c.routes[route] = state
	}
	if now.Sub(state.periodStart) > timeoutPeriod {
		state.previous, state.current, state.periodStart = state.current, 0, now
	}
	state.current = max(state.current, remaining)
	fullTimeout := max(state.current, state.previous)
	if state.seen++; state.seen <= minSeen {
		fullTimeout = (fullTimeout + timeoutStep - 1).Truncate(timeoutStep)
	}
	spent := fullTimeout - remaining
	nearMax := 0.0
	if spent <= maxTravelTime {
		nearMax = 1
	}
	state.nearMaxShare += nearMaxWeight * (nearMax - state.nearMaxShare)
	if nearMax == 0 && state.nearMaxShare < minNearMaxShare {
		return 0
	}
	return spent
}
