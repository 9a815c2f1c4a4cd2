package daemon

import (
	"context"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/edge"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/plain"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/process/retry"
	"github.com/magnoliarelay/magnoliarelay/internal/process/tenant"
	"github.com/magnoliarelay/magnoliarelay/internal/process/timing"
	"github.com/magnoliarelay/magnoliarelay/internal/request/relay"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// opaque serves requests that are relayed unchanged, by the routes of the settings. A
// pool is a service with one shard, named "Deployment/Service"; searches and relayed
// requests share one record of the health of its targets.
type opaque struct {
	runner *relay.Runner
	server *edge.Server

	mu    mutex.Mutex
	conns map[string]*http1.Pool
}

// startOpaque starts to listen if the setup has an address for opaque requests.
func (d *Daemon) startOpaque() error {
	if d.Setup.Opaque == "" {
		return nil
	}
	d.opaque.runner = &relay.Runner{
		Pools: servicePools{d}, Connect: d.opaque.connect, Dialect: plain.Codec{}, Poison: d.Poison, ResponseTimes: timing.New(),
		OnSuspectedCrash: d.gossip.Push,
	}
	d.opaque.server = &edge.Server{
		Address: d.Setup.Opaque, Codec: plain.Codec{}, Serve: d.serveOpaque, Refuse: d.refuseOpaque, Limits: d.limits,
		WriteFailed: func(*relay.Request, error) { d.Meter.CountDecision("OpaqueAnswerUnwritten") },
		Report:      klog.InfoS,
		Requests:    d.requests, Answers: d.answers, MaxConnections: d.maxConnections(), OnEvict: func() { d.Meter.CountDecision("EvictConnection") },
	}
	return d.opaque.server.Start()
}

// Opaque returns the address for opaque requests; empty if the daemon serves none.
func (d *Daemon) Opaque() string {
	if d.opaque.server == nil {
		return ""
	}
	return d.opaque.server.Address
}

func (d *Daemon) limits() *tree.Limits {
	if routes := d.Keeper.Current().Tree.Routes(); routes != nil {
		return &routes.Limits
	}
	return nil
}

func (d *Daemon) serveOpaque(ctx context.Context, request *relay.Request) *relay.Answer {
	answer := d.answerOpaque(ctx, request)
	d.Meter.CountDecision("Opaque" + string(answer.Result))
	return answer
}

// refuseOpaque refuses a request for which a stop leaves no time.
func (d *Daemon) refuseOpaque(*relay.Request) *relay.Answer {
	d.Meter.CountDecision("OpaqueRefusedStopping")
	return &relay.Answer{Result: relay.NotRun, Reason: relay.ReasonStopping}
}

func (d *Daemon) answerOpaque(ctx context.Context, request *relay.Request) *relay.Answer {
	if ready, reason := d.Ready(); !ready && !d.membership.Leaving() {
		return &relay.Answer{Result: relay.NotRun, Reason: reason, RetryAfter: joinInterval}
	}
	routes := d.Keeper.Current().Tree.Routes()
	if routes == nil {
		return &relay.Answer{Result: relay.NoRoute, Reason: "the settings have no routes"}
	}
	path, _, _ := strings.Cut(request.URI, "?")
	route := routes.Match(request.Host, path)
	if route == nil {
		return &relay.Answer{Result: relay.NoRoute, Reason: "no route"}
	}
	answer := d.opaque.runner.Run(ctx, request, route)
	d.Meter.Answers.WithLabelValues(string(answer.Result), "", "", route.Name).Inc()
	d.Meter.Latency.WithLabelValues("", "", route.Name).Observe(time.Since(request.Arrived).Seconds())
	return answer
}

// servicePools maps the pools of routes to the daemon's services.
type servicePools struct{ daemon *Daemon }

// Fleet returns the targets of a service; nil for a service with several shards,
// since no single target could answer for all of them.
func (p servicePools) Fleet(name string) *fleet.Fleet {
	f := p.tenant(name).Fleet
	if view := f.Plan(); view != nil && view.Shards() > 1 {
		p.daemon.Meter.CountDecision("RouteToManyShards")
		return nil
	}
	return f
}

// Budget returns the retry budget of a service.
func (p servicePools) Budget(name string) *retry.Budget { return p.tenant(name).RetryBudget }

func (p servicePools) tenant(name string) *tenant.Tenant {
	deployment, service, _ := strings.Cut(name, "/")
	return p.daemon.tenant(deployment, service)
}

func (o *opaque) connect(t *fleet.Target) relay.Sender {
	o.mu.Lock()
	defer o.mu.Unlock()
	pool := o.conns[t.Address]
	if pool == nil {
		if o.conns == nil {
			o.conns = map[string]*http1.Pool{}
		}
		pool = &http1.Pool{Address: t.Address, Correlator: plain.Codec{}}
		o.conns[t.Address] = pool
	}
	return pool
}

// sweepOpaque closes connections that were idle for too long or that the target closed.
func (d *Daemon) sweepOpaque(now time.Time) {
	d.opaque.mu.Lock()
	defer d.opaque.mu.Unlock()
	for _, pool := range d.opaque.conns {
		pool.Sweep(now)
	}
}

// closeUnlisted closes the connections to targets that are no longer listed.
func (o *opaque) closeUnlisted(listed map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for address, pool := range o.conns {
		if !listed[address] {
			pool.Close()
			delete(o.conns, address)
		}
	}
}
