package gather

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
)

// Answered returns the number of shards that have answered.
func (g *Gather) Answered() int { return g.answered }

// Failed returns the number of shards that will not answer.
func (g *Gather) Failed() int { return g.settled - g.answered }

// Attempts returns the number of attempts sent, without those that were withheld.
func (g *Gather) Attempts() int { return len(g.attempts) - g.withheld }

// Shard returns the shard that an attempt was for.
func (g *Gather) Shard(id uint64) int { return g.attempts[id].shard }

// Tried returns the targets that a shard was sent to, oldest first.
func (g *Gather) Tried(shard int) []*fleet.Target {
	s := &g.shards[shard]
	return s.tried[:s.attempts]
}

// ShardAttempts returns the number of attempts for a shard.
func (g *Gather) ShardAttempts(shard int) int { return int(g.shards[shard].attempts) }

// Spent returns the maximum number of attempts for any shard that may have run, with
// those of earlier gathers.
func (g *Gather) Spent() int {
	spent := 0
	for shard := range g.shards {
		s := &g.shards[shard]
		spent = max(spent, int(s.attempts-s.notRun))
	}
	return g.config.Spent + spent
}

// SentAt returns when the newest attempt for a shard was sent; zero means never.
func (g *Gather) SentAt(shard int) time.Time { return g.shards[shard].sentAt }

// Phase returns the name of a shard's phase for the log.
func (g *Gather) Phase(shard int) string {
	return [...]string{"unsent", "sent", "full", "pausing", "answered", "failed"}[g.shards[shard].phase]
}

// Missing lists the shards that have not answered.
func (g *Gather) Missing() []int {
	var missing []int
	for shard := range g.shards {
		if g.shards[shard].phase != answered {
			missing = append(missing, shard)
		}
	}
	return missing
}
