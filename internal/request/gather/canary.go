package gather

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
)

// sendCanaries sends the first attempts of a query not seen before: two, in
// different failure domains. Two lost targets are what it takes to quarantine a
// query, so a second canary costs no more targets than one after the other, and
// the first of two replies comes sooner.
func (g *Gather) sendCanaries(now time.Time, from int) {
	for range canariesAtOnce {
		shard := g.canaryShard(from)
		if shard < 0 {
			break
		}
		g.canaries++
		g.launch(now, shard, false)
		s := &g.shards[shard]
		if s.phase == flying {
			g.avoid = s.tried[s.attempts-1].Domain()
		}
		from = shard + 1
	}
	if !g.canaryOut() {
		g.openAll(now)
	}
}

// canaryShard finds a shard for a canary: one with at least two replicas, so
// that a crash loses no shard, or else any that was not sent yet.
func (g *Gather) canaryShard(from int) int {
	count := len(g.shards)
	fallback := -1
	for i := range count {
		shard := (from + i) % count
		if g.shards[shard].phase != idle || g.shards[shard].attempts > 0 {
			continue
		}
		if len(g.config.View.Replicas[shard]) > 1 {
			return shard
		}
		if fallback < 0 {
			fallback = shard
		}
	}
	return fallback
}

// canaryOut reports whether any canary may still answer.
func (g *Gather) canaryOut() bool {
	for shard := range g.shards {
		if phase := g.shards[shard].phase; phase == flying || phase == waiting || phase == pausing {
			return true
		}
	}
	return false
}

// breakCanary takes the loss of a target by a canary. Once no canary is out,
// the next two go to other shards, away from the failure domain of the target
// that broke. The caller gives up a quarantined query before it comes here.
func (g *Gather) breakCanary(now time.Time, shard int, broken *fleet.Target) {
	// The shard is sent again with all the others once a canary answers.
	g.shards[shard].phase = idle
	g.avoid = broken.Domain()
	if g.canaryOut() {
		return
	}
	if g.canaries >= canariesMost {
		g.expire()
		return
	}
	g.sendCanaries(now, shard+1)
}

func (g *Gather) openAll(now time.Time) {
	g.canary = false
	g.avoid = ""
	g.sendAll(now)
}

func (g *Gather) canaryEnd() time.Time {
	return g.began.Add(g.config.Deadline.Sub(g.began) / canaryPatience)
}
