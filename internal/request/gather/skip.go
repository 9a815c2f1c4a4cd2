package gather

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
)

// remote reports whether another daemon gathers the shard.
func (g *Gather) remote(shard int) bool { return g.config.Remote != nil && g.config.Remote[shard] }

// EndRemote records the end of a shard that another daemon gathered. With an
// answer the shard is settled. Without one, the attempts that the daemon used count
// for the shard. EndRemote then sends the shard to a target other than tried, which
// the daemon probably tried, if the budget and the number of attempts allow it.
func (g *Gather) EndRemote(now time.Time, shard int, answered bool, used int, tried *fleet.Target) *Step {
	g.reset()
	s := &g.shards[shard]
	switch {
	case !g.remote(shard) || s.phase != idle:
	case answered:
		g.succeed(now, shard)
	case used == 0:
		g.launch(now, shard, false)
	default:
		for range min(used, maxAttempts) {
			s.tried[s.attempts] = tried
			s.ids[s.attempts] = g.recordAttempt(shard)
			s.attempts++
		}
		if !g.mayAttempt(s) || !g.takeReserved(shard) && !g.retryBudget(shard).Take(now, g.config.Settings.RetryBudget) {
			g.giveUp(now, shard)
			break
		}
		s.charged = true
		g.launch(now, shard, false)
	}
	return g.finish(now)
}

// ReserveRemote reserves an extra attempt for each of the shards, which another daemon
// gathers with one attempt for each. It reports false and reserves nothing unless the
// budgets and the number of attempts allow it for all. EndRemote uses the reservations.
func (g *Gather) ReserveRemote(now time.Time, shards []int) bool {
	if min(g.config.Settings.MaxAttempts, maxAttempts) < 2 {
		return false
	}
	for i, shard := range shards {
		if !g.retryBudget(shard).Take(now, g.config.Settings.RetryBudget) {
			for _, reserved := range shards[:i] {
				g.retryBudget(reserved).Refund(now)
			}
			return false
		}
	}
	if g.reserved == nil {
		g.reserved = make([]bool, len(g.shards))
	}
	for _, shard := range shards {
		g.reserved[shard] = true
	}
	return true
}

// ReleaseRemote gives back what ReserveRemote has reserved for the shards.
func (g *Gather) ReleaseRemote(now time.Time, shards []int) {
	for _, shard := range shards {
		if g.takeReserved(shard) {
			g.retryBudget(shard).Refund(now)
		}
	}
}

// takeReserved uses the extra attempt reserved for a shard, if there is one.
func (g *Gather) takeReserved(shard int) bool {
	if g.reserved == nil || !g.reserved[shard] {
		return false
	}
	g.reserved[shard] = false
	return true
}

// FailRemote fails a shard that another daemon gathers.
func (g *Gather) FailRemote(now time.Time, shard int) *Step {
	g.reset()
	if s := &g.shards[shard]; g.remote(shard) && s.phase == idle {
		g.fail(shard)
	}
	return g.finish(now)
}

// recordAttempt adds an ended attempt for one that another daemon made.
func (g *Gather) recordAttempt(shard int) uint64 {
	id := uint64(len(g.attempts))
	g.attempts = append(g.attempts, attemptState{shard: shard, ended: true})
	return id
}
