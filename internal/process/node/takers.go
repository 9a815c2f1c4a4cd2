package node

import (
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/steady"
	"github.com/magnoliarelay/magnoliarelay/internal/process/subset"
)

// takers are the daemons that take the work of callers, as this one sees them.
type takers struct {
	at       time.Time
	byRegion map[string][]member.Member
}

const (
	// takersFresh is how long a choice holds without a new look at the members.
	takersFresh = 50 * time.Millisecond
	// settleTime is how long a daemon has to be among those that take work before it
	// opens connections for that and tells how busy it is: at a start of all the
	// choice changes with each that becomes ready.
	settleTime = 2 * time.Second
)

// chooseTakers chooses anew who takes the work of callers.
func (n *Node) chooseTakers(now time.Time) *takers {
	members := n.Table.All(now)
	rule := &subset.Rule{Targets: n.Roster.Centres()}
	chosen := &takers{at: now, byRegion: map[string][]member.Member{}}
	for _, region := range n.Setup.Regions {
		if _, done := chosen.byRegion[region]; !done {
			chosen.byRegion[region] = rule.Choose(members, region)
		}
	}
	n.logTakers(n.takers.Swap(chosen), chosen)
	return chosen
}

// shareTargets shares connections and budgets among the daemons that take work. A
// daemon that is not among them serves whoever still comes.
func (n *Node) shareTargets(now time.Time) {
	n.sharing.Lock()
	defer n.sharing.Unlock()
	chosen := n.chooseTakers(now)
	if n.Table.Self(now).State == member.Joining {
		// The first request may come as soon as the others hear that it is ready.
		live, near := n.Table.Serving()
		n.Pools.SetSharers(live, near, n.share.Fraction(steady.Now(), live, true))
		return
	}
	all, taking := 0, false
	for _, members := range chosen.byRegion {
		all += len(members)
		taking = taking || slices.ContainsFunc(members, func(m member.Member) bool { return m.Name == n.Setup.Name })
	}
	part := n.share.Fraction(steady.Now(), all, taking)
	if !taking {
		n.takesSince = time.Time{}
	} else if n.takesSince.IsZero() {
		n.takesSince = now
	}
	if settled := taking && now.Sub(n.takesSince) > settleTime; settled {
		n.warmLinks(chosen)
		n.measure(now)
	} else {
		n.Table.SetBusy(now, 0)
	}
	if taking {
		n.Pools.SetSharers(all, len(chosen.byRegion[n.Setup.Region]), part)
		return
	}
	live, near := n.Table.Serving()
	n.Pools.SetSharers(live, near, part)
}

// warmLinks keeps connections to those that take work in other regions.
func (n *Node) warmLinks(chosen *takers) {
	for region, members := range chosen.byRegion {
		if region == n.Setup.Region {
			continue
		}
		for i := range members {
			n.link.Warm(members[i].Link)
		}
	}
}

// logTakers tells when the daemons of the own region that take work have changed.
func (n *Node) logTakers(before, after *takers) {
	region := n.Setup.Region
	now := names(after.byRegion[region])
	if before != nil && slices.Equal(names(before.byRegion[region]), now) {
		return
	}
	n.Log.State("daemons that take work", "region", region, "daemons", strings.Join(now, ","), "members", n.Table.Live())
}

func names(members []member.Member) []string {
	list := make([]string, 0, len(members))
	for i := range members {
		list = append(list, members[i].Name)
	}
	slices.Sort(list)
	return list
}

// taking returns the daemons of a region that take the work of callers.
func (n *Node) taking(now time.Time, region string) []member.Member {
	chosen := n.takers.Load()
	if chosen == nil || now.Sub(chosen.at) > takersFresh {
		chosen = n.chooseTakers(now)
	}
	return chosen.byRegion[region]
}

// users lists the other daemons that take work, those of the own region or all, in
// random order.
func (n *Node) users(near bool) []member.Member {
	now := time.Now()
	var found []member.Member
	n.taking(now, n.Setup.Region)
	for region, members := range n.takers.Load().byRegion {
		for i := range members {
			if members[i].Name != n.Setup.Name && (!near || region == n.Setup.Region) {
				found = append(found, members[i])
			}
		}
	}
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}

// Addresses lists the daemons that a caller should use: those of its region that
// take work, or else of all.
func (n *Node) Addresses(region string, most int) []string {
	if !n.linked.Load() {
		return nil
	}
	now := time.Now()
	found := addresses(n.taking(now, region))
	if len(found) == 0 {
		for other := range n.takers.Load().byRegion {
			found = append(found, addresses(n.taking(now, other))...)
		}
	}
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(len(found), most)]
}

func addresses(members []member.Member) []string {
	list := make([]string, 0, len(members))
	for i := range members {
		list = append(list, members[i].URL)
	}
	return list
}

// measure tells the others how busy this daemon is.
func (n *Node) measure(now time.Time) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		n.Log.State("the processor time can not be read", "error", err)
		return
	}
	processor := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	n.Table.SetBusy(now, n.effort.Measure(now, processor, n.Pools.Moved()))
}
