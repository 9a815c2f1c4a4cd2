package gather

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
)

// hedge sends a second attempt for each shard that is slow against the recent
// latency of its service, while most other shards have answered.
func (g *Gather) hedge(now time.Time) {
	settings := g.config.Settings
	if settings.ExtraLoad <= 0 || settings.MaxAttempts < 2 {
		return
	}
	delay := max(g.config.Targets.HedgeDelay(now, 1-hedgeShare*settings.ExtraLoad), leastDelay)
	if g.allSlow() {
		// Called again by the reply that ends this state.
		return
	}
	for shard := range g.shards {
		s := &g.shards[shard]
		if s.phase != flying || !g.mayAttempt(s) {
			continue
		}
		if at := s.sent.Add(delay); now.Before(at) {
			g.due(at)
			continue
		}
		if at := s.sent.Add(g.shardDelay(delay, shard)); now.Before(at) {
			g.due(at)
			continue
		}
		if !g.hedgeShard(now, shard) {
			g.due(now.Add(delay/2 + leastDelay))
			return
		}
	}
}

// hedgeShard reports false when the budget is spent.
func (g *Gather) hedgeShard(now time.Time, shard int) bool {
	if !g.config.Hedges.Take(now, g.config.Settings.ExtraLoad) {
		return false
	}
	s := &g.shards[shard]
	choice := g.config.Targets.Pick(now, fleet.Query{View: g.config.View, Shard: shard, Tried: s.tried[:s.attempts]})
	if choice.Verdict != fleet.Picked {
		g.config.Hedges.Refund(now)
		s.sent = now
		return true
	}
	g.send(now, shard, choice.Target)
	return true
}

func (g *Gather) shardDelay(delay time.Duration, shard int) time.Duration {
	return time.Duration(float64(delay) * g.config.Targets.Slowness(shard))
}

// allSlow reports whether so many shards are outstanding that none of them is
// a straggler.
func (g *Gather) allSlow() bool {
	count := len(g.shards)
	if g.canary || count < stragglerLeast {
		return false
	}
	return float64(count-g.settled) > stragglerShare*float64(count)
}
