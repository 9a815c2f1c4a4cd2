// Package timing estimates quantiles of the response times of each route and region,
// and derives the hedge delay from them. All targets of a region are measured
// together, so a slow target does not raise its own hedge delay much.
//
// # Usage
//
//	t := timing.New()
//	t.Observe("stock-check", "north", took)
//	if time.Since(sent) > t.HedgeDelay("stock-check", "north", near) {
//		// send to another target
//	}
package timing

import (
	"slices"
	"sync"
	"time"
)

const (
	// samples is the number of response times that the quantiles are computed from, and
	// measureEvery the number of new ones after which they are computed again.
	samples      = 256
	measureEvery = 16
	// samplesMin is the number of response times below which the defaults are used.
	samplesMin = 24
	// hedgeQuantile is the quantile of the response times after which an attempt is
	// hedged. The budgets have room for a second attempt for the slower ones.
	hedgeQuantile = 0.91
	// timerMargin allows for late timers and scheduling.
	timerMargin = 3 * time.Millisecond
	// hedgeDelayMin and hedgeDelayMax bound the hedge delay.
	hedgeDelayMin = 8 * time.Millisecond
	hedgeDelayMax = 500 * time.Millisecond
	// nearDefault and farDefault are the hedge delays for the local region and for
	// other regions until there are enough response times.
	nearDefault = 100 * time.Millisecond
	farDefault  = 140 * time.Millisecond
	// keysMax bounds the number of pairs of a route and a region.
	keysMax = 4096
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
	mu     sync.Mutex
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
		if len(t.routes) >= keysMax {
			clear(t.routes)
		}
		r = &responseTimes{}
		t.routes[k] = r
	}
	r.ring[r.count%samples] = took
	r.count++
	if r.count == samplesMin || r.count > samplesMin && r.count%measureEvery == 0 {
		r.measure()
	}
}

func (r *responseTimes) measure() {
	sorted := r.ring
	filled := sorted[:min(r.count, samples)]
	slices.Sort(filled)
	r.median = filled[len(filled)/2]
	r.hedgeDelay = min(max(filled[int(hedgeQuantile*float64(len(filled)-1))]+timerMargin, hedgeDelayMin), hedgeDelayMax)
}

// HedgeDelay returns the time after which an attempt at a target of the region counts as
// late and may be hedged. near tells that the region is the local one.
func (t *Tracker) HedgeDelay(route, region string, near bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.routes[key{route, region}]; r != nil && r.count >= samplesMin {
		return r.hedgeDelay
	}
	if near {
		return nearDefault
	}
	return farDefault
}

// Median returns the median response time of targets of the region.
func (t *Tracker) Median(route, region string, near bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.routes[key{route, region}]; r != nil && r.count >= samplesMin {
		return r.median
	}
	if near {
		return nearDefault / 2
	}
	return farDefault / 2
}
