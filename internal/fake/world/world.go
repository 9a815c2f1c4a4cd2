// Package world starts a fake platform, fake searchers and any number of real
// daemons in one process on loopback, for the demo, the benchmarks and the tests.
//
// # Usage
//
//	w := &world.World{
//		Daemons:  2,
//		Settings: files,
//		Services: []world.Service{{Deployment: "Erbacee", Name: "LabelDesk", Shards: 4, Replicas: 2}},
//	}
//	err := w.Start(ctx)
//	defer w.Stop()
//	c := w.Caller("Erbacee", "stall-7")
package world

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/corpus"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/hosts"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/proxy"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	fakestore "github.com/magnoliarelay/magnoliarelay/internal/fake/store"
	"github.com/magnoliarelay/magnoliarelay/internal/process/daemon"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/process/setup"
	"github.com/magnoliarelay/magnoliarelay/internal/process/store"
	"github.com/magnoliarelay/magnoliarelay/internal/version/change"
	"github.com/magnoliarelay/magnoliarelay/pkg/caller"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Kind classifies an Error.
type Kind string

// KindTimeout means that the daemons did not become ready in time.
const KindTimeout Kind = "Timeout"

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	loopback          = "127.0.0.1:0"
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
	// FirstVersion is the index version that searchers start with.
	FirstVersion = 1
)

// Service describes the searchers of one service.
type Service struct {
	Deployment  string
	Name        string
	Shards      int
	Replicas    int
	Slots       int
	Connections int
	ConnectCost time.Duration
	QueueLimit  int
	// Documents is the number of documents in the corpus.
	Documents int
	// ShardsPerTarget is the number of shards that each searcher holds; zero means one.
	ShardsPerTarget int
	Behaviour       shard.Behaviour
}

// World is a small deployment. The fields up to NoStore must be set before
// Start, which sets the other exported ones.
type World struct {
	Services []Service
	Daemons  int
	// DataCentres and Regions are the places of daemons and searchers, which are
	// distributed over them round-robin.
	DataCentres []string
	Regions     []string
	Settings    tree.Files
	HostLag     time.Duration
	Seed        uint64
	// Proxied puts a fault-injecting proxy in front of each searcher.
	Proxied bool
	// LinkLoss is the share of packets between daemons that are dropped.
	LinkLoss float64
	// OnQuery, if set, is called with the text of each search that arrives at a searcher.
	OnQuery func(query string)
	// NoStore runs the daemons without a store, with the default settings.
	NoStore bool

	Store   *fakestore.Store
	Hosts   *hosts.List
	Running []*daemon.Daemon
	// Searchers holds the searchers of each service, replica by replica, by
	// "deployment/service".
	Searchers map[string][]*shard.Searcher
	Corpora   map[string]*corpus.Corpus
	// Proxies holds the proxy of the searcher at the same key and index of
	// Searchers.
	Proxies map[string][]*proxy.Proxy

	authority *keys.Authority
	linkBytes atomic.Int64
	// mu guards Running and listed, which change while requests are in flight.
	mu     mutex.Mutex
	listed []wire.Host
}

// Start starts all services and daemons, then calls WaitReady.
func (w *World) Start(ctx context.Context) error {
	if len(w.DataCentres) == 0 {
		w.DataCentres, w.Regions = []string{"dc-1", "dc-2", "dc-3"}, []string{"r-1", "r-1", "r-1"}
	}
	w.Searchers = map[string][]*shard.Searcher{}
	w.Corpora = map[string]*corpus.Corpus{}
	w.Proxies = map[string][]*proxy.Proxy{}
	w.Hosts = &hosts.List{Lag: w.HostLag}
	if err := w.Hosts.Start(loopback); err != nil {
		return err
	}
	for i := range w.Services {
		if err := w.startService(&w.Services[i]); err != nil {
			return err
		}
	}
	w.Hosts.Set(w.listed)
	if err := w.startStore(ctx); err != nil {
		return err
	}
	authority, err := keys.NewAuthority()
	if err != nil {
		return err
	}
	w.authority = authority
	for range w.Daemons {
		if _, err := w.AddDaemon(ctx); err != nil {
			return err
		}
	}
	return w.WaitReady(ctx)
}

func (w *World) startStore(ctx context.Context) error {
	if w.NoStore {
		return nil
	}
	w.Store = &fakestore.Store{}
	if err := w.Store.Start(loopback); err != nil {
		return err
	}
	if w.Settings == nil {
		return nil
	}
	_, err := w.Apply(ctx, w.Settings)
	return err
}

// Changer returns a client that applies settings.
func (w *World) Changer() *change.Change {
	return &change.Change{Store: &store.Store{Endpoints: []string{w.Store.URL()}}}
}

// Apply applies a settings tree to the store.
func (w *World) Apply(ctx context.Context, files tree.Files) (*change.Result, error) {
	return w.Changer().Apply(ctx, change.Request{Files: files, Author: "operator", Message: "experiment"})
}

// AddDaemon starts one more daemon.
func (w *World) AddDaemon(ctx context.Context) (*daemon.Daemon, error) {
	number := len(w.Running)
	return w.StartDaemon(ctx, fmt.Sprintf("daemon-%d", number), loopback, loopback, number)
}

// StartDaemon starts a daemon with the given name and addresses. It replaces the
// daemon of the same name, if any; number selects the data centre and region.
func (w *World) StartDaemon(ctx context.Context, name, listen, linkAddress string, number int) (*daemon.Daemon, error) {
	k, err := w.authority.Temporary(name)
	if err != nil {
		return nil, err
	}
	index := number % len(w.DataCentres)
	s := &setup.Setup{
		Name: name, Listen: listen, Link: linkAddress, Opaque: loopback, DataCentre: w.DataCentres[index], Region: w.Regions[index],
		HostList: "http://" + w.Hosts.Address() + "/hosts",
	}
	if w.Store != nil {
		s.Store = []string{w.Store.URL()}
	}
	d := &daemon.Daemon{Setup: s, Keys: k, WrapLink: w.wrapLink}
	if err := d.Start(ctx); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.Running = slices.DeleteFunc(w.Running, func(old *daemon.Daemon) bool { return old.Setup.Name == name })
	w.Running = append(w.Running, d)
	w.mu.Unlock()
	w.AddHost(wire.Host{Address: d.Link(), Role: "Daemon", Region: s.Region, DataCentre: s.DataCentre})
	return d, nil
}

// Alive returns the daemons that were started and neither replaced nor removed.
func (w *World) Alive() []*daemon.Daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.Running)
}

// Remove kills a daemon without a replacement; the host list still contains it.
func (w *World) Remove(d *daemon.Daemon) {
	d.Kill()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Running = slices.DeleteFunc(w.Running, func(other *daemon.Daemon) bool { return other == d })
}

// AddHost adds or replaces a host in the host list.
func (w *World) AddHost(h wire.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = slices.DeleteFunc(w.listed, func(old wire.Host) bool { return old.Address == h.Address })
	w.listed = append(w.listed, h)
	w.Hosts.Set(w.listed)
}

// RemoveHost removes a host from the host list.
func (w *World) RemoveHost(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = slices.DeleteFunc(w.listed, func(h wire.Host) bool { return h.Address == address })
	w.Hosts.Set(w.listed)
}

// MarkLeaving marks a host as leaving in the host list.
func (w *World) MarkLeaving(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.listed {
		if w.listed[i].Address == address {
			w.listed[i].Leaving = true
		}
	}
	w.Hosts.Set(w.listed)
}

// WaitReady waits until every daemon is ready, lists the other daemons, and can
// serve all shards of all services. It returns an *Error of KindTimeout after
// readyTimeout, or if the context ends.
func (w *World) WaitReady(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for !w.ready() {
		if time.Now().After(end) || ctx.Err() != nil {
			return &Error{Op: "start", Kind: KindTimeout, Err: fault.Causef("the daemons are not ready: %s", w.describe())}
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

func (w *World) ready() bool {
	for _, d := range w.Running {
		status := d.Snapshot()
		listed := len(d.Addresses("", "").Addresses)
		if !status.Ready || listed < min(len(w.Running), d.MaxAddresses()) || len(status.Services) < len(w.Services) {
			return false
		}
		for i := range status.Services {
			s := &status.Services[i]
			if s.Targets == 0 {
				// The settings name the service, but this world has no searcher for it.
				continue
			}
			if s.Shards == 0 || len(s.LostShards) > 0 || s.Capacity == 0 || s.TargetsUp < s.Targets {
				return false
			}
		}
	}
	return true
}

func (w *World) describe() string {
	text := ""
	for _, d := range w.Running {
		s := d.Snapshot()
		text += fmt.Sprintf("%s %s %s members %d; ", s.Name, s.State, s.Reason, d.Table.Live())
		for _, service := range s.Services {
			text += fmt.Sprintf("%s %d/%d up, %d lost; ", service.Service, service.TargetsUp, service.Targets, len(service.LostShards))
		}
	}
	return text
}

// Caller returns a caller of a deployment that has every daemon as a seed.
func (w *World) Caller(deployment, name string) *caller.Caller {
	c := &caller.Caller{Deployment: deployment, Name: name, DataCentre: w.DataCentres[0], Region: w.Regions[0]}
	for _, d := range w.Alive() {
		c.Seeds = append(c.Seeds, d.URL())
	}
	return c
}

// Violations returns the number of invariant violations of all daemons, by name.
func (w *World) Violations() map[string]int {
	sum := map[string]int{}
	for _, d := range w.Alive() {
		for name, count := range d.Meter.ViolationCounts() {
			sum[name] += count
		}
	}
	return sum
}

// Stop stops all daemons and services immediately.
func (w *World) Stop() {
	for _, d := range w.Alive() {
		d.Kill()
	}
	for _, proxies := range w.Proxies {
		for _, p := range proxies {
			p.Stop()
		}
	}
	for _, searchers := range w.Searchers {
		for _, s := range searchers {
			s.Stop()
		}
	}
	if w.Store != nil {
		w.Store.Stop()
	}
	if w.Hosts != nil {
		w.Hosts.Stop()
	}
}
