// Package daemon puts the parts of a daemon together and runs them.
//
// # Usage
//
//	d := &daemon.Daemon{Setup: setup, Keys: keys}
//	err := d.Start(ctx)
//	...
//	err = d.Stop(ctx) // graceful: cuts no request
//
// Everything that decides is in packages of its own, free of I/O; this one
// only wires them to sockets and timers.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/link"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/gossip"
	"github.com/magnoliarelay/magnoliarelay/internal/process/hosts"
	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/pause"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/quota"
	"github.com/magnoliarelay/magnoliarelay/internal/process/server"
	"github.com/magnoliarelay/magnoliarelay/internal/process/setup"
	"github.com/magnoliarelay/magnoliarelay/internal/process/stay"
	"github.com/magnoliarelay/magnoliarelay/internal/process/store"
	"github.com/magnoliarelay/magnoliarelay/internal/process/tenant"
	"github.com/magnoliarelay/magnoliarelay/internal/process/watch"
	"github.com/magnoliarelay/magnoliarelay/internal/request/once"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
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
	// keysMost bounds the idempotency keys kept at one home.
	keysMost = 1 << 18
	// joinRetry is the time between rounds of joining.
	joinRetry = 500 * time.Millisecond
	// joinSeeds is the number of daemons that a joining one asks.
	joinSeeds = 3
	// meetTargets bounds the time that a starting daemon waits for targets.
	meetTargets = 5 * time.Second
	// meetInterval is the time between tries to meet daemons not heard of.
	meetInterval = 2 * time.Second
)

// Daemon is one daemon. Exported fields are set before Start.
type Daemon struct {
	Setup *setup.Setup
	Keys  *keys.Keys
	// WrapLink, if set, stands between QUIC and the socket, for experiments.
	WrapLink func(net.PacketConn) net.PacketConn

	Meter  *meter.Meter
	Keeper *epoch.Keeper
	Table  *member.Table
	Poison *poison.Register
	Quota  *quota.Quota

	started time.Time
	self    member.Member
	link    *link.Link
	gossip  *gossip.Gossip
	store   *store.Store
	watch   *watch.Watch
	hosts   *hosts.Hosts
	server  *server.Server
	home    *once.Home
	cancel  context.CancelFunc
	stay    *stay.Stay
	opaque  opaque
	// forwards counts requests of other daemons that are being answered.
	forwards atomic.Int64
	hostSeen atomic.Bool
	seeds    atomic.Pointer[[]string]

	mu      sync.RWMutex
	tenants map[string]*tenant.Tenant
}

// Start brings the daemon up. It returns once it listens; it becomes ready
// when it has settings and a host list.
func (d *Daemon) Start(ctx context.Context) error {
	d.started = time.Now()
	d.tenants = map[string]*tenant.Tenant{}
	d.Meter = meter.New()
	d.Keeper = epoch.NewKeeper()
	d.Poison = poison.New()
	d.Quota = quota.New(d.Setup.Name)
	d.hosts = &hosts.Hosts{URL: d.Setup.HostList}
	d.link = &link.Link{Address: d.Setup.Link, Keys: d.Keys, Handle: d.handle, WrapSocket: d.WrapLink}
	d.gossip = &gossip.Gossip{
		Link: d.link, Keeper: d.Keeper, Poison: d.Poison, Quota: d.Quota, Meter: d.Meter,
		Accepted: d.applySettings, Execute: d.executeForwarded,
	}
	d.gossip.Init()
	d.server = &server.Server{Address: d.Setup.Listen, Name: d.Setup.Name, Backend: d, Meter: d.Meter}
	if err := d.listen(); err != nil {
		return err
	}
	if len(d.Setup.Store) > 0 {
		count := func(call string) { d.Meter.StoreCalls.WithLabelValues(call).Inc() }
		d.store = &store.Store{Endpoints: d.Setup.Store, Count: count}
		d.watch = &watch.Watch{Store: d.store, Keeper: d.Keeper, Table: d.Table, Meter: d.Meter, ApplySettings: d.gossip.ApplySettings}
	}
	ctx, d.cancel = context.WithCancel(context.WithoutCancel(ctx))
	go d.join(ctx)
	go d.gossip.Run(ctx)
	go d.pollHosts(ctx)
	go d.pollTargets(ctx)
	go d.housekeep(ctx)
	return nil
}

// listen opens the sockets, which fixes the daemon's addresses, and then makes
// what depends on them. Nothing arrives before the table is set.
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
	d.stay = &stay.Stay{Table: d.Table, Push: d.gossip.Push, Retry: joinRetry}
	d.home = once.New(once.Config{Daemon: d.self.Name, Incarnation: d.self.Incarnation, MaxTokenLife: homeLife, MaxKeys: keysMost})
	// Last, since requests may come in at once.
	d.server.Serve()
	if err := d.startOpaque(); err != nil {
		d.server.Kill()
		d.link.Close()
		return &Error{Op: "start", Kind: KindStart, Err: err}
	}
	return nil
}

// handle passes messages on once listen has finished.
func (d *Daemon) handle(ctx context.Context, from net.Addr, kind link.Type, body []byte) []byte {
	d.mu.RLock()
	ready := d.gossip.Table != nil
	d.mu.RUnlock()
	if !ready {
		return nil
	}
	return d.gossip.Handle(ctx, from, kind, body)
}

// URL returns the base address for callers.
func (d *Daemon) URL() string { return d.self.URL }

// Link returns the address for other daemons.
func (d *Daemon) Link() string { return d.self.Link }

func (d *Daemon) uptime() time.Duration { return time.Since(d.started) }

// join finds other daemons and settings, and goes on trying until the daemon
// is ready. Afterwards it meets daemons that it has not heard of.
func (d *Daemon) join(ctx context.Context) {
	watching := false
	if d.stay.Join(ctx, func(ctx context.Context) bool { return d.meet(ctx, &watching) }) {
		klog.Infof("daemon %s is ready at %s", d.self.Name, d.self.URL)
	}
	for ctx.Err() == nil {
		d.gossip.Join(ctx, d.strangers(time.Now()), 1)
		pause.For(ctx, jitter(meetInterval))
	}
}

// meet is one round of joining. It reports whether the daemon can serve.
func (d *Daemon) meet(ctx context.Context, watching *bool) bool {
	d.gossip.Join(ctx, d.candidates(ctx), joinSeeds)
	if d.watch != nil && d.Keeper.Current().Change.Revision == 0 {
		if err := d.watch.ReadOnce(ctx); err != nil {
			d.Meter.Decide("StoreUnavailableAtStart")
		}
	}
	if d.watch != nil && !*watching {
		*watching = true
		go d.watch.Run(ctx)
	}
	return d.settled()
}

// strangers lists daemons of the host list and the setup that the table lacks
// or holds for silent. Parts of a tier that never met find each other by it.
func (d *Daemon) strangers(now time.Time) []string {
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

// seedLinks lists the daemons of the setup and of the host list.
func (d *Daemon) seedLinks() []string {
	found := slices.Clone(d.Setup.Peers)
	if listed := d.seeds.Load(); listed != nil {
		found = append(found, *listed...)
	}
	return found
}

// candidates lists daemons to join by: peers of the setup, the host list, and
// the keys in the store; in random order.
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

// settled reports whether the daemon knows enough to serve.
func (d *Daemon) settled() bool {
	ready, _ := d.knows()
	return ready
}

func (d *Daemon) knows() (bool, string) {
	switch {
	case d.Keeper.Current().Change.Revision == 0 && d.store != nil && !d.storeEmpty():
		return false, "no settings: neither the store nor another daemon has answered"
	case !d.hostSeen.Load():
		return false, "no host list: the platform has not answered"
	case !d.targetsMet():
		return false, "no target has answered yet"
	}
	return true, ""
}

// targetsMet reports whether targets of every service that the host list names
// have answered. A service whose targets all fail is not waited for long.
func (d *Daemon) targetsMet() bool {
	if d.uptime() > meetTargets {
		return true
	}
	met := true
	d.eachTenant(func(_, _ string, t *tenant.Tenant) {
		if !t.Fleet.AllPolled() {
			met = false
		}
	})
	return met
}

// storeEmpty reports whether the store answers but holds no settings yet, in
// which case the defaults are in force.
func (d *Daemon) storeEmpty() bool {
	ctx, cancel := context.WithTimeout(context.Background(), joinRetry)
	defer cancel()
	item, err := d.store.Get(ctx, watch.SettingsKey)
	return err == nil && item.Revision == 0
}

// Ready reports whether the daemon serves, and if not why.
func (d *Daemon) Ready() (bool, string) {
	self := d.Table.Self(time.Now())
	switch self.State {
	case member.Ready:
		return true, ""
	case member.Leaving:
		return false, "leaving"
	default:
		if _, reason := d.knows(); reason != "" {
			return false, reason
		}
		return false, "joining"
	}
}

// applySettings brings a new revision to every tenant.
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
	d.mu.RLock()
	tenants := make(map[string]*tenant.Tenant, len(d.tenants))
	for name, t := range d.tenants {
		tenants[name] = t
	}
	d.mu.RUnlock()
	for name, t := range tenants {
		deployment, service, _ := strings.Cut(name, "/")
		do(deployment, service, t)
	}
}

// tenant returns the tenant of a service, made on first use. Only services
// that the settings or the host list name come here.
func (d *Daemon) tenant(deployment, service string) *tenant.Tenant {
	name := deployment + "/" + service
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tenants[name]
	if t == nil {
		t = tenant.New(tenant.Config{
			Daemon: d.self.Name + "-" + strconv.FormatUint(d.self.Incarnation, 36), Deployment: deployment, Service: service,
			Seed: rand.Uint64(), Meter: d.Meter, Poison: d.Poison, Quota: d.Quota, Suspect: d.gossip.Push,
		})
		d.tenants[name] = t
	}
	return t
}

func (d *Daemon) find(deployment, service string) *tenant.Tenant {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.tenants[deployment+"/"+service]
}

// Search answers a caller's search.
func (d *Daemon) Search(ctx context.Context, arrived time.Time, request *wire.SearchRequest) (*wire.SearchAnswer, *wire.Refusal) {
	t := d.find(request.Deployment, request.Service)
	if t == nil {
		return nil, d.unknown(request.Deployment, request.Service)
	}
	return t.Search(ctx, arrived, request, d.Keeper.Current())
}

func (d *Daemon) unknown(deployment, service string) *wire.Refusal {
	if ready, reason := d.Ready(); !ready && !d.stay.Leaving() {
		return &wire.Refusal{Kind: wire.RefusalNotReady, Message: reason, Ran: wire.RanNo, RetryAfterMillis: joinRetry.Milliseconds()}
	}
	message := "neither the settings nor the host list name " + deployment + "/" + service
	return &wire.Refusal{Kind: wire.RefusalUnknown, Message: message, Ran: wire.RanNo}
}
