package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/joiner"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mono"
	"github.com/magnoliarelay/magnoliarelay/internal/process/sleep"
	"github.com/magnoliarelay/magnoliarelay/internal/process/tenant"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const (
	hostsInterval = time.Second
	// pollCheckInterval is the time between checks for targets that are due for a poll.
	pollCheckInterval    = 100 * time.Millisecond
	pollTimeout          = time.Second
	maxConcurrentPolls   = 64
	maintenanceInterval  = 250 * time.Millisecond
	daemonRole           = "Daemon"
	maxAddresses         = 16
	maxTokenLife         = 2 * time.Minute
	tokenValidityDivisor = 2
)

// pollHosts reads the host list periodically. While it cannot be read, the previous
// list stays in use.
func (d *Daemon) pollHosts(ctx context.Context) {
	working := true
	for ctx.Err() == nil {
		list, err := d.hosts.Read(ctx)
		switch {
		case err != nil && working && ctx.Err() == nil:
			klog.Errorf("could not read the host list; the previous list stays in use: %v", err)
			working = false
		case err == nil:
			working = true
			d.applyHosts(time.Now(), list)
		}
		sleep.For(ctx, jitter(hostsInterval))
	}
}

// applyHosts passes the daemons of a host list on as seeds and the targets to the
// tenants of their services.
func (d *Daemon) applyHosts(now time.Time, list []wire.Host) {
	var seeds []string
	byTenant := map[*tenant.Tenant][]wire.Host{}
	addresses := map[*tenant.Tenant]map[string]bool{}
	d.eachTenant(func(_, _ string, t *tenant.Tenant) { byTenant[t] = nil })
	for i := range list {
		h := &list[i]
		if h.Role == daemonRole {
			if !h.Leaving && h.Address != d.self.Link {
				seeds = append(seeds, h.Address)
			}
			continue
		}
		t := d.tenant(h.Deployment, h.Service)
		byTenant[t] = append(byTenant[t], *h)
		if addresses[t] == nil {
			addresses[t] = map[string]bool{}
		}
		addresses[t][h.Address] = true
	}
	d.seeds.Store(&seeds)
	listed := map[string]bool{}
	for t, hosts := range byTenant {
		maps.Copy(listed, addresses[t])
		t.Fleet.SetHosts(now, hosts)
		t.Pool.Keep(addresses[t])
	}
	d.opaque.closeUnlisted(listed)
	d.hostsLoaded.Store(true)
}

// pollTargets asks targets for their status: targets that have never replied at once,
// and others after an interval without any reply.
func (d *Daemon) pollTargets(ctx context.Context) {
	slots := make(chan struct{}, maxConcurrentPolls)
	ticker := time.NewTicker(pollCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		interval := d.Keeper.Current().Tree.Resolve("", "", "").StatusInterval
		d.eachTenant(func(_, _ string, t *tenant.Tenant) {
			for _, address := range t.Fleet.PollDue(time.Now(), interval) {
				slots <- struct{}{}
				go func() {
					defer func() { <-slots }()
					poll(ctx, t, address)
				}()
			}
		})
	}
}

func poll(ctx context.Context, t *tenant.Tenant, address string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	status, outcome := t.Pool.Get(address, 0).Status(ctx)
	if status != nil {
		t.Fleet.Report(time.Now(), address, status)
		return
	}
	t.Fleet.Unreachable(address, outcome == fleet.Refused)
}

// maintain periodically updates the tenants and the metrics and removes expired state.
func (d *Daemon) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.updateTenants(now)
			d.sweepOpaque(now)
			d.home.Sweep(d.uptime())
			d.updateGauges(now)
		}
	}
}

func (d *Daemon) updateGauges(now time.Time) {
	sent, heard := d.link.Bytes()
	set := func(name string, value float64) { d.Meter.Gauges.WithLabelValues(name).Set(value) }
	set("SettingsRevision", float64(d.Keeper.Current().Change.Revision))
	confirmed, attempted := d.fresh.Ages(mono.Now())
	set("SecondsSinceConfirmed", confirmed.Seconds())
	set("SecondsSinceStoreAsked", attempted.Seconds())
	set("Members", float64(d.Table.Live()))
	set("IdempotencyKeys", float64(d.home.Keys()))
	set("Quarantined", float64(d.Poison.Count(now)))
	set("LinkBytesSent", float64(sent))
	set("LinkBytesHeard", float64(heard))
	var used tenant.Usage
	d.eachTenant(func(_, _ string, t *tenant.Tenant) {
		usage := t.Usage(now)
		used.Primaries += usage.Primaries
		used.Hedges += usage.Hedges
		used.Retries += usage.Retries
	})
	set("PrimariesLastSecond", float64(used.Primaries))
	set("HedgesLastSecond", float64(used.Hedges))
	set("RetriesLastSecond", float64(used.Retries))
	set("InFlight", float64(d.server.InFlight()))
}

// Stop leaves gracefully: other daemons remove this one from their address lists, it
// serves until callers no longer use old lists, and it finishes the requests in
// flight. The context and StopGrace bound the time; an error reports the requests that
// were interrupted.
func (d *Daemon) Stop(ctx context.Context) error {
	settings := d.Keeper.Current().Tree.Resolve("", "", "")
	ctx, cancel := context.WithTimeout(ctx, settings.StopGrace-stopMargin(settings.StopGrace))
	defer cancel()
	klog.Infof("daemon %s is leaving", d.self.Name)
	servers := []joiner.Server{d.server}
	if d.opaque.server != nil {
		servers = append(servers, d.opaque.server)
	}
	interrupted, err := d.membership.Leave(ctx, joiner.LeaveOptions{
		AddressTTL: settings.AddressKeep + settings.SilentAfter, Servers: servers,
		PeerRequests:   func() int { return d.home.Running() + int(d.forwardsInFlight.Load()) },
		InterruptPeers: d.stopForwarded,
		Close:          d.close,
	})
	klog.InfoS("stopped", "interrupted", interrupted)
	if err == nil && interrupted > 0 {
		err = fault.Causef("there was no time left for %d commands forwarded by other daemons", interrupted)
	}
	if err != nil {
		return &Error{Op: "stop", Kind: KindStop, Err: err}
	}
	return nil
}

const (
	// maxStopMargin is the part of StopGrace that is reserved for the answers to
	// requests that are interrupted, and for leaving the other daemons. A short
	// StopGrace is divided by minStopMarginDivisor instead.
	maxStopMargin        = 800 * time.Millisecond
	minStopMarginDivisor = 2
)

func stopMargin(grace time.Duration) time.Duration {
	return min(maxStopMargin, grace/minStopMarginDivisor)
}

// Kill ends the daemon at once, like a crash.
func (d *Daemon) Kill() {
	d.server.Kill()
	if d.opaque.server != nil {
		d.opaque.server.Close()
	}
	d.close()
}

func (d *Daemon) close() {
	d.cancel()
	d.link.Close()
	d.eachTenant(func(_, _ string, t *tenant.Tenant) { t.Pool.Close() })
}

// jitter returns a random duration around interval, so that the periodic work of many
// daemons does not coincide.
func jitter(interval time.Duration) time.Duration {
	return interval/2 + time.Duration(rand.Int64N(int64(interval)))
}

// InFlight returns the number of requests from callers that are in flight.
func (d *Daemon) InFlight() int64 { return int64(d.server.InFlight()) }
