// Package subset selects the daemons that take the work of callers. A small number
// of daemons then shares the connections to targets and what is learned about them,
// and large hosts close to the targets gather the answers. All daemons select the
// same daemons from the same members. The selection changes only when one of the
// selected daemons is lost, leaves or returns, or when the load changes.
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
	// selectedMin is the minimum number of daemons of each region that take work. In
	// a region with at most selectAllMax daemons all of them take work, since there
	// are enough connections for that many.
	selectedMin  = 2
	selectAllMax = 4
	// utilizationMax is the part of the capacity of the selected daemons that the load
	// of the region may use when the largest of them is lost.
	utilizationMax = 0.5
	// closeFraction decides which daemons count as close to the targets: their data
	// centre has at least this part of the targets that the data centre with the most
	// targets in the region has.
	closeFraction = 0.5
	// largeFraction is the part of the capacity of the largest host in the region from
	// which a host counts as large. A small host takes several times as long for the
	// burst of messages of a gather.
	largeFraction = 0.5
)

// Rule holds what the selection depends on besides the members. Exported fields are
// set before Choose is called.
type Rule struct {
	// Targets is the number of targets in each data centre.
	Targets map[string]int
}

// Choose returns the daemons of a region that take work, the best first. Daemons
// that are not ready are not selected.
func (r *Rule) Choose(members []member.Member, region string) []member.Member {
	var ready []member.Member
	targetsMax, capacityMax, load := 0, uint32(0), 0.0
	for i := range members {
		m := &members[i]
		if m.Region != region || m.State >= member.Silent {
			continue
		}
		load += float64(m.Busy)
		if m.State == member.Ready {
			ready = append(ready, *m)
			targetsMax = max(targetsMax, r.Targets[m.DataCentre])
			capacityMax = max(capacityMax, m.Capacity)
		}
	}
	// rank is lower for large hosts, and within each size class for hosts close to
	// the targets.
	rank := func(m *member.Member) int {
		rank := 0
		if float64(m.Capacity) < largeFraction*float64(capacityMax) {
			rank += 2
		}
		if float64(r.Targets[m.DataCentre]) < closeFraction*float64(targetsMax) {
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
	if len(ready) <= selectAllMax {
		return len(ready)
	}
	capacity, largest := 0.0, 0.0
	for i := range ready {
		if i >= selectedMin && load <= utilizationMax*(capacity-largest) {
			return i
		}
		capacity += float64(ready[i].Capacity)
		largest = max(largest, float64(ready[i].Capacity))
	}
	return len(ready)
}
