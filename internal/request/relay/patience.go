package relay

import (
	"sync"
	"time"
)

// patience knows how long the callers of each route wait in all. One that has
// less time left has spent the difference before: a little on its way here, or
// more on a first attempt. Where most callers have much less than the longest
// time left, they do not wait equally long, and nothing is known of them.
type patience struct {
	mu     sync.Mutex
	routes map[string]*longest
}

// longest is the longest time of this period and of the one before.
type longest struct {
	now, before time.Duration
	turned      time.Time
	// seen is the number of requests so far.
	seen int
	// alike is the recent share of requests that had about the longest time left.
	alike float64
}

const (
	// patiencePeriod is how long a caller's time is remembered at least.
	patiencePeriod = 30 * time.Second
	// wayMost is the longest that a caller's way here is taken to be; who has
	// still less time asks again after a first attempt.
	wayMost = 60 * time.Millisecond
	// roundTime is what the times that callers wait are multiples of, as people
	// choose them. It stands in for the longest time until seenFew requests have
	// come: the first ones have all opened a connection.
	roundTime = 50 * time.Millisecond
	seenFew   = 50
	// alikeLeast is the least such share by which callers count as equally
	// patient, and alikeWeight the weight of one request. After an outage many
	// requests come again, so it falls slowly.
	alikeLeast  = 0.25
	alikeWeight = 0.01
	// patienceRoutes bounds the routes remembered.
	patienceRoutes = 4096
)

// spent returns how long the caller has waited before its request arrived.
func (p *patience) spent(now time.Time, route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.routes[route]
	if l == nil {
		if p.routes == nil || len(p.routes) >= patienceRoutes {
			p.routes = map[string]*longest{}
		}
		l = &longest{turned: now, alike: 1}
		p.routes[route] = l
	}
	if now.Sub(l.turned) > patiencePeriod {
		l.before, l.now, l.turned = l.now, 0, now
	}
	l.now = max(l.now, left)
	whole := max(l.now, l.before)
	if l.seen++; l.seen <= seenFew {
		whole = (whole + roundTime - 1).Truncate(roundTime)
	}
	spent := whole - left
	alike := 0.0
	if spent <= wayMost {
		alike = 1
	}
	l.alike += alikeWeight * (alike - l.alike)
	if alike == 0 && l.alike < alikeLeast {
		return 0
	}
	return spent
}
