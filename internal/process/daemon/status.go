package daemon

import (
	"slices"
	"strings"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/tenant"
)

// Status is the reply to GET /v1/status.
type Status struct {
	Name             string
	Ready            bool
	Reason           string `json:",omitempty"`
	State            string
	UptimeMillis     int64
	SettingsRevision int64
	SettingsNumber   int64
	SettingsOrder    int64
	Watching         bool
	IdempotencyKeys  int
	Quarantined      int
	LinkBytesSent    int64
	LinkBytesHeard   int64
	Members          []MemberStatus
	Services         []ServiceStatus
	Violations       map[string]int
}

// MemberStatus is one daemon as this one sees it.
type MemberStatus struct {
	Name       string
	URL        string
	DataCentre string
	State      string
}

// ServiceStatus is one service as this daemon sees it.
type ServiceStatus struct {
	Deployment   string
	Service      string
	IndexVersion uint64
	Shards       int
	LostShards   []int `json:",omitempty"`
	Capacity     int
	Running      int
	Waiting      int
	TargetsUp    int
	Targets      int
	// LastSecond counts the attempts of the last second.
	LastSecond tenant.Usage
}

// Status returns a Snapshot for the HTTP server.
func (d *Daemon) Status() any { return d.Snapshot() }

// Snapshot returns the current status of the daemon.
func (d *Daemon) Snapshot() *Status {
	now := time.Now()
	e := d.Keeper.Current()
	ready, reason := d.Ready()
	sent, heard := d.link.Bytes()
	s := &Status{
		Name: d.self.Name, Ready: ready, Reason: reason, State: d.Table.Self(now).State.String(),
		UptimeMillis: d.uptime().Milliseconds(), SettingsRevision: e.Change.Revision, SettingsNumber: e.Change.Number, SettingsOrder: e.Change.Order,
		Watching: d.watch != nil && d.watch.Chosen(now), IdempotencyKeys: d.home.Keys(), Quarantined: d.Poison.Count(now),
		LinkBytesSent: sent, LinkBytesHeard: heard, Violations: d.Meter.ViolationCounts(),
	}
	for _, m := range d.Table.All(now) {
		s.Members = append(s.Members, MemberStatus{Name: m.Name, URL: m.URL, DataCentre: m.DataCentre, State: m.State.String()})
	}
	d.eachTenant(func(deployment, service string, t *tenant.Tenant) {
		s.Services = append(s.Services, serviceStatus(now, deployment, service, t))
	})
	slices.SortFunc(s.Services, func(a, b ServiceStatus) int {
		return strings.Compare(a.Deployment+"/"+a.Service, b.Deployment+"/"+b.Service)
	})
	return s
}

func serviceStatus(now time.Time, deployment, service string, t *tenant.Tenant) ServiceStatus {
	status := ServiceStatus{Deployment: deployment, Service: service, LastSecond: t.Usage(now)}
	status.Capacity, status.Running, status.Waiting = t.Queue.Load()
	if view := t.Fleet.Plan(); view != nil {
		status.IndexVersion, status.Shards, status.LostShards = view.Version, view.Shards(), view.Lost()
	}
	for _, row := range t.Fleet.Rows(now) {
		status.Targets++
		if row.State == fleet.StateReady {
			status.TargetsUp++
		}
	}
	return status
}
