// Package pools holds a daemon's state of every pool of targets: the fleet that
// chooses among the targets, the retry budget, and the connections. The current
// routes and the registrations determine the pools and their targets.
//
// # Usage
//
//	p := &pools.Pools{Region: "north", RegionOf: regionOf, Terms: terms}
//	p.Configure(routes)
//	p.Register(now, "label-desk", entries)
//	fleet, budget := p.Fleet("label-desk"), p.Budget("label-desk")
//	reply, err := p.Connections(target).Do(ctx, request, deadline)
package pools

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/bulk"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/process/retry"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// Pools holds the state of all pools. Its exported fields are set before the
// first call.
type Pools struct {
	// Daemon is this daemon's name. It determines the subset of targets that
	// the daemon uses when there are more than it may connect to.
	Daemon string
	Region string
	// RegionOf returns the region of a data centre.
	RegionOf func(dataCentre string) string
	// Terms configures the retry budget of each pool.
	Terms retry.Terms
	// Seed makes the selection of targets repeatable.
	Seed uint64
	// Opened, if set, is called for each new connection to a target.
	Opened func()
	// Correlator, if set, identifies the request that a target's reply belongs to.
	Correlator http1.Correlator
	// OnStateChange, if set, is called when the daemon's view of whether a target
	// serves requests changes.
	OnStateChange func(pool string, t *fleet.Target, state fleet.State, why fleet.Outcome)
	// OnNotice, if set, is called when a target begins to leave or to pause or changes its
	// limit, and OnKept for each request that is kept away from such a target.
	OnNotice func(pool string, t *fleet.Target, n fleet.Notice)
	OnKept   func(why fleet.NoticeKind)
	// OnRemoved, if set, is called when a target is no longer registered, or replaced, that
	// has not said before that it leaves.
	OnRemoved func(t *fleet.Target)
	// DrainTimeout is for how long a target may get requests after it has said that it
	// leaves.
	DrainTimeout time.Duration

	mu                mutex.Mutex
	pools             map[string]*pool
	conns             map[string]*http1.Pool
	daemons           int
	localDaemons      int
	allowanceFraction float64
	transferredBytes  atomic.Int64
	bulk              *bulk.Budget
}

// maxBulkBytes bounds the memory of long replies that are being read by all
// attempts together; a daemon may have as little as 184 MB.
const maxBulkBytes = 16 << 20

type pool struct {
	fleet       *fleet.Fleet
	budget      *retry.Budget
	connections int
}

func (p *Pools) get(name string) *pool {
	p.mu.Lock()
	found := p.pools[name]
	p.mu.Unlock()
	if found != nil {
		return found
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if found = p.pools[name]; found != nil {
		return found
	}
	if p.pools == nil {
		p.pools = map[string]*pool{}
	}
	found = &pool{
		fleet: fleet.New(fleet.Config{
			Daemon: p.Daemon, Service: name, Region: p.Region, Registered: true, Seed: p.Seed ^ xxhash.Sum64String(name),
			OnStateChange: func(t *fleet.Target, state fleet.State, why fleet.Outcome) {
				if p.OnStateChange != nil {
					p.OnStateChange(name, t, state, why)
				}
			},
			OnNotice: func(t *fleet.Target, n fleet.Notice) {
				if p.OnNotice != nil {
					p.OnNotice(name, t, n)
				}
			},
			OnKept: p.OnKept,
			OnRemoved: func(t *fleet.Target) {
				if p.OnRemoved != nil {
					p.OnRemoved(t)
				}
			},
		}),
		budget: retry.New(p.Terms),
	}
	found.fleet.SetDaemons(max(p.daemons, 1))
	found.fleet.SetLocalDaemons(p.localDaemons)
	found.fleet.SetDrainTimeout(p.DrainTimeout)
	found.fleet.SetLimitFraction(time.Now(), p.allowanceFraction)
	found.budget.SetAllowanceFraction(p.allowanceFraction)
	p.pools[name] = found
	return found
}

// Fleet returns the fleet of a pool, which may have no targets.
func (p *Pools) Fleet(name string) *fleet.Fleet { return p.get(name).fleet }

// Budget returns the retry budget of a pool, from which hedges are taken too.
func (p *Pools) Budget(name string) *retry.Budget { return p.get(name).budget }

// Configure applies the connection limits of the current routes.
func (p *Pools) Configure(routes *tree.Routes) {
	for name, settings := range routes.Pools {
		found := p.get(name)
		p.mu.Lock()
		found.connections = settings.Connections
		p.mu.Unlock()
		found.fleet.SetConnections(settings.Connections)
	}
}

// SetSharers sets how many daemons share the targets, how many of them are in
// this daemon's region, and the fraction of each retry budget's allowance, and of each
// limit that a target names, that this daemon may spend.
func (p *Pools) SetSharers(count, local int, fraction float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if count = max(count, 1); count == p.daemons && local == p.localDaemons && fraction == p.allowanceFraction {
		return
	}
	p.daemons, p.localDaemons, p.allowanceFraction = count, local, fraction
	for _, found := range p.pools {
		found.fleet.SetDaemons(count)
		found.fleet.SetLocalDaemons(local)
		found.budget.SetAllowanceFraction(fraction)
		found.fleet.SetLimitFraction(time.Now(), fraction)
	}
}

// TransferredBytes returns the number of bytes sent to and received from targets.
func (p *Pools) TransferredBytes() int64 { return p.transferredBytes.Load() }

// SetTerms changes the retry budgets of all pools.
func (p *Pools) SetTerms(terms retry.Terms) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Terms = terms
	for _, found := range p.pools {
		found.budget.SetTerms(terms)
	}
}

// SetDrainTimeout changes for how long targets that begin to leave may get requests.
func (p *Pools) SetDrainTimeout(timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.DrainTimeout = timeout
	for _, found := range p.pools {
		found.fleet.SetDrainTimeout(timeout)
	}
}

// Register applies the registrations of one pool.
func (p *Pools) Register(now time.Time, name string, entries []roster.Entry) {
	found := p.get(name)
	gone := found.fleet.SetEntries(now, entries, p.RegionOf)
	p.mu.Lock()
	defer p.mu.Unlock()
	found.fleet.SetConnections(found.connections)
	for _, id := range gone {
		if conns := p.conns[id]; conns != nil {
			conns.Close()
			delete(p.conns, id)
		}
	}
}

// Connections returns the connections to a target. They send only what the target
// admits at that moment.
func (p *Pools) Connections(t *fleet.Target) http1.Gated {
	return http1.Gated{Pool: p.connections(t), Gate: t}
}

func (p *Pools) connections(t *fleet.Target) *http1.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.conns[t.ID]
	if conns == nil || conns.Address != t.Address {
		if p.conns == nil {
			p.conns = map[string]*http1.Pool{}
		}
		if p.bulk == nil {
			p.bulk = &bulk.Budget{MaxBytes: maxBulkBytes}
		}
		conns = &http1.Pool{Address: t.Address, Opened: p.Opened, BodyBudget: p.bulk, TransferredBytes: &p.transferredBytes, Correlator: p.Correlator}
		p.conns[t.ID] = conns
	}
	return conns
}

// Sweep closes connections that have been idle for too long, and idle ones that
// the target has closed.
func (p *Pools) Sweep(now time.Time) {
	p.mu.Lock()
	conns := make([]*http1.Pool, 0, len(p.conns))
	for _, c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.Sweep(now)
	}
}

// Spent is the usage of one pool's retry budget in the current window.
type Spent struct {
	Pool     string
	Requests int
	Extras   int
	Allowed  float64
}

// MostSpent returns the usage of the retry budget that has the smallest share
// left. Pool is empty while no pool has made any extra attempt.
func (p *Pools) MostSpent(now time.Time) Spent {
	p.mu.Lock()
	defer p.mu.Unlock()
	var most Spent
	for name, found := range p.pools {
		requests, extras, allowed := found.budget.Usage(now)
		if float64(extras)*most.Allowed > float64(most.Extras)*allowed || most.Pool == "" && extras > 0 {
			most = Spent{Pool: name, Requests: requests, Extras: extras, Allowed: allowed}
		}
	}
	return most
}
