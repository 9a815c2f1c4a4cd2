package gather

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
)

// sendCanaries sends the primary attempts of a query not seen before: two canaries
// in different failure domains. Quarantining a query takes two lost targets, so
// two canaries at once cost no more targets than two in sequence, and the first
// reply arrives sooner.
func (g *Gather) sendCanaries(now time.Time, from int) {
	for range canariesPerRound {
		shard := g.canaryShard(from)
		if shard < 0 {
			break
		}
		g.canariesSent++
		g.launch(now, shard, false)
		s := &g.shards[shard]
		if s.phase == inFlight {
			g.avoidDomain = s.tried[s.attempts-1].Domain()
		}
		from = shard + 1
	}
	if !g.canaryPending() {
		g.endCanaryPhase(now)
	}
}

// canaryShard returns a shard for a canary: one with at least two replicas, so
// that a crash loses no shard, or else any that was not sent yet. It returns -1
// if there is none.
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

// canaryPending reports whether a canary may still answer.
func (g *Gather) canaryPending() bool {
	for shard := range g.shards {
		if phase := g.shards[shard].phase; phase == inFlight || phase == awaitingRoom || phase == backingOff {
			return true
		}
	}
	return false
}

// handleBrokenCanary handles a canary whose target broke. Once no canary is
// pending, it sends two more to other shards, outside the failure domain of the
// target that broke. The caller refuses a query that the loss quarantines, so
// handleBrokenCanary does not see that query.
func (g *Gather) handleBrokenCanary(now time.Time, shard int, broken *fleet.Target) {
	// The shard is retried with the others once a canary has answered.
	g.shards[shard].phase = idle
	g.avoidDomain = broken.Domain()
	if g.canaryPending() {
		return
	}
	if g.canariesSent >= maxCanaries {
		g.expire()
		return
	}
	g.sendCanaries(now, shard+1)
}

func (g *Gather) endCanaryPhase(now time.Time) {
	g.canaryOnly = false
	g.avoidDomain = ""
	g.sendAll(now)
}

func (g *Gather) canaryDeadline() time.Time {
	return g.began.Add(g.config.Deadline.Sub(g.began) / canaryTimeoutDivisor)
}
