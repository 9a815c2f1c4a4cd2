package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/joiner"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mono"
	"github.com/magnoliarelay/magnoliarelay/internal/process/sleep"
)

// join finds other daemons and gets settings and registrations, from other daemons
// if possible and else from the store. It then follows the store until ctx ends.
func (n *Node) join(ctx context.Context) {
	go n.feed.KeepRegistered(ctx)
	round := 0
	if !n.membership.Join(ctx, func(ctx context.Context) bool { round++; return n.joinRound(ctx, round) }) {
		return
	}
	n.shareTargets(time.Now())
	close(n.serving)
	n.Log.State("ready", "uptimeMillis", time.Since(n.started).Milliseconds(), "members", n.Table.Live(),
		"targets", n.Roster.Len(), "revision", n.Keeper.Current().Change.Revision)
	n.awaitRegistration(ctx)
	if !n.Setup.FirstStart {
		go n.fetchWithheld(ctx)
	}
	n.feed.Run(ctx)
}

// fetchWithheld asks other daemons what they know of targets that a copy of the store brings back.
// They answer once they have this daemon's record.
func (n *Node) fetchWithheld(ctx context.Context) {
	for range maxWithheldRounds {
		links := n.peerLinks()
		if n.gossip.FetchWithheld(ctx, links[:min(len(links), maxJoinSeeds)]) || !sleep.For(ctx, joinInterval) {
			return
		}
	}
}

// joinRound is one round of joining. It reports whether the daemon can serve. A
// daemon that restarts reads the store while it registers, since its callers wait;
// at the first start of all, one daemon of each data centre reads it for the others.
func (n *Node) joinRound(ctx context.Context, round int) bool {
	if round == 1 && (n.Setup.FirstStart || !n.loadEarly(ctx)) {
		n.awaitRegistration(ctx)
	}
	if n.hasRoutesAndTargets() {
		return n.finishJoin(ctx)
	}
	for i, seed := range n.peerLinks() {
		if i == maxJoinSeeds || n.gossip.Join(ctx, []string{seed}, 1) && n.hasRoutesAndTargets() {
			break
		}
	}
	// When all daemons start at once, one daemon of each data centre reads the store,
	// and the others get the content from it.
	if !n.hasRoutesAndTargets() && (round > peerOnlyRounds || n.feed.Chosen(time.Now())) {
		n.load(ctx)
	}
	return n.hasRoutesAndTargets() && n.finishJoin(ctx)
}

// finishJoin makes the daemon serve, unless ctx has ended.
func (n *Node) finishJoin(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	n.joined.Store(true)
	// The connections are divided before the first request. Otherwise, when all daemons
	// start at once, each would open as many connections as all of them may have.
	n.shareTargets(time.Now())
	return true
}

// awaitRegistration waits until the daemon is registered or its first attempt has failed.
func (n *Node) awaitRegistration(ctx context.Context) {
	select {
	case <-n.feed.Registering():
	case <-ctx.Done():
	}
}

// loadEarly reads the whole store while the daemon registers, and reports whether that
// is all that it needs to serve. While the store does not answer, it ends before the
// registration does.
func (n *Node) loadEarly(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, earlyLoadTimeout)
	defer cancel()
	if err := n.feed.LoadOnce(ctx, maxEarlyKeys); err != nil {
		n.Log.State("the store was not read while registering", "error", err)
		return false
	}
	return n.hasRoutesAndTargets()
}

// load reads the whole store.
func (n *Node) load(ctx context.Context) {
	err := n.feed.LoadOnce(ctx, 0)
	n.storeLost.Store(err != nil)
	if err != nil {
		n.Log.State("the store could not be read during startup; retrying", "error", err)
	}
}

// peerLinks lists the link addresses of known daemons: first those of this data
// centre, then those of this region, then the rest, each group in random order.
func (n *Node) peerLinks() []string {
	var links [maxDistance + 1][]string
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

// maxDistance is the distance between daemons of different regions.
const maxDistance = 2

// distance is zero within a data centre and one within a region.
func distance(a, b *member.Member) int {
	switch {
	case a.DataCentre == b.DataCentre:
		return 0
	case a.Region == b.Region:
		return 1
	}
	return maxDistance
}

// hasRoutesAndTargets reports whether the daemon has what it needs to serve.
func (n *Node) hasRoutesAndTargets() bool {
	return n.Keeper.Current().Tree.Routes() != nil && n.Roster.Len() > 0
}

// Ready reports whether callers may send requests to this daemon.
func (n *Node) Ready() bool {
	return n.tableReady.Load() && n.Table.Self(time.Now()).State == member.Ready
}

// maintain runs the periodic tasks of the daemon.
func (n *Node) maintain(ctx context.Context) {
	ahead := time.Duration(0)
	for round := 1; sleep.For(ctx, maintenanceInterval); round++ {
		now := time.Now()
		ahead = n.checkClock(now, ahead)
		confirmed, _ := n.fresh.Ages(mono.Now())
		n.gossip.AnnounceRegistrations(n.Roster.Expire(now, confirmed))
		n.shareTargets(now)
		if round%roundsPerSweep == 0 {
			n.Pools.Sweep(now)
			n.checkRetryBudgets(now)
			n.reportFreshness()
			n.closeUnusedLinks(now)
		}
	}
}

// minClockJump is the smallest jump of the wall clock that is logged.
const minClockJump = time.Second

// checkClock logs jumps of the wall clock. It takes and returns how far the wall clock
// was ahead of the monotonic clock, counted from the start, at the last jump.
func (n *Node) checkClock(now time.Time, before time.Duration) time.Duration {
	ahead := now.Round(0).Sub(n.started.Round(0)) - now.Sub(n.started)
	if jump := ahead - before; jump.Abs() >= minClockJump {
		n.Log.State("the wall clock jumped", "byMillis", jump.Milliseconds())
		return ahead
	}
	return before
}

// budgetWarningShare is the share of a retry budget above which its use is logged.
const budgetWarningShare = 0.8

// checkRetryBudgets reports how much is spent of the retry budget that has the smallest
// share left.
func (n *Node) checkRetryBudgets(now time.Time) {
	usage := n.Pools.MostSpent(now)
	share := float64(usage.Extras) / max(usage.Allowed, 1)
	n.Meter.Gauges.WithLabelValues("RepeatsSpentShare").Set(share)
	if share >= budgetWarningShare {
		n.Log.State("retry budget is nearly exhausted", "pool", usage.Pool, "requests", usage.Requests, "extras", usage.Extras,
			"allowed", int(usage.Allowed), "uptimeMillis", time.Since(n.started).Milliseconds())
	}
}

// reportFreshness publishes the revisions of the settings and registrations in force, and
// how long ago the store confirmed them. That time is negative if it never has.
func (n *Node) reportFreshness() {
	confirmed, attempted := n.fresh.Ages(mono.Now())
	n.Meter.Gauges.WithLabelValues("SecondsSinceConfirmed").Set(confirmed.Seconds())
	n.Meter.Gauges.WithLabelValues("SecondsSinceStoreAsked").Set(attempted.Seconds())
	n.Meter.Gauges.WithLabelValues("SettingsRevision").Set(float64(n.Keeper.Current().Change.Revision))
	n.Meter.Gauges.WithLabelValues("RosterRevision").Set(float64(n.Roster.Stamp().Revision))
	n.Meter.Gauges.WithLabelValues("RosterEra").Set(float64(n.Roster.Stamp().Era))
}

// closeUnusedLinks closes connections to daemons that are silent or gone.
func (n *Node) closeUnusedLinks(now time.Time) {
	addresses := map[string]bool{}
	for _, m := range n.Table.All(now) {
		if m.State < member.Silent {
			addresses[m.Link] = true
		}
	}
	n.link.Keep(addresses)
}

// Stop announces that the daemon leaves, continues to serve while callers may still
// use its address, and returns once each request has its answer.
func (n *Node) Stop(ctx context.Context) error {
	began := time.Now()
	grace, addressTTL := n.stopTimes()
	n.Log.State("leaving", "inFlight", n.server.InFlight(), "graceMillis", grace.Milliseconds())
	ctx, cancel := context.WithDeadline(ctx, began.Add(grace-stopMargin))
	defer cancel()
	interrupted, err := n.membership.Leave(ctx, joiner.LeaveOptions{
		AddressTTL:     addressTTLFactor * addressTTL,
		Servers:        []joiner.Server{n.server},
		PeerRequests:   func() int { return int(n.assistsInFlight.Load()) },
		InterruptPeers: n.stopAssisting,
		Close: func() {
			n.cancel()
			n.link.Close()
		},
	})
	n.Log.State("stopped", "interrupted", interrupted, "tookMillis", time.Since(began).Milliseconds())
	if err == nil && interrupted > 0 {
		err = fault.Causef("there was no time left for %d gathers of other daemons", interrupted)
	}
	if err != nil {
		return &Error{Op: "stop", Kind: KindStop, Err: err}
	}
	return nil
}

// Update applies the parts of a setup that may change while the daemon runs.
func (n *Node) Update(setup Setup) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Setup.Grace, n.Setup.AddressTTL = setup.Grace, setup.AddressTTL
	n.Pools.SetTerms(setup.RetryBudget)
	n.Pools.SetDrainTimeout(setup.DrainTimeout)
}

// Grace returns the maximum time that Stop may take.
func (n *Node) Grace() time.Duration {
	grace, _ := n.stopTimes()
	return grace
}

// stopTimes returns the maximum time of a stop and how long callers may keep addresses.
func (n *Node) stopTimes() (grace, addressTTL time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Setup.Grace, n.Setup.AddressTTL
}

// Kill ends the daemon at once, like a crash.
func (n *Node) Kill() {
	n.cancel()
	n.server.Close()
	n.link.Close()
}

// Front returns the address that callers connect to.
func (n *Node) Front() string { return n.server.Address }
