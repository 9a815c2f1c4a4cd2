package rewind

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/link"
	"github.com/magnoliarelay/magnoliarelay/internal/process/feed"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fresh"
	"github.com/magnoliarelay/magnoliarelay/internal/process/gossip"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/process/sleep"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

const (
	maintenanceInterval = 200 * time.Millisecond
	// latency is the time that a message takes between two daemons.
	latency = 5 * time.Millisecond
)

// daemon is one life of a daemon.
type daemon struct {
	name    string
	started time.Time
	client  *client
	table   *member.Table
	keeper  *epoch.Keeper
	roster  *roster.Roster
	fresh   *fresh.Tracker
	gossip  *gossip.Gossip
	feed    *feed.Feed
	stop    context.CancelFunc
	running sync.WaitGroup

	mu sync.Mutex
	// number is the highest of the settings that were in force. seen are the starts of the targets
	// that the roster has shown, and left those that it has shown to have left.
	number     int64
	seen, left map[string]int64
}

// wire carries messages between daemons. It implements gossip.Link.
type wire struct {
	tier *tier
	from string
}

func (w *wire) deliver(ctx context.Context, address string, kind link.Type, body []byte) []byte {
	if d := w.tier.find(address); d != nil && w.tier.find(w.from) != nil {
		return d.gossip.Handle(ctx, nil, kind, body)
	}
	return nil
}

// Send implements gossip.Link.
func (w *wire) Send(address string, kind link.Type, body []byte) {
	time.AfterFunc(latency, func() { w.deliver(context.Background(), address, kind, body) })
}

// Ask implements gossip.Link.
func (w *wire) Ask(ctx context.Context, address string, kind link.Type, body []byte) ([]byte, error) {
	time.Sleep(latency)
	reply := w.deliver(ctx, address, kind, body)
	time.Sleep(latency)
	if reply == nil {
		return nil, &feed.Error{Op: "ask", Kind: feed.KindUnavailable}
	}
	return reply, nil
}

// Renew implements gossip.Link.
func (w *wire) Renew(string, []byte) {}

// tier is a number of daemons around a store.
type tier struct {
	store  *store
	check  *check
	meter  *meter.Meter
	random *rand.Rand

	mu      sync.Mutex
	daemons map[string]*daemon
}

func (w *tier) find(name string) *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.daemons[name]
}

func (w *tier) all() []*daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	daemons := make([]*daemon, 0, len(w.daemons))
	for _, name := range slices.Sorted(maps.Keys(w.daemons)) {
		daemons = append(daemons, w.daemons[name])
	}
	return daemons
}

func nameOf(index int) string { return fmt.Sprint("d", index) }

func record(index, centres int, incarnation uint64) member.Member {
	name := nameOf(index)
	return member.Member{Name: name, Link: name, DataCentre: fmt.Sprint("c", index%centres), Region: "r", Incarnation: incarnation, Version: 1, State: member.Ready}
}

// start begins a life of a daemon that has the given records and asks one of the seeds, or the store
// if there are none, for the state.
func (w *tier) start(self member.Member, known []member.Member, seeds []string) {
	now := time.Now()
	d := &daemon{
		name: self.Name, started: now, table: member.New(now, self, w.random.Uint64()), keeper: epoch.NewKeeper(), roster: roster.New(),
		fresh: fresh.New(now, w.random.Uint64()), client: &client{store: w.store, name: self.Name, random: rand.New(rand.NewPCG(w.random.Uint64(), 0))},
		seen: map[string]int64{}, left: map[string]int64{},
	}
	d.table.Merge(now, known)
	d.fresh.State = func() (settings, registrations stamp.Stamp) { return d.keeper.Stamp(), d.roster.Stamp() }
	d.gossip = &gossip.Gossip{
		Table: d.table, Link: &wire{w, d.name}, Clock: time.Now, Keeper: d.keeper, Poison: poison.New(), Meter: w.meter, Roster: d.roster, Fresh: d.fresh,
		Accepted: func(string) { w.check.settings(d) }, Registered: func(pools []string, _ string) { w.check.registrations(d, pools) },
	}
	d.gossip.Init()
	d.feed = &feed.Feed{
		Source: d.client, Table: d.table, Roster: d.roster, Fresh: d.fresh, Clock: time.Now, Meter: w.meter, Watchers: 1,
		SilentAfter:   func() time.Duration { return d.keeper.Current().Tree.Resolve("", "", "").SilentAfter },
		ApplySettings: d.gossip.ApplySettings, Registered: d.gossip.AnnounceRegistrations, MembersChanged: d.gossip.MembersChanged,
	}
	d.feed.Init()
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	w.mu.Lock()
	w.daemons[d.name] = d
	w.mu.Unlock()
	for _, run := range []func(context.Context){d.feed.KeepRegistered, d.maintain, d.gossip.Run, func(ctx context.Context) {
		for ctx.Err() == nil && !d.gossip.Join(ctx, seeds, 1) && d.feed.LoadOnce(ctx, 0) != nil {
			sleep.For(ctx, maintenanceInterval)
		}
		d.feed.Run(ctx)
	}} {
		d.running.Go(func() { run(ctx) })
	}
}

// kill ends a life of a daemon.
func (w *tier) kill(d *daemon) {
	w.mu.Lock()
	delete(w.daemons, d.name)
	w.mu.Unlock()
	d.stop()
	d.running.Wait()
}

func (d *daemon) maintain(ctx context.Context) {
	for sleep.For(ctx, maintenanceInterval) {
		confirmed, _ := d.fresh.Ages(time.Now())
		d.gossip.AnnounceRegistrations(d.roster.Expire(time.Now(), confirmed))
	}
}

// describe lists what a roster holds.
func describe(entries []roster.Entry) string {
	var text strings.Builder
	for _, e := range entries {
		fmt.Fprintf(&text, " %s:%d:%t", e.ID, e.Born, e.Leaving)
	}
	return text.String()
}
