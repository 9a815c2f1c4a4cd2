// Package timing estimates quantiles of the response times of each route and region,
// and derives the hedge delay from them. All targets of a region are measured
// together, so a slow target does not raise its own hedge delay much.
//
// # Usage
//
//	t := timing.New()
//	t.Observe("stock-check", "north", took)
//	if time.Since(sent) > t.HedgeDelay("stock-check", "north", true) {
//		// send to another target
//	}
package timing

import (
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

const (
	// samples is the number of response times that the quantiles are computed from, and
	// measureEvery the number of new ones after which they are computed again.
	samples      = 256
	measureEvery = 16
	// minSamples is the number of response times below which the default hedge delays
	// are used.
	minSamples = 24
	// hedgeQuantile is the quantile of the response times after which an attempt is
	// hedged. The retry budgets allow a hedge of each of the slower attempts.
	hedgeQuantile = 0.91
	// timerMargin allows for late timers and scheduling.
	timerMargin = 3 * time.Millisecond
	// minHedgeDelay and maxHedgeDelay bound the hedge delay.
	minHedgeDelay = 8 * time.Millisecond
	maxHedgeDelay = 500 * time.Millisecond
	// defaultLocalHedgeDelay and defaultRemoteHedgeDelay are the hedge delays for the
	// local region and for remote regions until there are minSamples response times.
	defaultLocalHedgeDelay  = 100 * time.Millisecond
	defaultRemoteHedgeDelay = 140 * time.Millisecond
	// maxKeys bounds the number of pairs of a route and a region.
	maxKeys = 4096
)

type key struct{ route, region string }

type responseTimes struct {
	ring       [samples]time.Duration
	count      int
	hedgeDelay time.Duration
	median     time.Duration
}

// Tracker holds the response times of all routes and regions. Its methods are safe for
// concurrent use.
type Tracker struct {
	mu     mutex.Mutex
	routes map[key]*responseTimes
}

// New returns a tracker without observations.
func New() *Tracker { return &Tracker{routes: map[key]*responseTimes{}} }

// Observe records a response time.
func (t *Tracker) Observe(route, region string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{route, region}
	r := t.routes[k]
	if r == nil {
		if len(t.routes) >= maxKeys {
			clear(t.routes)
		}
		r = &responseTimes{}
		t.routes[k] = r
	}
	r.ring[r.count%samples] = took
	r.count++
	if r.count == minSamples || r.count > minSamples && r.count%measureEvery == 0 {
		r.measure()
	}
}

func (r *responseTimes) measure() {
	sorted := r.ring
	filled := sorted[:min(r.count, samples)]
	slices.Sort(filled)
	r.median = filled[len(filled)/2]
	r.hedgeDelay = min(max(filled[int(hedgeQuantile*float64(len(filled)-1))]+timerMargin, minHedgeDelay), maxHedgeDelay)
}

// HedgeDelay returns the time after which an attempt at a target of the region counts as
// late and may be hedged. local is true if the region is the daemon's own.
func (t *Tracker) HedgeDelay(route, region string, local bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.routes[key{route, region}]; r != nil && r.count >= minSamples {
		return r.hedgeDelay
	}
	if local {
		return defaultLocalHedgeDelay
	}
	return defaultRemoteHedgeDelay
}

// Median returns the median response time of targets of the region, or half of the
// default hedge delay while there are too few response times.
func (t *Tracker) Median(route, region string, local bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.routes[key{route, region}]; r != nil && r.count >= minSamples {
		return r.median
	}
	if local {
		return defaultLocalHedgeDelay / 2
	}
	return defaultRemoteHedgeDelay / 2
}
