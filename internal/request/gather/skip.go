package gather

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
)

// skipped reports whether the caller gathers the shard in another way.
func (g *Gather) skipped(shard int) bool { return g.config.Skip != nil && g.config.Skip[shard] }

// Skipped ends the other way of gathering a shard. With an answer the shard is
// settled. Without one the attempts used so far count, the target that was
// probably tried is avoided, and the shard is sent to another if the budget and
// the number of attempts allow it.
func (g *Gather) Skipped(now time.Time, shard int, answered bool, used int, tried *fleet.Target) *Step {
	g.reset()
	s := &g.shards[shard]
	switch {
	case !g.skipped(shard) || s.phase != idle:
	case answered:
		g.succeed(now, shard)
	case used == 0:
		g.launch(now, shard, false)
	default:
		for range min(used, mostAttempts) {
			s.tried[s.attempts] = tried
			s.ids[s.attempts] = g.record(shard)
			s.attempts++
		}
		if !g.mayAttempt(s) || !g.retries(shard).Take(now, g.config.Settings.RetryBudget) {
			g.giveUp(now, shard)
			break
		}
		g.launch(now, shard, false)
	}
	return g.finish(now)
}

// Drop gives up a shard that the caller gathers in another way.
func (g *Gather) Drop(now time.Time, shard int) *Step {
	g.reset()
	if s := &g.shards[shard]; g.skipped(shard) && s.phase == idle {
		g.fail(shard)
	}
	return g.finish(now)
}

// record keeps the place of an attempt that another daemon made.
func (g *Gather) record(shard int) uint64 {
	id := uint64(len(g.attempts))
	g.attempts = append(g.attempts, attemptState{shard: shard, ended: true})
	return id
}
