// Package daemon assembles and runs a daemon that serves the project's own interface.
//
// # Usage
//
//	d := &daemon.Daemon{Setup: setup, Keys: keys}
//	err := d.Start(ctx)
//	...
//	err = d.Stop(ctx) // graceful: cuts no request
//
// Separate packages without I/O make all decisions; this package only connects
// them to sockets and timers.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/guard"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/link"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fresh"
	"github.com/magnoliarelay/magnoliarelay/internal/process/gossip"
	"github.com/magnoliarelay/magnoliarelay/internal/process/hosts"
	"github.com/magnoliarelay/magnoliarelay/internal/process/joiner"
	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mono"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/quota"
	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
	"github.com/magnoliarelay/magnoliarelay/internal/process/server"
	"github.com/magnoliarelay/magnoliarelay/internal/process/setup"
	"github.com/magnoliarelay/magnoliarelay/internal/process/sleep"
	"github.com/magnoliarelay/magnoliarelay/internal/process/store"
	"github.com/magnoliarelay/magnoliarelay/internal/process/tenant"
	"github.com/magnoliarelay/magnoliarelay/internal/process/watch"
	"github.com/magnoliarelay/magnoliarelay/internal/request/once"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	KindStart Kind = "Start"
	KindStop  Kind = "Stop"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	// maxKeys is the maximum number of idempotency keys that one home keeps, on a host with
	// much memory. On others, keys take one part in keysDivisor of the memory.
	maxKeys     = 1 << 18
	keysDivisor = 8
	bytesPerKey = 1 << 10
	// joinInterval is the time between rounds of joining.
	joinInterval = 500 * time.Millisecond
	// maxJoinSeeds is the maximum number of daemons that a joining daemon asks in a
	// round.
	maxJoinSeeds = 3
	// maxTargetWait is the maximum time that a starting daemon waits for targets to
	// answer.
	maxTargetWait = 5 * time.Second
	// discoveryInterval is the mean time between attempts to contact daemons that are
	// listed but not in the table.
	discoveryInterval = 2 * time.Second
	megabyte          = 1 << 20
)

// Daemon is one daemon. Exported fields are set before Start.
type Daemon struct {
	Setup *setup.Setup
	Keys  *keys.Keys
	// WrapLink, if set, wraps the socket that QUIC uses. Experiments set it.
	WrapLink func(net.PacketConn) net.PacketConn

	Meter  *meter.Meter
	Keeper *epoch.Keeper
	Table  *member.Table
	Poison *poison.Register
	Quota  *quota.Quota

	started    time.Time
	self       member.Member
	link       *link.Link
	gossip     *gossip.Gossip
	fresh      *fresh.Tracker
	store      *store.Store
	watch      *watch.Watch
	hosts      *hosts.Hosts
	server     *server.Server
	home       *once.Home
	cancel     context.CancelFunc
	membership *joiner.Membership
	opaque     opaque
	// requests and answers bound the memory that clients hold.
	requests *room.Room
	answers  *room.Room
	// forwardsInFlight counts the requests in flight that other daemons forwarded.
	forwardsInFlight atomic.Int64
	// peerContext ends when a stop has no more time for these requests.
	peerContext    context.Context
	endPeerContext context.CancelCauseFunc
	hostsLoaded    atomic.Bool
	seeds          atomic.Pointer[[]string]

	mu      mutex.Mutex
	tenants map[string]*tenant.Tenant
}

// Start starts the daemon and returns once it listens. The daemon becomes ready when
// it has settings and a host list, and targets have answered.
func (d *Daemon) Start(ctx context.Context) error {
	d.started = time.Now()
	d.tenants = map[string]*tenant.Tenant{}
	d.peerContext, d.endPeerContext = context.WithCancelCause(context.Background())
	d.Meter = meter.New()
	d.Keeper = epoch.NewKeeper()
	d.fresh = fresh.New(mono.Now(), rand.Uint64())
	d.fresh.Patience = watch.Patience
	d.fresh.State = func() (settings, roster stamp.Stamp) { return d.Keeper.Stamp(), stamp.Stamp{} }
	d.Poison = poison.New()
	d.Quota = quota.New(d.Setup.Name)
	d.hosts = &hosts.Hosts{URL: d.Setup.HostList}
	d.link = &link.Link{Address: d.Setup.Link, Keys: d.Keys, Handle: d.handle, WrapSocket: d.WrapLink}
	d.gossip = &gossip.Gossip{
		Link: d.link, Keeper: d.Keeper, Fresh: d.fresh, Clock: mono.Now, Poison: d.Poison, Quota: d.Quota, Meter: d.Meter,
		Accepted: func(string) { d.applySettings() }, Execute: d.executeForwarded,
	}
	d.gossip.Init()
	d.server = &server.Server{Address: d.Setup.Listen, Name: d.Setup.Name, Backend: d, Meter: d.Meter, Report: klog.InfoS, OnRefuse: func() { d.home.Close() }}
	d.limitClients()
	if err := d.listen(); err != nil {
		return err
	}
	if len(d.Setup.Store) > 0 {
		count := func(call string) { d.Meter.StoreCalls.WithLabelValues(call).Inc() }
		d.store = &store.Store{Endpoints: d.Setup.Store, Count: count}
		d.watch = &watch.Watch{Store: d.store, Keeper: d.Keeper, Table: d.Table, Fresh: d.fresh, Clock: mono.Now, Meter: d.Meter, ApplySettings: d.gossip.ApplySettings}
	}
	ctx, d.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go d.join(ctx)
	go d.gossip.Run(ctx)
	go d.pollHosts(ctx)
	go d.pollTargets(ctx)
	go d.maintain(ctx)
	return nil
}

// limitClients sets what the clients of both addresses may hold.
func (d *Daemon) limitClients() {
	host := d.guardHost()
	d.requests, d.answers = host.Requests(), host.Answers()
	d.requests.OnEvict = func(int64) { d.Meter.CountDecision("EvictRequest") }
	d.answers.OnEvict = func(int64) { d.Meter.CountDecision("EvictAnswer") }
	d.server.Requests, d.server.MaxConnections = d.requests, d.maxConnections()
}

func (d *Daemon) guardHost() guard.Host {
	return guard.Host{MemoryBytes: int64(d.Setup.MemoryMB) * megabyte, Descriptors: d.Setup.Descriptors}
}

// maxKeys bounds the idempotency keys by the memory.
func (d *Daemon) maxKeys() int {
	return int(min(maxKeys, d.guardHost().Memory()/keysDivisor/bytesPerKey))
}

// maxConnections bounds the connections of each address for callers.
func (d *Daemon) maxConnections() int {
	share := guard.Callers
	if d.Setup.Opaque != "" {
		share /= 2
	}
	return d.guardHost().Connections(share)
}

// listen opens the sockets, which determines the daemon's addresses, and then creates
// the parts that depend on them. No message is handled before the table is set.
func (d *Daemon) listen() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.link.Start(); err != nil {
		return &Error{Op: "start", Kind: KindStart, Err: err}
	}
	if err := d.server.Listen(); err != nil {
		d.link.Close()
		return &Error{Op: "start", Kind: KindStart, Err: err}
	}
	d.self = member.Member{
		Name: d.Setup.Name, Link: d.link.Address, URL: "http://" + d.server.Address,
		DataCentre: d.Setup.DataCentre, Region: d.Setup.Region,
		Incarnation: uint64(d.started.UnixNano()), State: member.Joining,
	}
	d.Table = member.New(d.started, d.self, rand.Uint64())
	d.gossip.Table = d.Table
	d.membership = &joiner.Membership{Table: d.Table, Push: d.gossip.Push, JoinInterval: joinInterval}
	d.home = once.New(once.Config{Daemon: d.self.Name, Incarnation: d.self.Incarnation, MaxTokenLife: maxTokenLife, MaxKeys: d.maxKeys()})
	// Serve comes after the setup of all parts above, since requests may arrive at once.
	d.server.Serve()
	if err := d.startOpaque(); err != nil {
		d.server.Kill()
		d.link.Close()
		return &Error{Op: "start", Kind: KindStart, Err: err}
	}
	return nil
}

// handle passes messages to gossip; it drops them until listen has finished.
func (d *Daemon) handle(ctx context.Context, from net.Addr, kind link.Type, body []byte) []byte {
	d.mu.Lock()
	ready := d.gossip.Table != nil
	d.mu.Unlock()
	if !ready {
		return nil
	}
	return d.gossip.Handle(ctx, from, kind, body)
}

// URL returns the base URL for callers.
func (d *Daemon) URL() string { return d.self.URL }

// Link returns the address for other daemons.
func (d *Daemon) Link() string { return d.self.Link }

func (d *Daemon) uptime() time.Duration { return time.Since(d.started) }

// join finds other daemons and settings, and retries until the daemon is ready. It
// then keeps contacting listed daemons that the table lacks, until ctx ends.
func (d *Daemon) join(ctx context.Context) {
	watching := false
	if d.membership.Join(ctx, func(ctx context.Context) bool { return d.joinRound(ctx, &watching) }) {
		klog.Infof("daemon %s is ready at %s", d.self.Name, d.self.URL)
	}
	for ctx.Err() == nil {
		d.gossip.Join(ctx, d.unknownSeeds(time.Now()), 1)
		sleep.For(ctx, jitter(discoveryInterval))
	}
}

// joinRound is one round of joining. It reports whether the daemon can serve.
func (d *Daemon) joinRound(ctx context.Context, watching *bool) bool {
	d.gossip.Join(ctx, d.candidates(ctx), maxJoinSeeds)
	if d.watch != nil && d.Keeper.Current().Change.Revision == 0 {
		if err := d.watch.ReadOnce(ctx); err != nil {
			d.Meter.CountDecision("StoreUnavailableAtStart")
		}
	}
	if d.watch != nil && !*watching {
		*watching = true
		go d.watch.Run(ctx)
	}
	return d.canServe()
}

// unknownSeeds lists the daemons of the host list and the setup that the table lacks or
// marks as silent. By contacting them, groups of daemons that have never exchanged
// messages find each other.
func (d *Daemon) unknownSeeds(now time.Time) []string {
	known := map[string]bool{d.self.Link: true}
	for _, m := range d.Table.All(now) {
		if m.State < member.Silent {
			known[m.Link] = true
		}
	}
	found := slices.DeleteFunc(d.seedLinks(), func(at string) bool { return known[at] })
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}

// seedLinks lists the link addresses of the daemons in the setup and the host list.
func (d *Daemon) seedLinks() []string {
	found := slices.Clone(d.Setup.Peers)
	if listed := d.seeds.Load(); listed != nil {
		found = append(found, *listed...)
	}
	return found
}

// candidates lists, in random order, the daemons that a joining daemon may ask: those
// of the setup and the host list or, if there are none, those registered in the store.
func (d *Daemon) candidates(ctx context.Context) []string {
	found := d.seedLinks()
	if len(found) == 0 && d.store != nil {
		if registered, err := watch.Seeds(ctx, d.store); err == nil {
			found = append(found, registered...)
		}
	}
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}

// canServe reports whether the daemon has the information that it needs to serve.
func (d *Daemon) canServe() bool {
	ready, _ := d.checkServable()
	return ready
}

// checkServable is canServe with the reason why the daemon cannot serve.
func (d *Daemon) checkServable() (bool, string) {
	switch {
	case d.Keeper.Current().Change.Revision == 0 && d.store != nil && !d.storeEmpty():
		return false, "no settings: neither the store nor another daemon has answered"
	case !d.hostsLoaded.Load():
		return false, "no host list: the platform has not answered"
	case !d.targetsAnswered():
		return false, "no target has answered yet"
	}
	return true, ""
}

// targetsAnswered reports whether targets of every service in the host list have
// answered. It reports true after maxTargetWait, so that a service whose targets all
// fail does not delay the start for longer.
func (d *Daemon) targetsAnswered() bool {
	if d.uptime() > maxTargetWait {
		return true
	}
	answered := true
	d.eachTenant(func(_, _ string, t *tenant.Tenant) {
		if !t.Fleet.AllPolled() {
			answered = false
		}
	})
	return answered
}

// storeEmpty reports whether the store answers but holds no settings yet. The
// defaults are in force in that case.
func (d *Daemon) storeEmpty() bool {
	ctx, cancel := context.WithTimeout(context.Background(), joinInterval)
	defer cancel()
	item, err := d.store.Get(ctx, watch.SettingsKey)
	return err == nil && item.Revision == 0
}

// Ready reports whether the daemon serves and, if not, the reason.
func (d *Daemon) Ready() (bool, string) {
	self := d.Table.Self(time.Now())
	switch self.State {
	case member.Ready:
		return true, ""
	case member.Leaving:
		return false, "leaving"
	default:
		if _, reason := d.checkServable(); reason != "" {
			return false, reason
		}
		return false, "joining"
	}
}

// applySettings applies the current revision of the settings to every tenant.
func (d *Daemon) applySettings() {
	e := d.Keeper.Current()
	for _, name := range e.Tree.Services() {
		deployment, service, _ := strings.Cut(name, "/")
		d.tenant(deployment, service)
	}
	d.updateTenants(time.Now())
}

func (d *Daemon) updateTenants(now time.Time) {
	settings := d.Keeper.Current().Tree
	daemons := d.Table.Live()
	d.eachTenant(func(deployment, service string, t *tenant.Tenant) {
		t.Update(now, settings.Resolve(deployment, service, ""), daemons)
	})
}

func (d *Daemon) eachTenant(do func(deployment, service string, t *tenant.Tenant)) {
	d.mu.Lock()
	tenants := make(map[string]*tenant.Tenant, len(d.tenants))
	for name, t := range d.tenants {
		tenants[name] = t
	}
	d.mu.Unlock()
	for name, t := range tenants {
		deployment, service, _ := strings.Cut(name, "/")
		do(deployment, service, t)
	}
}

// tenant returns the tenant of a service and creates it on first use. It is called
// only for services that the settings or the host list name.
func (d *Daemon) tenant(deployment, service string) *tenant.Tenant {
	name := deployment + "/" + service
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tenants[name]
	if t == nil {
		t = tenant.New(tenant.Config{
			Daemon: d.self.Name + "-" + strconv.FormatUint(d.self.Incarnation, 36), Deployment: deployment, Service: service,
			Seed: rand.Uint64(), Meter: d.Meter, Poison: d.Poison, Quota: d.Quota, OnTargetLost: d.gossip.Push,
		})
		d.tenants[name] = t
	}
	return t
}

func (d *Daemon) findTenant(deployment, service string) *tenant.Tenant {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tenants[deployment+"/"+service]
}

// Search answers a caller's search.
func (d *Daemon) Search(ctx context.Context, arrived time.Time, request *wire.SearchRequest) (*wire.SearchAnswer, *wire.Refusal) {
	t := d.findTenant(request.Deployment, request.Service)
	if t == nil {
		return nil, d.unknownService(request.Deployment, request.Service)
	}
	return t.Search(ctx, arrived, request, d.Keeper.Current())
}

func (d *Daemon) unknownService(deployment, service string) *wire.Refusal {
	if ready, reason := d.Ready(); !ready && !d.membership.Leaving() {
		return &wire.Refusal{Kind: wire.RefusalNotReady, Message: reason, Ran: wire.RanNo, RetryAfterMillis: joinInterval.Milliseconds()}
	}
	message := "neither the settings nor the host list name " + deployment + "/" + service
	return &wire.Refusal{Kind: wire.RefusalUnknown, Message: message, Ran: wire.RanNo}
}
