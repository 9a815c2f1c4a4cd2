package gather

import (
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
)

// poolRig gathers over shards that are pools of their own, each with a budget.
func poolRig(shards, extras int, change func(c *Config)) *rig {
	g := newRig(shards, 2, false)
	budgets := make([]Budget, shards)
	for i := range budgets {
		budgets[i] = &purse{left: extras}
	}
	g.settings.MaxAttempts = 2
	config := g.gather.config
	config.Pools = budgets
	config.Delay = func(int, *fleet.Target) time.Duration { return delay }
	if change != nil {
		change(&config)
	}
	g.gather = New(config)
	return g
}

// A request that must not run twice is sent again only when it is certain that
// it has not run.
func TestOnceIsSentAgainOnlyIfNotRun(t *testing.T) {
	tests := []struct {
		outcome fleet.Outcome
		again   bool
	}{
		{fleet.Shed, true},
		{fleet.Gone, true},
		{fleet.Refused, true},
		{fleet.Draining, true},
		{fleet.Broken, false},
		{fleet.Crowded, false},
		{fleet.Failed, false},
		{fleet.Corrupt, false},
		{fleet.Expired, false},
		{fleet.Cancelled, false},
	}
	for _, tt := range tests {
		t.Run(string(tt.outcome), func(t *testing.T) {
			g := poolRig(1, 10, func(c *Config) { c.Once = true })
			first := g.gather.Begin(start)
			step := g.gather.Ended(start, first.Send[0].ID, tt.outcome)
			if again := len(step.Send) == 1; again != tt.again {
				t.Errorf("sent again: %v", again)
			}
		})
	}
}

func TestOnceIsNeverHedged(t *testing.T) {
	g := poolRig(1, 10, func(c *Config) { c.Once = true })
	g.gather.Begin(start)
	if step := g.gather.Tick(start.Add(10 * delay)); len(step.Send) > 0 {
		t.Error("a second attempt was sent")
	}
}

// Attempts that targets turned away are paid for by the pool's budget, since
// they arrived there.
func TestRejectedAttemptsArePaidFor(t *testing.T) {
	g := poolRig(1, 0, nil)
	first := g.gather.Begin(start)
	if step := g.gather.Ended(start, first.Send[0].ID, fleet.Shed); len(step.Send) > 0 {
		t.Error("sent again without budget")
	}
	g = poolRig(1, 0, nil)
	first = g.gather.Begin(start)
	if step := g.gather.Ended(start, first.Send[0].ID, fleet.Refused); len(step.Send) != 1 {
		t.Error("an attempt that never arrived is free")
	}
}

// Pattern: one shard in twenty waits for a pausing target. It gets company as
// soon as it is late; when most are late the load is high and none does.
func TestStragglersGetCompanyAndCrowdsDoNot(t *testing.T) {
	const shards = 20
	for _, late := range []int{1, 3, 12, 20} {
		g := poolRig(shards, 10, nil)
		first := g.gather.Begin(start)
		sent := append([]Attempt(nil), first.Send...)
		for _, a := range sent[late:] {
			g.gather.Ended(start.Add(delay/2), a.ID, fleet.Success)
		}
		step := g.gather.Tick(start.Add(delay + time.Millisecond))
		want := late
		if float64(late) > crowdShare*shards {
			want = 0
		}
		if len(step.Send) != want {
			t.Errorf("%d late: %d second attempts, want %d", late, len(step.Send), want)
		}
	}
}

// The attempts that another daemon made for a shard count, so that no shard is
// sent to more targets than the route allows.
func TestAttemptsOfPeersCount(t *testing.T) {
	tests := []struct {
		name string
		used int
		send int
	}{
		{"none", 0, 1},
		{"one of two", 1, 1},
		{"all", 2, 0},
		{"more than ever sent", 50, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := poolRig(2, 10, func(c *Config) { c.Skip = []bool{true, false} })
			first := g.gather.Begin(start)
			if len(first.Send) != 1 || first.Send[0].Shard != 1 {
				t.Fatalf("sent %v", first.Send)
			}
			tried := g.gather.config.View.Replicas[0][0]
			step := g.gather.Skipped(start, 0, false, tt.used, tried)
			if len(step.Send) != tt.send {
				t.Fatalf("sent %d attempts", len(step.Send))
			}
			if tt.send == 1 && tt.used > 0 && step.Send[0].Target == tried {
				t.Error("the target that the peer tried is tried again")
			}
			if tt.send == 0 && g.gather.Failed() != 1 {
				t.Error("the shard has not failed")
			}
		})
	}
}

func TestSkippedShardsSettleOnce(t *testing.T) {
	g := poolRig(3, 10, func(c *Config) { c.Skip = []bool{true, true, false} })
	first := g.gather.Begin(start)
	g.gather.Ended(start, first.Send[0].ID, fleet.Success)
	g.gather.Skipped(start, 0, true, 0, nil)
	g.gather.Skipped(start, 0, true, 0, nil)
	if step := g.gather.Drop(start, 1); !step.Done {
		t.Error("not done")
	}
	if g.gather.Answered() != 2 || g.gather.Failed() != 1 {
		t.Errorf("%d answered, %d failed", g.gather.Answered(), g.gather.Failed())
	}
}

// ledger is a budget that counts first attempts.
type ledger struct {
	purse
	primaries int
}

func (l *ledger) Primary(_ time.Time, count int) { l.primaries += count }

// Guards against repeats beyond the budget: the first attempts for shards that
// another daemon gathers are counted by the caller, and not again when they come back.
func TestShardsThatComeBackAreCountedOnce(t *testing.T) {
	for _, tt := range []struct {
		name string
		used int
	}{
		{"untried", 0},
		{"tried", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			counted := &ledger{purse: purse{left: 10}}
			g := poolRig(2, 10, func(c *Config) {
				c.Pools = []Budget{counted, counted}
				c.Skip = []bool{true, false}
			})
			g.gather.Begin(start)
			if counted.primaries != 1 {
				t.Errorf("%d first attempts at the beginning, want that of the shard gathered here", counted.primaries)
			}
			if step := g.gather.Skipped(start, 0, false, tt.used, nil); len(step.Send) != 1 {
				t.Fatalf("sent %d", len(step.Send))
			}
			if counted.primaries != 1 {
				t.Errorf("%d first attempts after the shard came back, want 1", counted.primaries)
			}
		})
	}
}
