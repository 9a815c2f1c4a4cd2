package gather

import (
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
)

// newPoolFixture returns a gather over shards that are pools of their own, each
// with a budget.
func newPoolFixture(shards, extras int, change func(c *Config)) *fixture {
	g := newFixture(shards, 2, false)
	budgets := make([]Budget, shards)
	for i := range budgets {
		budgets[i] = &fakeBudget{remaining: extras}
	}
	g.settings.MaxAttempts = 2
	config := g.gather.config
	config.ShardBudgets = budgets
	config.HedgeDelay = func(int, *fleet.Target) time.Duration { return delay }
	if change != nil {
		change(&config)
	}
	g.gather = New(config)
	return g
}

// A non-idempotent request is sent again only if it certainly did not run.
func TestNonIdempotentRequestIsRetriedOnlyIfNotRun(t *testing.T) {
	tests := []struct {
		outcome fleet.Outcome
		again   bool
	}{
		{fleet.Shed, true},
		{fleet.Gone, true},
		{fleet.Refused, true},
		{fleet.Draining, true},
		{fleet.Withheld, true},
		{fleet.Broken, false},
		{fleet.Crowded, false},
		{fleet.Failed, false},
		{fleet.Corrupt, false},
		{fleet.Expired, false},
		{fleet.Cancelled, false},
	}
	for _, tt := range tests {
		t.Run(string(tt.outcome), func(t *testing.T) {
			g := newPoolFixture(1, 10, func(c *Config) { c.NonIdempotent = true })
			first := g.gather.Begin(start)
			step := g.gather.Ended(start, first.Send[0].ID, tt.outcome)
			if again := len(step.Send) == 1; again != tt.again {
				t.Errorf("sent again: %v", again)
			}
		})
	}
}

func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	g := newPoolFixture(1, 10, func(c *Config) { c.NonIdempotent = true })
	g.gather.Begin(start)
	if step := g.gather.Tick(start.Add(10 * delay)); len(step.Send) > 0 {
		t.Error("a second attempt was sent")
	}
}

// Retries after rejections by targets are charged to the pool's budget, since the
// rejected attempts reached the pool.
func TestRetriesAfterRejectionsAreCharged(t *testing.T) {
	g := newPoolFixture(1, 0, nil)
	first := g.gather.Begin(start)
	if step := g.gather.Ended(start, first.Send[0].ID, fleet.Shed); len(step.Send) > 0 {
		t.Error("sent again without budget")
	}
	g = newPoolFixture(1, 0, nil)
	first = g.gather.Begin(start)
	if step := g.gather.Ended(start, first.Send[0].ID, fleet.Refused); len(step.Send) != 1 {
		t.Error("a retry after a refused connection was not free")
	}
}

// A few late shards among twenty, as when targets pause, are hedged as soon as
// they are late. When many shards are late the load is high, and none is hedged.
func TestStragglersAreHedgedUnlessManyAreLate(t *testing.T) {
	const shards = 20
	for _, late := range []int{1, 3, 12, 20} {
		g := newPoolFixture(shards, 10, nil)
		first := g.gather.Begin(start)
		sent := append([]Attempt(nil), first.Send...)
		for _, a := range sent[late:] {
			g.gather.Ended(start.Add(delay/2), a.ID, fleet.Success)
		}
		step := g.gather.Tick(start.Add(delay + time.Millisecond))
		want := late
		if float64(late) > maxLateShare*shards {
			want = 0
		}
		if len(step.Send) != want {
			t.Errorf("%d late: %d hedges, want %d", late, len(step.Send), want)
		}
	}
}

// Attempts by another daemon count for the shard, so that no shard is sent to
// more targets than the route allows.
func TestAttemptsOfPeersCount(t *testing.T) {
	tests := []struct {
		name string
		used int
		send int
	}{
		{"none", 0, 1},
		{"one of two", 1, 1},
		{"all", 2, 0},
		{"more than any daemon sends", 50, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newPoolFixture(2, 10, func(c *Config) { c.Remote = []bool{true, false} })
			first := g.gather.Begin(start)
			if len(first.Send) != 1 || first.Send[0].Shard != 1 {
				t.Fatalf("sent %v", first.Send)
			}
			tried := g.gather.config.View.Replicas[0][0]
			step := g.gather.EndRemote(start, 0, false, tt.used, tried)
			if len(step.Send) != tt.send {
				t.Fatalf("sent %d attempts", len(step.Send))
			}
			if tt.send == 1 && tt.used > 0 && step.Send[0].Target == tried {
				t.Error("the shard is sent again to the target that the peer tried")
			}
			if tt.send == 0 && g.gather.Failed() != 1 {
				t.Error("the shard has not failed")
			}
		})
	}
}

// A reservation covers all shards of a peer or none, is spent once, and can be given back.
func TestReservationsForShardsOfAPeer(t *testing.T) {
	budgets := []*fakeBudget{{remaining: 1}, {remaining: 0}}
	g := newPoolFixture(2, 0, func(c *Config) {
		c.ShardBudgets, c.Remote = []Budget{budgets[0], budgets[1]}, []bool{true, true}
	})
	g.gather.Begin(start)
	if g.gather.ReserveRemote(start, []int{0, 1}) || budgets[0].remaining != 1 {
		t.Errorf("%d extra attempts are left of 1 that doesn't suffice", budgets[0].remaining)
	}
	budgets[1].remaining = 1
	if !g.gather.ReserveRemote(start, []int{0, 1}) || budgets[0].remaining+budgets[1].remaining != 0 {
		t.Errorf("%d and %d extra attempts are left after a reservation", budgets[0].remaining, budgets[1].remaining)
	}
	g.gather.ReleaseRemote(start, []int{0})
	g.gather.ReleaseRemote(start, []int{0})
	if budgets[0].remaining != 1 {
		t.Errorf("%d extra attempts are left after one was given back", budgets[0].remaining)
	}
	if step := g.gather.EndRemote(start, 1, false, 1, nil); len(step.Send) != 1 {
		t.Errorf("%d attempts were sent for a reservation", len(step.Send))
	}
}

func TestRemoteShardsSettleOnce(t *testing.T) {
	g := newPoolFixture(3, 10, func(c *Config) { c.Remote = []bool{true, true, false} })
	first := g.gather.Begin(start)
	g.gather.Ended(start, first.Send[0].ID, fleet.Success)
	g.gather.EndRemote(start, 0, true, 0, nil)
	g.gather.EndRemote(start, 0, true, 0, nil)
	if step := g.gather.FailRemote(start, 1); !step.Done {
		t.Error("not done")
	}
	if g.gather.Answered() != 2 || g.gather.Failed() != 1 {
		t.Errorf("%d answered, %d failed", g.gather.Answered(), g.gather.Failed())
	}
}

// countingBudget is a budget that counts primary attempts.
type countingBudget struct {
	fakeBudget
	primaries int
}

func (b *countingBudget) Primary(_ time.Time, count int) { b.primaries += count }

// Guards against extra attempts beyond the budget. The caller counts the primary
// attempts for shards that another daemon gathers, so the gather must not count
// them again when EndRemote reports such a shard without an answer.
func TestShardsThatComeBackAreCountedOnce(t *testing.T) {
	for _, tt := range []struct {
		name string
		used int
	}{
		{"untried", 0},
		{"tried", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			budget := &countingBudget{fakeBudget: fakeBudget{remaining: 10}}
			g := newPoolFixture(2, 10, func(c *Config) {
				c.ShardBudgets = []Budget{budget, budget}
				c.Remote = []bool{true, false}
			})
			g.gather.Begin(start)
			if budget.primaries != 1 {
				t.Errorf("%d primary attempts after Begin, want 1 for the shard that is gathered here", budget.primaries)
			}
			if step := g.gather.EndRemote(start, 0, false, tt.used, nil); len(step.Send) != 1 {
				t.Fatalf("sent %d", len(step.Send))
			}
			if budget.primaries != 1 {
				t.Errorf("%d primary attempts after EndRemote, want 1", budget.primaries)
			}
		})
	}
}

// Guards against an attempt that was recalled before it was sent using up the attempts or
// the budget of its shard.
func TestWithheldAttemptsDoNotCount(t *testing.T) {
	g := newPoolFixture(1, 1, func(c *Config) { c.NonIdempotent = true })
	budget := g.gather.config.ShardBudgets[0].(*fakeBudget)
	step := g.gather.Begin(start)
	for range 2 * maxAttempts {
		step = g.gather.Ended(start, step.Send[0].ID, fleet.Withheld)
		if len(step.Send) != 1 || budget.remaining != 1 || g.gather.ShardAttempts(0) != 1 || g.gather.Attempts() != 1 {
			t.Fatalf("%d sent, %d extras left, %d attempts", len(step.Send), budget.remaining, g.gather.Attempts())
		}
	}
	step = g.gather.Ended(start, step.Send[0].ID, fleet.Shed)
	if len(step.Send) != 1 || budget.remaining != 0 || g.gather.ShardAttempts(0) != 2 {
		t.Fatalf("retry: %d sent, %d extras left", len(step.Send), budget.remaining)
	}
	step = g.gather.Ended(start, step.Send[0].ID, fleet.Withheld)
	if len(step.Send) != 1 || budget.remaining != 0 {
		t.Fatalf("retry elsewhere: %d sent, %d extras left", len(step.Send), budget.remaining)
	}
	g.targets.lost[0] = true
	if step = g.gather.Ended(start, step.Send[0].ID, fleet.Withheld); !step.Done || budget.remaining != 1 || g.gather.Attempts() != 1 {
		t.Errorf("no target left: done %t, %d extras left, %d attempts", step.Done, budget.remaining, g.gather.Attempts())
	}
}

// Guards against a recalled attempt that hides one that has run from a later gather of the
// same request.
func TestWithheldAttemptsHideNoSpentOnes(t *testing.T) {
	g := newPoolFixture(1, 1, nil)
	step := g.gather.Begin(start)
	step = g.gather.Ended(start, step.Send[0].ID, fleet.Withheld)
	if got := g.gather.Spent(); got != 1 {
		t.Errorf("%d attempts spent while one is in flight", got)
	}
	g.targets.lost[0] = true
	g.gather.Ended(start, step.Send[0].ID, fleet.Withheld)
	if got := g.gather.Spent(); got != 0 {
		t.Errorf("%d attempts spent though none was sent", got)
	}
}

// Guards against a recalled hedge ending the attempt that it was to help, or its cost.
func TestWithheldHedgeLeavesTheAttemptInFlight(t *testing.T) {
	g := newPoolFixture(1, 1, nil)
	budget := g.gather.config.ShardBudgets[0].(*fakeBudget)
	first := g.gather.Begin(start).Send[0].ID
	step := g.gather.Tick(start.Add(delay))
	if len(step.Send) != 1 || budget.remaining != 0 {
		t.Fatalf("%d hedges, %d extras left", len(step.Send), budget.remaining)
	}
	g.targets.lost[0] = true
	step = g.gather.Ended(start.Add(delay), step.Send[0].ID, fleet.Withheld)
	if step.Done || budget.remaining != 1 || len(g.gather.Tried(0)) != 1 {
		t.Errorf("done %t, %d extras left, tried %v", step.Done, budget.remaining, g.gather.Tried(0))
	}
	if step = g.gather.Ended(start.Add(delay), first, fleet.Success); !step.Done || g.gather.Answered() != 1 {
		t.Error("the first attempt's answer does not settle the shard")
	}
}
