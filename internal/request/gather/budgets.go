package gather

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
)

// notRun reports whether an attempt with this outcome certainly did not run and
// will not run later.
func notRun(outcome fleet.Outcome) bool {
	switch outcome {
	case fleet.Refused, fleet.Draining, fleet.Gone, fleet.Shed, fleet.Withheld:
		return true
	default:
		return false
	}
}

func (g *Gather) countPrimary(now time.Time, shard int) {
	if g.config.ShardBudgets != nil {
		g.config.ShardBudgets[shard].Primary(now, 1)
		return
	}
	g.config.HedgeBudget.Primary(now, 1)
	g.config.RetryBudget.Primary(now, 1)
}

func (g *Gather) hedgeBudget(shard int) Budget {
	if g.config.ShardBudgets != nil {
		return g.config.ShardBudgets[shard]
	}
	return g.config.HedgeBudget
}

func (g *Gather) retryBudget(shard int) Budget {
	if g.config.ShardBudgets != nil {
		return g.config.ShardBudgets[shard]
	}
	return g.config.RetryBudget
}
