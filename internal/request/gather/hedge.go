package gather

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
)

// hedge sends a hedge for each shard that is slow compared with the recent
// response times of its service, once most other shards have answered.
func (g *Gather) hedge(now time.Time) {
	settings := g.config.Settings
	if g.config.NonIdempotent || settings.MaxAttempts < 2 || settings.ExtraLoad <= 0 && g.config.ShardBudgets == nil {
		return
	}
	if g.config.HedgeDelay == nil && g.manyOutstanding() {
		// hedge runs again after each reply, so also after the one that ends
		// this state.
		return
	}
	if now.Before(g.nextHedge) {
		g.scheduleTick(g.nextHedge)
		return
	}
	g.nextHedge = g.hedgeDueShards(now)
	g.scheduleTick(g.nextHedge)
}

// hedgeDueShards hedges the shards that are due and returns when the next check is
// due.
func (g *Gather) hedgeDueShards(now time.Time) time.Time {
	delay := minHedgeDelay
	if g.config.HedgeDelay == nil {
		delay = max(g.config.Targets.HedgeDelay(now, 1-hedgeBudgetShare*g.config.Settings.ExtraLoad), minHedgeDelay)
	}
	next := g.config.Deadline
	if g.config.HedgeDelay != nil && g.manyLate(now) {
		return now.Add(lateRecheckInterval)
	}
	for shard := range g.shards {
		s := &g.shards[shard]
		if s.phase != inFlight || !g.mayAttempt(s) {
			continue
		}
		at := s.sentAt.Add(delay)
		if !now.Before(at) || g.config.HedgeDelay != nil {
			at = s.sentAt.Add(g.shardDelay(delay, shard))
		}
		if now.Before(at) {
			next = earlier(next, at)
			continue
		}
		if !g.hedgeShard(now, shard, delay) {
			next = earlier(next, now.Add(g.shardDelay(delay, shard)/2+minHedgeDelay))
			if g.config.ShardBudgets == nil {
				return next
			}
			continue
		}
		next = earlier(next, s.sentAt.Add(g.shardDelay(delay, shard)))
	}
	return next
}

// manyLate reports whether so many shards are late that none counts as a
// straggler: the load is high, and hedges would raise it further.
func (g *Gather) manyLate(now time.Time) bool {
	sent, late := 0, 0
	for shard := range g.shards {
		s := &g.shards[shard]
		if s.attempts == 0 {
			continue
		}
		sent++
		if s.phase == inFlight && s.attempts == 1 && !now.Before(s.sentAt.Add(g.shardDelay(0, shard))) {
			late++
		}
	}
	return sent >= minStragglerShards && float64(late) > maxLateShare*float64(sent)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// hedgeShard hedges one shard and reports false if the budgets are spent. A hedge
// is charged to the hedge budget or, if that is spent and the attempt is so late
// that it is presumed lost, to the retry budget.
func (g *Gather) hedgeShard(now time.Time, shard int, delay time.Duration) bool {
	s := &g.shards[shard]
	settings := g.config.Settings
	budget := g.hedgeBudget(shard)
	if !budget.Take(now, settings.ExtraLoad) {
		budget = g.retryBudget(shard)
		if now.Sub(s.sentAt) < lostFactor*delay || !budget.Take(now, settings.RetryBudget) {
			return false
		}
	}
	choice := g.config.Targets.Pick(now, fleet.Query{View: g.config.View, Shard: shard, Tried: s.tried[:s.attempts], Hedge: true})
	if choice.Verdict != fleet.Picked {
		budget.Refund(now)
		s.sentAt = now
		return true
	}
	s.charged = true
	g.send(now, shard, choice.Target)
	return true
}

// shardDelay returns the hedge delay for the newest attempt of a shard.
func (g *Gather) shardDelay(delay time.Duration, shard int) time.Duration {
	if g.config.HedgeDelay != nil {
		s := &g.shards[shard]
		return max(g.config.HedgeDelay(shard, s.tried[s.attempts-1]), minHedgeDelay)
	}
	return time.Duration(float64(delay) * g.config.Targets.Slowness(shard))
}

// manyOutstanding reports whether so many shards are outstanding that none counts
// as a straggler.
func (g *Gather) manyOutstanding() bool {
	count := len(g.shards)
	if g.canaryOnly || count < minStragglerShards {
		return false
	}
	return float64(count-g.settled) > maxOutstandingShare*float64(count)
}
