// Package subset selects the active daemons, which are those that accept callers'
// requests. Only a few daemons then divide the connections to the targets and measure
// their response times, and large hosts close to the targets gather the answers. All
// daemons select the same active daemons from the same members. The selection changes
// only when an active daemon is lost, leaves or returns, or when the load changes.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	r := &subset.Rule{Targets: map[string]int{"north-1": 90}}
//	chosen := r.Choose(members, "north")
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
)

const (
	// minActive is the minimum number of active daemons of each region. In a region
	// with at most maxAllActive daemons all of them are active, since there are enough
	// connections for that many.
	minActive    = 2
	maxAllActive = 4
	// maxUtilization is the fraction of the capacity of the active daemons that the load
	// of the region may use when the largest of them is lost.
	maxUtilization = 0.5
	// closeFraction decides which daemons count as close to the targets: the number of
	// targets in their data centre is at least this fraction of the largest number in
	// any data centre of the region.
	closeFraction = 0.5
	// largeFraction is the fraction of the capacity of the largest host in the region
	// from which a host counts as large. A small host takes several times as long for
	// the burst of messages of a gather.
	largeFraction = 0.5
)

// Rule holds what the selection depends on besides the members. Exported fields are
// set before Choose is called.
type Rule struct {
	// Targets is the number of targets in each data centre.
	Targets map[string]int
}

// Choose returns the active daemons of a region, the best first. Daemons that are not
// ready are not selected.
func (r *Rule) Choose(members []member.Member, region string) []member.Member {
	var ready []member.Member
	maxTargets, maxCapacity, load := 0, uint32(0), 0.0
	for i := range members {
		m := &members[i]
		if m.Region != region || m.State >= member.Silent {
			continue
		}
		load += float64(m.Busy)
		if m.State == member.Ready {
			ready = append(ready, *m)
			maxTargets = max(maxTargets, r.Targets[m.DataCentre])
			maxCapacity = max(maxCapacity, m.Capacity)
		}
	}
	// rank is lower for large hosts, and within each size class for hosts close to
	// the targets.
	rank := func(m *member.Member) int {
		rank := 0
		if float64(m.Capacity) < largeFraction*float64(maxCapacity) {
			rank += 2
		}
		if float64(r.Targets[m.DataCentre]) < closeFraction*float64(maxTargets) {
			rank++
		}
		return rank
	}
	slices.SortFunc(ready, func(a, b member.Member) int {
		return cmp.Or(
			cmp.Compare(rank(&a), rank(&b)), cmp.Compare(b.Capacity, a.Capacity),
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name),
		)
	})
	return ready[:countNeeded(ready, load)]
}

// countNeeded returns how many of the first daemons are needed to carry the load when
// the largest of them is lost.
func countNeeded(ready []member.Member, load float64) int {
	if len(ready) <= maxAllActive {
		return len(ready)
	}
	capacity, largest := 0.0, 0.0
	for i := range ready {
		if i >= minActive && load <= maxUtilization*(capacity-largest) {
			return i
		}
		capacity += float64(ready[i].Capacity)
		largest = max(largest, float64(ready[i].Capacity))
	}
	return len(ready)
}
