package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/pause"
	"github.com/magnoliarelay/magnoliarelay/internal/process/stay"
)

// join finds other daemons, settings and registrations, and follows the store
// from then on. What others can tell is not read from the store.
func (n *Node) join(ctx context.Context) {
	entered := false
	if !n.stay.Join(ctx, func(ctx context.Context) bool { return n.meet(ctx, &entered) }) {
		return
	}
	n.Log.State("ready", "uptimeMillis", time.Since(n.started).Milliseconds(), "members", n.Table.Live(),
		"targets", n.Roster.Len(), "revision", n.Keeper.Current().Change.Revision)
	n.feed.Run(ctx)
}

// meet is one round of joining. It reports whether the daemon can serve.
func (n *Node) meet(ctx context.Context, entered *bool) bool {
	if !*entered {
		*entered = true
		if err := n.feed.Enter(ctx); err != nil {
			n.Log.State("the store does not take this daemon's record yet", "error", err)
		}
	}
	n.gossip.Join(ctx, n.others(), joinSeeds)
	if !n.informed() {
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
	n.Pools.SetDaemons(n.Table.Serving())
	return true
}

// others lists the links of known daemons in random order.
func (n *Node) others() []string {
	var links []string
	now := time.Now()
	self := n.Table.Self(now)
	for _, m := range n.Table.All(now) {
		if m.Name != self.Name && m.State < member.Silent {
			links = append(links, m.Link)
		}
	}
	rand.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })
	return links
}

// informed reports whether the daemon knows routes and targets.
func (n *Node) informed() bool {
	return n.Keeper.Current().Tree.Routes() != nil && n.Roster.Len() > 0
}

// Ready reports whether callers may be sent here.
func (n *Node) Ready() bool {
	return n.linked.Load() && n.Table.Self(time.Now()).State == member.Ready
}

// Addresses lists the daemons that a caller should use: those of its data
// centre, or else of its region, or else all.
func (n *Node) Addresses(region, dataCentre string, most int) []string {
	if !n.linked.Load() {
		return nil
	}
	now := time.Now()
	var local, near, all []string
	for _, m := range n.Table.All(now) {
		if m.State != member.Ready {
			continue
		}
		all = append(all, m.URL)
		if m.Region == region {
			near = append(near, m.URL)
		}
		if m.DataCentre == dataCentre {
			local = append(local, m.URL)
		}
	}
	for _, found := range [][]string{local, near, all} {
		if len(found) > 0 {
			rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
			return found[:min(len(found), most)]
		}
	}
	return nil
}

// upkeep does what has come due with time alone.
func (n *Node) upkeep(ctx context.Context) {
	for round := 1; pause.For(ctx, houseInterval); round++ {
		now := time.Now()
		n.gossip.Registrations(n.Roster.Expire(now))
		n.Pools.SetDaemons(n.Table.Serving())
		if round%sweepRounds == 0 {
			n.Pools.Sweep(now)
			n.keepLinks(now)
		}
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
