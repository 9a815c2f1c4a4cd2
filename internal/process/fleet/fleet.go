package fleet

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/calls"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Config configures a Fleet; it doesn't change after New.
type Config struct {
	// Daemon is this daemon's name. It determines the subset of targets that
	// the daemon uses when there are more than it may connect to.
	Daemon     string
	Deployment string
	Service    string
	// Region is the region of this daemon.
	Region string
	// Registered is true for a pool whose targets come from SetEntries.
	Registered bool
	// OnStateChange, if set, is called when the daemon's view of whether a target
	// serves requests changes; why is the outcome that changed it.
	OnStateChange func(t *Target, state State, why Outcome)
	// OnNotice, if set, is called when a target begins to leave or to pause, or when it
	// changes its limit.
	OnNotice func(t *Target, n Notice)
	// OnKept, if set, is called for each request that is kept away from a target that
	// leaves, pauses or limits its requests.
	OnKept func(why NoticeKind)
	// OnRemoved, if set, is called when a registered target is removed or replaced that has
	// not said before that it leaves.
	OnRemoved func(t *Target)
	// Seed makes the selection of targets repeatable.
	Seed uint64
}

// Fleet is the state of one service's targets. Its methods may be called from
// any goroutine.
type Fleet struct {
	config Config

	mu       mutex.Mutex
	random   *rand.Rand
	settings *tree.Settings
	daemons  int
	// localDaemons is the number of daemons in this daemon's region.
	localDaemons int
	// sharers is the number of daemons that are expected to use each target.
	sharers         int
	lastRoutinePoll time.Time
	targets         map[string]*Target
	order           []*Target
	views           []*View
	plan            *View
	viewsStale      bool
	waiters         map[int][]*waiter
	latency         *latencies
	selfReports     selfReports
	drainTimeout    time.Duration
	// limitFraction is this daemon's fraction of the limits that targets name.
	limitFraction float64
	// hasRejected is true once a target has rejected a request with room to spare. Until
	// then, requests need not find out what a retry costs.
	hasRejected atomic.Bool
	// calls are those of functions from outside the package, which are made without mu.
	calls calls.Queue
}

// New returns an empty fleet with the default settings.
func New(config Config) *Fleet {
	f := &Fleet{
		config:        config,
		random:        rand.New(rand.NewPCG(config.Seed, 0x9e3779b97f4a7c15)),
		settings:      tree.Default(),
		daemons:       1,
		sharers:       1,
		limitFraction: 1,
		targets:       map[string]*Target{},
		waiters:       map[int][]*waiter{},
	}
	if !config.Registered {
		f.latency = newLatencies()
	}
	return f
}

// Configure applies the service's settings.
func (f *Fleet) Configure(settings *tree.Settings) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	f.settings = settings
}

// SetDaemons sets the number of live daemons that share the targets.
func (f *Fleet) SetDaemons(count int) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	if count = max(count, 1); count != f.daemons {
		f.daemons = count
		f.viewsStale = true
	}
}

// SetHosts applies the platform's host list. Hosts that are no longer listed
// are removed; hosts that are marked as leaving get no new work.
func (f *Fleet) SetHosts(now time.Time, hosts []wire.Host) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	listed := make(map[string]bool, len(hosts))
	for i := range hosts {
		listed[hosts[i].Address] = true
		f.setHost(now, &hosts[i])
	}
	for address, t := range f.targets {
		if !listed[address] {
			t.state = StateLeaving
			delete(f.targets, address)
			f.viewsStale = true
		}
	}
	f.order = f.order[:0]
	for _, t := range f.targets {
		f.order = append(f.order, t)
	}
	slices.SortFunc(f.order, func(a, b *Target) int { return compare(a.Address, b.Address) })
}

func (f *Fleet) setHost(now time.Time, h *wire.Host) {
	t := f.targets[h.Address]
	if t == nil {
		t = &Target{
			ID: h.Address, Address: h.Address, Region: h.Region, DataCentre: h.DataCentre, Rack: h.Rack,
			state: StateUnknown, slots: defaultSlots, limit: 1, lastSeen: now,
		}
		f.targets[h.Address] = t
	}
	if t.hostLeaving != h.Leaving {
		t.hostLeaving = h.Leaving
		if h.Leaving {
			f.setState(t, StateLeaving)
		} else {
			f.setState(t, StateUnknown)
		}
	}
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (f *Fleet) setState(t *Target, state State) {
	if t.state == state {
		return
	}
	wasUsable := t.usable()
	t.state = state
	if wasUsable != t.usable() {
		f.viewsStale = true
	}
}

// usable reports whether the target may be part of a view.
func (t *Target) usable() bool { return t.state == StateReady || t.state == StateSilent }

// Report applies a target's status. A new incarnation, that is a restarted
// process, starts with a clean record.
func (f *Fleet) Report(now time.Time, address string, status *wire.TargetStatus) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	t := f.targets[address]
	if t == nil {
		return
	}
	t.lastSeen = now
	if t.incarnation != status.Incarnation {
		t.restarted = now
		t.incarnation = status.Incarnation
		t.clearFailures()
		t.limit = 1
		t.latencyAt = time.Time{}
	}
	t.generation = status.Load.Generation
	t.statusOutdated = false
	t.slots = max(status.Slots, 1)
	t.connections = status.Connections
	if !sameIndexes(t.indexes, status.Indexes) {
		t.indexes = status.Indexes
		f.viewsStale = true
	}
	if status.Load.Draining || t.hostLeaving {
		f.setState(t, StateLeaving)
		return
	}
	f.setState(t, StateReady)
	f.wakeAll(t)
}

// Unreachable records a failed status poll. refused is true if the target's
// host answered that nothing listens on the port, and false if the poll got no
// answer.
func (f *Fleet) Unreachable(address string, refused bool) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	t := f.targets[address]
	switch {
	case t == nil || t.state == StateLeaving:
	case refused:
		f.setState(t, StateDown)
	case t.state == StateReady || t.state == StateUnknown:
		f.setState(t, StateSilent)
	}
}

// Forget records that a target no longer holds an index version.
func (f *Fleet) Forget(t *Target, version uint64) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	kept := make([]wire.Index, 0, len(t.indexes))
	for i := range t.indexes {
		if t.indexes[i].Version != version || t.indexes[i].Service != f.config.Service {
			kept = append(kept, t.indexes[i])
		}
	}
	t.indexes = kept
	f.viewsStale = true
}

// Plan returns the view that a new request uses to its end, or nil when no
// target is known.
func (f *Fleet) Plan() *View {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	f.refresh()
	return f.plan
}

// AllPolled reports whether every listed target has been polled at least once,
// successfully or not.
func (f *Fleet) AllPolled() bool {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	for _, t := range f.order {
		if t.state == StateUnknown {
			return false
		}
	}
	return true
}

// PlanVersion returns the view of one index version, or nil when no target
// holds it.
func (f *Fleet) PlanVersion(version uint64) *View {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	f.refresh()
	for _, v := range f.views {
		if v.Version == version {
			return v
		}
	}
	return nil
}

func (f *Fleet) refresh() {
	if !f.viewsStale {
		return
	}
	f.viewsStale = false
	f.views = buildViews(f.config.Service, f.order)
	f.plan = chooseView(f.views)
	f.sharers = f.daemons
	if f.plan == nil {
		return
	}
	for _, v := range f.views {
		sharers := v.restrict(f.config.Daemon, f.daemons)
		if v == f.plan {
			f.sharers = sharers
		}
	}
}

// Capacity returns how many whole queries this daemon may run at once. A shard
// can serve as many sub-requests of this daemon at once as the sum of the
// daemon's limits over its replicas; the shard with the smallest sum is the
// bottleneck. A query lasts longer than its sub-request at any one shard, so
// more queries than that are needed to keep the bottleneck busy.
func (f *Fleet) Capacity(now time.Time) int {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	f.refresh()
	if f.plan == nil {
		return 0
	}
	smallest := 1 << 30
	for _, replicas := range f.plan.Replicas {
		sum := 0
		for _, t := range replicas {
			sum += f.polledLimit(t)
		}
		if sum > 0 {
			smallest = min(smallest, sum)
		}
	}
	if smallest == 1<<30 {
		return 0
	}
	return int(math.Ceil(float64(smallest)*f.durationRatio(now))) + extraQueries
}

const (
	// maxDurationRatio bounds durationRatio, and so the number of queries
	// beyond what the bottleneck shard serves at once.
	maxDurationRatio = 4
	// extraQueries is the number of further queries that keep the shard busy
	// between the end of one query and the start of the next.
	extraQueries = 1
)

// durationRatio returns how many times longer a query lasts than one of its
// sub-requests: a query ends with the answer of its slowest shard, and the
// canary runs before all others.
func (f *Fleet) durationRatio(now time.Time) float64 {
	shards := f.plan.Shards()
	slowest, ok := f.latency.quantile(now, 1-1/float64(shards+1))
	if !ok || f.latency.mean <= 0 {
		return 1
	}
	last := slowest.Seconds()
	if f.settings.Canary && shards > 1 {
		typical, _ := f.latency.quantile(now, canaryQuantile)
		last += typical.Seconds()
	}
	return min(max(last/f.latency.mean, 1), maxDurationRatio)
}

// PollDue returns the addresses of the targets to poll now and marks them as
// polled.
func (f *Fleet) PollDue(now time.Time, interval time.Duration) []string {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	var due []string
	routineAllowed := now.Sub(f.lastRoutinePoll) >= routineInterval
	for _, t := range f.order {
		routine := routineAllowed && t.routineDue(now, interval)
		if !routine && !t.pollDue(now, interval) {
			continue
		}
		if routine {
			f.lastRoutinePoll = now
			routineAllowed = false
		}
		t.lastPolled = now
		due = append(due, t.Address)
	}
	return due
}

// Row is the state of one target as shown to operators.
type Row struct {
	Address       string
	DataCentre    string
	Rack          string
	State         State
	InFlight      int
	Limit         float64
	LatencyMillis float64
	Ejected       bool
}

// Rows returns the state of every target, sorted by address.
func (f *Fleet) Rows(now time.Time) []Row {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	rows := make([]Row, 0, len(f.order))
	for _, t := range f.order {
		rows = append(rows, Row{
			Address: t.Address, DataCentre: t.DataCentre, Rack: t.Rack, State: t.state, InFlight: t.inFlight,
			Limit: t.limit, LatencyMillis: t.latency * 1000, Ejected: now.Before(t.ejectedUntil),
		})
	}
	return rows
}

func sameIndexes(a, b []wire.Index) bool {
	return slices.EqualFunc(a, b, func(x, y wire.Index) bool {
		return x.Service == y.Service && x.Version == y.Version && x.ShardCount == y.ShardCount && slices.Equal(x.Shards, y.Shards)
	})
}
