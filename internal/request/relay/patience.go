package relay

import (
	"sync"
	"time"
)

// patience knows how long the callers of each route wait in all. One that has
// a little less time left has spent the difference on its way here: looking up
// an address and opening a connection.
type patience struct {
	mu     sync.Mutex
	routes map[string]*longest
}

// longest is the longest time of this period and of the one before.
type longest struct {
	now, before time.Duration
	turned      time.Time
}

const (
	// patiencePeriod is how long a caller's time is remembered at least.
	patiencePeriod = 30 * time.Second
	// wayMost is the longest that a caller's way here is taken to be; who has
	// still less time has another deadline, or asks for the second time.
	wayMost = 60 * time.Millisecond
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
		l = &longest{turned: now}
		p.routes[route] = l
	}
	if now.Sub(l.turned) > patiencePeriod {
		l.before, l.now, l.turned = l.now, 0, now
	}
	l.now = max(l.now, left)
	if spent := max(l.now, l.before) - left; spent <= wayMost {
		return spent
	}
	return 0
}
