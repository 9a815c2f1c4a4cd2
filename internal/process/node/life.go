package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/pause"
	"github.com/magnoliarelay/magnoliarelay/internal/process/stay"
)

// join finds other daemons, settings and registrations, and follows the store
// from then on. What others can tell is not read from the store.
func (n *Node) join(ctx context.Context) {
	entered, round := false, 0
	if !n.stay.Join(ctx, func(ctx context.Context) bool { round++; return n.meet(ctx, &entered, round) }) {
		return
	}
	n.shareTargets(time.Now())
	n.Log.State("ready", "uptimeMillis", time.Since(n.started).Milliseconds(), "members", n.Table.Live(),
		"targets", n.Roster.Len(), "revision", n.Keeper.Current().Change.Revision)
	n.feed.Run(ctx)
}

// meet is one round of joining. It reports whether the daemon can serve.
func (n *Node) meet(ctx context.Context, entered *bool, round int) bool {
	if !*entered {
		*entered = true
		if err := n.feed.Enter(ctx); err != nil {
			n.Log.State("the store does not take this daemon's record yet", "error", err)
		}
	}
	for i, seed := range n.others() {
		if i == joinSeeds || n.gossip.Join(ctx, []string{seed}, 1) && n.informed() {
			break
		}
	}
	// At a start of all, one daemon of each data centre reads the store for it.
	if !n.informed() && (round > loadRounds || n.feed.Chosen(time.Now())) {
		err := n.feed.LoadOnce(ctx)
		n.storeLost.Store(err != nil)
		if err != nil {
			n.Log.State("the store can not be read yet", "error", err)
			*entered = false
		}
	}
	if !n.informed() || ctx.Err() != nil {
		return false
	}
	n.known.Store(true)
	// Before the first request, so that a start of all at once does not give each
	// daemon the connections of all.
	n.shareTargets(time.Now())
	return true
}

// others lists the links of known daemons, near ones first and else in random
// order.
func (n *Node) others() []string {
	var links [farthest + 1][]string
	now := time.Now()
	self := n.Table.Self(now)
	for _, m := range n.Table.All(now) {
		if m.Name != self.Name && m.State < member.Silent {
			links[distance(&self, &m)] = append(links[distance(&self, &m)], m.Link)
		}
	}
	for _, l := range links {
		rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	}
	return slices.Concat(links[:]...)
}

// farthest is the distance of daemons in different regions.
const farthest = 2

// distance is zero within a data centre and one within a region.
func distance(a, b *member.Member) int {
	switch {
	case a.DataCentre == b.DataCentre:
		return 0
	case a.Region == b.Region:
		return 1
	}
	return farthest
}

// informed reports whether the daemon knows routes and targets.
func (n *Node) informed() bool {
	return n.Keeper.Current().Tree.Routes() != nil && n.Roster.Len() > 0
}

// Ready reports whether callers may be sent here.
func (n *Node) Ready() bool {
	return n.linked.Load() && n.Table.Self(time.Now()).State == member.Ready
}

// upkeep does what has come due with time alone.
func (n *Node) upkeep(ctx context.Context) {
	ahead := time.Duration(0)
	for round := 1; pause.For(ctx, houseInterval); round++ {
		now := time.Now()
		ahead = n.watchClock(now, ahead)
		n.gossip.Registrations(n.Roster.Expire(now))
		n.shareTargets(now)
		if round%sweepRounds == 0 {
			n.Pools.Sweep(now)
			n.watchRepeats(now)
			n.keepLinks(now)
		}
	}
}

// clockJump is how far the wall clock moves at once to be logged.
const clockJump = time.Second

// watchClock tells when the wall clock jumps. It returns how far it has gone ahead of
// the monotonic clock since the start.
func (n *Node) watchClock(now time.Time, before time.Duration) time.Duration {
	ahead := now.Round(0).Sub(n.started.Round(0)) - now.Sub(n.started)
	if jump := ahead - before; jump.Abs() >= clockJump {
		n.Log.State("the wall clock jumped", "byMillis", jump.Milliseconds())
		return ahead
	}
	return before
}

// nearlySpent is the share of a budget for repeated attempts from which it is
// logged.
const nearlySpent = 0.8

// watchRepeats tells how much of the budget for repeated attempts is spent where
// least is left.
func (n *Node) watchRepeats(now time.Time) {
	spent := n.Pools.MostSpent(now)
	share := float64(spent.Extras) / max(spent.Allowed, 1)
	n.Meter.Gauges.WithLabelValues("RepeatsSpentShare").Set(share)
	if share >= nearlySpent {
		n.Log.State("repeats are nearly spent", "pool", spent.Pool, "requests", spent.Requests, "extras", spent.Extras,
			"allowed", int(spent.Allowed), "uptimeMillis", time.Since(n.started).Milliseconds())
	}
}

func (n *Node) keepLinks(now time.Time) {
	addresses := map[string]bool{}
	for _, m := range n.Table.All(now) {
		if m.State < member.Silent {
			addresses[m.Link] = true
		}
	}
	n.link.Keep(addresses)
}

// Stop says that the daemon leaves, serves on while callers keep its address,
// and ends once nothing is under way.
func (n *Node) Stop(ctx context.Context) error {
	began := time.Now()
	grace, keep := n.stopTimes()
	n.Log.State("leaving", "inFlight", n.server.InFlight(), "graceMillis", grace.Milliseconds())
	ctx, cancel := context.WithDeadline(ctx, began.Add(grace-stopMargin))
	defer cancel()
	cut, err := n.stay.Leave(ctx, stay.Farewell{
		Keep:    min(keepFactor*keep, grace-2*stopMargin-time.Second),
		Servers: []stay.Server{n.server},
		Busy:    func() int { return int(n.assists.Load()) },
		Close: func() {
			n.cancel()
			n.link.Close()
		},
	})
	n.Log.State("stopped", "cut", cut, "tookMillis", time.Since(began).Milliseconds())
	if err != nil {
		return &Error{Op: "stop", Kind: KindStop, Err: errors.Join(err, ctx.Err())}
	}
	return nil
}

// Update takes the parts of a setup that may change while running.
func (n *Node) Update(setup Setup) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Setup.Grace, n.Setup.Keep = setup.Grace, setup.Keep
	n.Pools.SetTerms(setup.Terms)
}

// Grace returns the longest time that a stop may take.
func (n *Node) Grace() time.Duration {
	grace, _ := n.stopTimes()
	return grace
}

// stopTimes returns the grace of a stop and how long callers keep addresses.
func (n *Node) stopTimes() (grace, keep time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Setup.Grace, n.Setup.Keep
}

// Kill ends the daemon at once, as a crash would.
func (n *Node) Kill() {
	n.cancel()
	n.server.Close()
	n.link.Close()
}

// Front returns the address for callers.
func (n *Node) Front() string { return n.server.Address }
