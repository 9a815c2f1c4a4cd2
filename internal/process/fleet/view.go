package fleet

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// subsetConnectionShare is the part of a target's connections that subsets
	// aim to use: the number of daemons that choose a target varies around its
	// average.
	subsetConnectionShare = 0.5
	// minSubset is the minimum number of replicas of a shard that a daemon
	// uses.
	minSubset = 3
)

// View is the shard map of one index version: the replicas of each shard.
type View struct {
	Version  uint64
	Replicas [][]*Target
	// lost is the number of shards without a replica.
	lost int
}

// Shards returns the number of shards of the version.
func (v *View) Shards() int { return len(v.Replicas) }

// Lost returns the shards that no known target serves.
func (v *View) Lost() []int {
	var lost []int
	for shard, replicas := range v.Replicas {
		if len(replicas) == 0 {
			lost = append(lost, shard)
		}
	}
	return lost
}

// minReplicas returns the number of replicas of the shard with the fewest.
func (v *View) minReplicas() int {
	smallest := 1 << 30
	for _, replicas := range v.Replicas {
		smallest = min(smallest, len(replicas))
	}
	return smallest
}

// buildViews returns the shard map of every version that a usable target holds,
// newest first.
func buildViews(service string, targets []*Target) []*View {
	byVersion := map[uint64]*View{}
	for _, t := range targets {
		if t.state != StateReady && t.state != StateSilent {
			continue
		}
		for i := range t.indexes {
			index := &t.indexes[i]
			if index.Service == service && index.ShardCount > 0 {
				addReplica(byVersion, t, index.Version, index.ShardCount, index.Shards)
			}
		}
	}
	views := make([]*View, 0, len(byVersion))
	for _, v := range byVersion {
		v.lost = len(v.Lost())
		views = append(views, v)
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Version > views[j].Version })
	return views
}

func addReplica(views map[uint64]*View, t *Target, version uint64, shardCount int, shards []int) {
	v := views[version]
	if v == nil {
		v = &View{Version: version, Replicas: make([][]*Target, shardCount)}
		views[version] = v
	}
	for _, shard := range shards {
		if shard >= 0 && shard < len(v.Replicas) {
			v.Replicas[shard] = append(v.Replicas[shard], t)
		}
	}
}

// chooseView returns the newest complete version with at least half as many
// replicas as the complete version with the most, so that a version that is
// still being loaded is not overloaded. If no version is complete, it returns
// the one with the smallest share of lost shards.
func chooseView(views []*View) *View {
	best := 0
	for _, v := range views {
		if v.lost == 0 {
			best = max(best, v.minReplicas())
		}
	}
	var fallback *View
	for _, v := range views {
		if v.lost == 0 && 2*v.minReplicas() >= best {
			return v
		}
		if fallback == nil || v.lost*fallback.Shards() < fallback.lost*v.Shards() {
			fallback = v
		}
	}
	return fallback
}

// restrict keeps for each shard only the replicas that this daemon uses, and
// returns how many daemons are expected to share a target. With few daemons it
// keeps all. A daemon uses the replicas with the highest hashes of its name and
// their address, so that the daemons spread evenly and the next replica
// replaces a lost one.
func (v *View) restrict(daemon string, daemons int) int {
	total, kept := 0, 0
	for shard, replicas := range v.Replicas {
		total += len(replicas)
		if keep := subsetSize(replicas, daemons); keep < len(replicas) {
			v.Replicas[shard] = highestHashes(daemon, replicas, keep)
		}
		kept += len(v.Replicas[shard])
	}
	if total == 0 {
		return daemons
	}
	return max(1, int(math.Ceil(float64(daemons)*float64(kept)/float64(total))))
}

// subsetSize returns the number of a shard's replicas that each daemon may use.
func subsetSize(replicas []*Target, daemons int) int {
	connections := 0
	for _, t := range replicas {
		if t.connections == 0 {
			return len(replicas)
		}
		connections += t.connections
	}
	return max(minSubset, int(subsetConnectionShare*float64(connections)/float64(daemons)))
}

// highestHashes returns the replicas with the highest hashes of the daemon's
// name and their address. A replica that leaves, pauses or
// limits its requests has the next one in addition.
func highestHashes(daemon string, replicas []*Target, keep int) []*Target {
	weight := func(t *Target) uint64 { return xxhash.Sum64String(daemon + "\x00" + t.Address) }
	chosen := slices.Clone(replicas)
	slices.SortFunc(chosen, func(a, b *Target) int { return cmp.Compare(weight(b), weight(a)) })
	for i := 0; i < keep && keep < len(chosen); i++ {
		if chosen[i].selfReport.reduced() {
			keep++
		}
	}
	return chosen[:keep]
}
