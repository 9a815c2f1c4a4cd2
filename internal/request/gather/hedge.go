package gather

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
)

// hedge sends a second attempt for each shard that is slow against the recent
// latency of its service, while most other shards have answered.
func (g *Gather) hedge(now time.Time) {
	settings := g.config.Settings
	if g.config.Once || settings.MaxAttempts < 2 || settings.ExtraLoad <= 0 && g.config.Pools == nil {
		return
	}
	if g.config.Delay == nil && g.allSlow() {
		// Called again by the reply that ends this state.
		return
	}
	if now.Before(g.nextHedge) {
		g.due(g.nextHedge)
		return
	}
	g.nextHedge = g.hedgeDue(now)
	g.due(g.nextHedge)
}

// hedgeDue hedges what is due and returns when the next shard will be.
func (g *Gather) hedgeDue(now time.Time) time.Time {
	delay := leastDelay
	if g.config.Delay == nil {
		delay = max(g.config.Targets.HedgeDelay(now, 1-hedgeShare*g.config.Settings.ExtraLoad), leastDelay)
	}
	next := g.config.Deadline
	if g.config.Delay != nil && g.mostLate(now) {
		return now.Add(crowdPause)
	}
	for shard := range g.shards {
		s := &g.shards[shard]
		if s.phase != flying || !g.mayAttempt(s) {
			continue
		}
		at := s.sent.Add(delay)
		if !now.Before(at) || g.config.Delay != nil {
			at = s.sent.Add(g.shardDelay(delay, shard))
		}
		if now.Before(at) {
			next = earlier(next, at)
			continue
		}
		if !g.hedgeShard(now, shard, delay) {
			next = earlier(next, now.Add(g.shardDelay(delay, shard)/2+leastDelay))
			if g.config.Pools == nil {
				return next
			}
			continue
		}
		next = earlier(next, s.sent.Add(g.shardDelay(delay, shard)))
	}
	return next
}

// mostLate reports whether so many shards are late at once that no target is a
// straggler: the load is high, and second attempts would raise it.
func (g *Gather) mostLate(now time.Time) bool {
	sent, late := 0, 0
	for shard := range g.shards {
		s := &g.shards[shard]
		if s.attempts == 0 {
			continue
		}
		sent++
		if s.phase == flying && s.attempts == 1 && !now.Before(s.sent.Add(g.shardDelay(0, shard))) {
			late++
		}
	}
	return sent >= stragglerLeast && float64(late) > crowdShare*float64(sent)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// hedgeShard reports false when the budget is spent. An attempt that is so late
// that it is presumed lost may be replaced out of the retry budget instead.
func (g *Gather) hedgeShard(now time.Time, shard int, delay time.Duration) bool {
	s := &g.shards[shard]
	settings := g.config.Settings
	paid := g.hedges(shard)
	if !paid.Take(now, settings.ExtraLoad) {
		paid = g.retries(shard)
		if now.Sub(s.sent) < lostFactor*delay || !paid.Take(now, settings.RetryBudget) {
			return false
		}
	}
	choice := g.config.Targets.Pick(now, fleet.Query{View: g.config.View, Shard: shard, Tried: s.tried[:s.attempts]})
	if choice.Verdict != fleet.Picked {
		paid.Refund(now)
		s.sent = now
		return true
	}
	g.send(now, shard, choice.Target)
	return true
}

// shardDelay is how late the newest attempt of a shard may be.
func (g *Gather) shardDelay(delay time.Duration, shard int) time.Duration {
	if g.config.Delay != nil {
		s := &g.shards[shard]
		return max(g.config.Delay(shard, s.tried[s.attempts-1]), leastDelay)
	}
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
