package gather

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
)

// sendCanary sends the first attempt of a query not seen before. Its shard is
// one with at least two replicas, so that a crash loses no shard, unless there
// is none such.
func (g *Gather) sendCanary(now time.Time, from int) {
	count := len(g.shards)
	chosen := -1
	for i := range count {
		shard := (from + i) % count
		if g.shards[shard].phase != idle || g.shards[shard].attempts > 0 {
			continue
		}
		if chosen < 0 || len(g.config.View.Replicas[shard]) > 1 {
			chosen = shard
		}
		if len(g.config.View.Replicas[shard]) > 1 {
			break
		}
	}
	if chosen < 0 {
		g.openAll(now)
		return
	}
	g.canaries++
	g.launch(now, chosen, false)
	if g.shards[chosen].phase == failed {
		g.openAll(now)
	}
}

// moveCanary sends the next canary to another shard, away from the failure
// domain of the target that broke. The caller gives up a quarantined query
// before it comes here.
func (g *Gather) moveCanary(now time.Time, shard int, broken *fleet.Target) {
	g.avoid = broken.Domain()
	if g.canaries >= canaryBreaks {
		g.expire()
		return
	}
	// The shard is sent again with all the others once a canary answers.
	g.shards[shard].phase = idle
	g.sendCanary(now, shard+1)
}

func (g *Gather) openAll(now time.Time) {
	g.canary = false
	g.avoid = ""
	g.sendAll(now)
}

func (g *Gather) canaryEnd() time.Time {
	return g.began.Add(g.config.Deadline.Sub(g.began) / canaryPatience)
}
