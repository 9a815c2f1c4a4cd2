package node

import (
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mono"
	"github.com/magnoliarelay/magnoliarelay/internal/process/subset"
)

// activeSet holds the active daemons of each region, as this daemon sees them. Package
// subset chooses them; callers are directed to them.
type activeSet struct {
	chosenAt time.Time
	byRegion map[string][]member.Member
}

const (
	// maxActiveSetAge is how long a choice is used before it is made again.
	maxActiveSetAge = 50 * time.Millisecond
	// settleDelay is how long a daemon must have been active before it opens
	// connections to other regions and publishes its load. When all daemons start at
	// once, the choice changes with each daemon that becomes ready.
	settleDelay = 2 * time.Second
)

// chooseActive chooses the active daemons of all regions from the current members.
func (n *Node) chooseActive(now time.Time) *activeSet {
	members := n.Table.All(now)
	rule := &subset.Rule{Targets: n.Roster.Centres()}
	chosen := &activeSet{chosenAt: now, byRegion: map[string][]member.Member{}}
	for _, region := range n.Setup.Regions {
		if _, done := chosen.byRegion[region]; !done {
			chosen.byRegion[region] = rule.Choose(members, region)
		}
	}
	n.logActive(n.active.Swap(chosen), chosen)
	return chosen
}

// shareTargets divides connections and retry budgets among the active daemons. A
// daemon that is not active still serves the requests that reach it.
func (n *Node) shareTargets(now time.Time) {
	n.sharingMu.Lock()
	defer n.sharingMu.Unlock()
	chosen := n.chooseActive(now)
	if n.Table.Self(now).State == member.Joining {
		// The first request may arrive as soon as other daemons have the record that says
		// that this one is ready.
		live, inRegion := n.Table.LiveCounts()
		n.Pools.SetSharers(live, inRegion, n.allocator.Fraction(mono.Now(), live, true))
		return
	}
	all, isActive := 0, false
	for _, members := range chosen.byRegion {
		all += len(members)
		isActive = isActive || slices.ContainsFunc(members, func(m member.Member) bool { return m.Name == n.Setup.Name })
	}
	fraction := n.allocator.Fraction(mono.Now(), all, isActive)
	if !isActive {
		n.activeSince = time.Time{}
	} else if n.activeSince.IsZero() {
		n.activeSince = now
	}
	if settled := isActive && now.Sub(n.activeSince) > settleDelay; settled {
		n.warmRemoteLinks(chosen)
		n.publishLoad(now)
	} else {
		n.Table.SetBusy(now, 0)
	}
	if isActive {
		n.Pools.SetSharers(all, len(chosen.byRegion[n.Setup.Region]), fraction)
		return
	}
	live, inRegion := n.Table.LiveCounts()
	n.Pools.SetSharers(live, inRegion, fraction)
}

// warmRemoteLinks keeps connections open to the active daemons of other regions.
func (n *Node) warmRemoteLinks(chosen *activeSet) {
	for region, members := range chosen.byRegion {
		if region == n.Setup.Region {
			continue
		}
		for i := range members {
			n.link.Warm(members[i].Link)
		}
	}
}

// logActive logs changes of the active daemons of this daemon's region.
func (n *Node) logActive(before, after *activeSet) {
	region := n.Setup.Region
	now := names(after.byRegion[region])
	if before != nil && slices.Equal(names(before.byRegion[region]), now) {
		return
	}
	n.Log.State("active daemons of this region changed", "region", region, "daemons", strings.Join(now, ","), "members", n.Table.Live())
}

func names(members []member.Member) []string {
	list := make([]string, 0, len(members))
	for i := range members {
		list = append(list, members[i].Name)
	}
	slices.Sort(list)
	return list
}

// activeDaemons returns the active daemons of a region.
func (n *Node) activeDaemons(now time.Time, region string) []member.Member {
	chosen := n.active.Load()
	if chosen == nil || now.Sub(chosen.chosenAt) > maxActiveSetAge {
		chosen = n.chooseActive(now)
	}
	return chosen.byRegion[region]
}

// activePeers lists the other active daemons, either of this daemon's region or of all
// regions, in random order.
func (n *Node) activePeers(sameRegion bool) []member.Member {
	now := time.Now()
	var found []member.Member
	n.activeDaemons(now, n.Setup.Region)
	for region, members := range n.active.Load().byRegion {
		for i := range members {
			if members[i].Name != n.Setup.Name && (!sameRegion || region == n.Setup.Region) {
				found = append(found, members[i])
			}
		}
	}
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}

// Addresses lists the daemons that a caller should use: the active daemons of its
// region or, if there are none, of all regions.
func (n *Node) Addresses(region string, limit int) []string {
	if !n.tableReady.Load() {
		return nil
	}
	now := time.Now()
	found := addresses(n.activeDaemons(now, region))
	if len(found) == 0 {
		for other := range n.active.Load().byRegion {
			found = append(found, addresses(n.activeDaemons(now, other))...)
		}
	}
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(len(found), limit)]
}

func addresses(members []member.Member) []string {
	list := make([]string, 0, len(members))
	for i := range members {
		list = append(list, members[i].URL)
	}
	return list
}

// publishLoad records how busy this daemon is in the record that other daemons get.
func (n *Node) publishLoad(now time.Time) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		n.Log.State("could not read this process's CPU time", "error", err)
		return
	}
	processor := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	n.Table.SetBusy(now, n.usageMonitor.Measure(now, processor, n.Pools.TransferredBytes()))
}
