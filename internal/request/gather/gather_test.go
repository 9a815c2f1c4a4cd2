package gather

import (
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

var start = time.Unix(1000, 0)

const delay = 10 * time.Millisecond

// targets is a fake fleet that picks the replicas of each shard in order.
type targets struct {
	busy, lost map[int]bool
}

func (f *targets) Pick(_ time.Time, q fleet.Query) fleet.Choice {
	switch {
	case f.lost[q.Shard]:
		return fleet.Choice{Verdict: fleet.Lost}
	case f.busy[q.Shard]:
		return fleet.Choice{Verdict: fleet.Busy}
	}
	var fallback *fleet.Target
	for _, t := range q.View.Replicas[q.Shard] {
		switch {
		case contains(q.Tried, t):
		case t.Domain() != q.AvoidDomain:
			return fleet.Choice{Target: t}
		case fallback == nil:
			fallback = t
		}
	}
	if fallback != nil {
		return fleet.Choice{Target: fallback}
	}
	if q.AllowTried {
		return fleet.Choice{Target: q.View.Replicas[q.Shard][0]}
	}
	return fleet.Choice{Verdict: fleet.Exhausted}
}

func contains(tried []*fleet.Target, t *fleet.Target) bool {
	for _, x := range tried {
		if x == t {
			return true
		}
	}
	return false
}

func (f *targets) HedgeDelay(time.Time, float64) time.Duration { return delay }
func (f *targets) Slowness(int) float64                        { return 1 }

// fakeBudget is a budget with a fixed number of extra attempts.
type fakeBudget struct{ remaining int }

func (b *fakeBudget) Primary(time.Time, int) {}
func (b *fakeBudget) Refund(time.Time)       { b.remaining++ }
func (b *fakeBudget) Take(time.Time, float64) bool {
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

type fixture struct {
	targets         *targets
	hedges, retries *fakeBudget
	settings        tree.Settings
	gather          *Gather
}

func newFixture(shards, replicas int, canary bool) *fixture {
	view := &fleet.View{Version: 1, Replicas: make([][]*fleet.Target, shards)}
	for shard := range shards {
		for r := range replicas {
			view.Replicas[shard] = append(view.Replicas[shard], &fleet.Target{Rack: string(rune('a' + r))})
		}
	}
	g := &fixture{targets: &targets{busy: map[int]bool{}, lost: map[int]bool{}}, hedges: &fakeBudget{remaining: 100}, retries: &fakeBudget{remaining: 100}, settings: *tree.Default()}
	g.gather = New(Config{
		View: view, Targets: g.targets, HedgeBudget: g.hedges, RetryBudget: g.retries, Settings: &g.settings,
		Deadline: start.Add(time.Second), Canary: canary,
	})
	return g
}

// answer ends the given attempts with Success and sums up the resulting steps.
func (g *fixture) answer(at time.Time, ids ...uint64) *Step {
	sum := &Step{}
	for _, id := range ids {
		step := g.gather.Ended(at, id, fleet.Success)
		sum.Send = append(sum.Send, step.Send...)
		sum.Cancel = append(sum.Cancel, step.Cancel...)
		sum.NextTick, sum.Done = step.NextTick, step.Done
	}
	return sum
}

// firstIDs returns the identifiers of the first count attempts.
func firstIDs(count uint64) []uint64 {
	var all []uint64
	for id := range count {
		all = append(all, id)
	}
	return all
}

func TestAllShardsAnswer(t *testing.T) {
	g := newFixture(20, 3, false)
	if step := g.gather.Begin(start); len(step.Send) != 20 || step.Done {
		t.Fatalf("sent %d, done %v", len(step.Send), step.Done)
	}
	if step := g.answer(start, firstIDs(20)...); !step.Done {
		t.Error("not done")
	}
	if g.gather.Answered() != 20 || len(g.gather.Missing()) != 0 || g.gather.Attempts() != 20 {
		t.Errorf("%d answered, missing %v, %d attempts", g.gather.Answered(), g.gather.Missing(), g.gather.Attempts())
	}
}

func TestStragglerIsHedgedOnceOthersAnswered(t *testing.T) {
	g := newFixture(20, 3, false)
	g.gather.Begin(start)
	hedgeTime := start.Add(delay)
	if step := g.gather.Tick(hedgeTime); len(step.Send) != 0 {
		t.Fatalf("hedged %d while all shards were outstanding", len(step.Send))
	}
	g.answer(start, firstIDs(19)...)
	step := g.gather.Tick(hedgeTime)
	if len(step.Send) != 1 || step.Send[0].Shard != 19 {
		t.Fatalf("sent %+v, want a hedge of shard 19", step.Send)
	}
	hedge := step.Send[0].ID
	step = g.answer(hedgeTime, hedge)
	if !step.Done || len(step.Cancel) != 1 || step.Cancel[0] != 19 {
		t.Errorf("done %v, cancelled %v, want the loser 19", step.Done, step.Cancel)
	}
	if last := g.gather.Ended(hedgeTime, 19, fleet.Success); !last.Done || g.gather.Answered() != 20 {
		t.Error("the late reply counted twice")
	}
}

func TestHedgesStopWithTheBudget(t *testing.T) {
	g := newFixture(20, 3, false)
	g.hedges.remaining = 2
	g.gather.Begin(start)
	step := g.answer(start.Add(delay), firstIDs(16)...)
	if len(step.Send) != 2 {
		t.Errorf("%d hedges from a budget of 2", len(step.Send))
	}
}

// With the hedge budget spent, an attempt that is presumed lost is replaced at
// the expense of the retry budget, and one that is only slow is not replaced.
func TestLostAttemptIsRetriedWhenHedgesAreSpent(t *testing.T) {
	g := newFixture(6, 3, false)
	g.hedges.remaining, g.retries.remaining = 0, 2
	g.gather.Begin(start)
	sent := 0
	for at := start; at.Before(start.Add(500 * time.Millisecond)); at = at.Add(time.Millisecond) {
		sent += len(g.gather.Tick(at).Send)
		if sent > 0 && at.Before(start.Add(lostFactor*delay)) {
			t.Fatalf("replaced an attempt after only %v", at.Sub(start))
		}
	}
	if sent != 2 {
		t.Errorf("%d lost attempts replaced from a budget of 2", sent)
	}
}

func TestNoHedgesWhileAllShardsAreOutstanding(t *testing.T) {
	g := newFixture(20, 3, false)
	g.gather.Begin(start)
	for at := start; at.Before(start.Add(900 * time.Millisecond)); at = at.Add(delay) {
		if step := g.gather.Tick(at); len(step.Send) != 0 {
			t.Fatalf("%d hedges after %v", len(step.Send), at.Sub(start))
		}
	}
}

func TestRetry(t *testing.T) {
	tests := []struct {
		name    string
		outcome fleet.Outcome
		retries int
		want    int
	}{
		{"a refused connection is free", fleet.Refused, 0, 1},
		{"a draining target is free", fleet.Draining, 0, 1},
		{"a target without the version is free", fleet.Gone, 0, 1},
		{"a shed attempt costs", fleet.Shed, 0, 0},
		{"a broken attempt costs", fleet.Broken, 0, 0},
		{"a broken attempt within the budget", fleet.Broken, 1, 1},
		{"a corrupt reply within the budget", fleet.Corrupt, 1, 1},
		{"the deadline", fleet.Expired, 5, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newFixture(2, 3, false)
			g.retries.remaining = tt.retries
			g.gather.Begin(start)
			step := g.gather.Ended(start, 0, tt.outcome)
			if len(step.Send) != tt.want {
				t.Errorf("sent %d, want %d", len(step.Send), tt.want)
			}
		})
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	for _, outcome := range []fleet.Outcome{fleet.Refused, fleet.Broken, fleet.Shed, fleet.Corrupt} {
		g := newFixture(1, 3, false)
		step := g.gather.Begin(start)
		at := start
		for !step.Done {
			if len(step.Send) > 0 {
				step = g.gather.Ended(at, step.Send[0].ID, outcome)
				continue
			}
			at = step.NextTick
			step = g.gather.Tick(at)
		}
		if g.gather.Attempts() > maxAttempts {
			t.Errorf("%s: %d attempts", outcome, g.gather.Attempts())
		}
	}
}

func TestLostShardIsNotAwaited(t *testing.T) {
	g := newFixture(4, 3, false)
	g.targets.lost[2] = true
	g.gather.Begin(start)
	if step := g.answer(start, firstIDs(3)...); !step.Done {
		t.Error("the gather waits for a shard that is known to be lost")
	}
	if missing := g.gather.Missing(); len(missing) != 1 || missing[0] != 2 {
		t.Errorf("missing %v", missing)
	}
}

func TestBusyShardIsSentWhenFreed(t *testing.T) {
	g := newFixture(2, 1, false)
	g.targets.busy[1] = true
	step := g.gather.Begin(start)
	if len(step.Send) != 1 || len(step.AwaitRoom) != 1 || step.AwaitRoom[0] != 1 {
		t.Fatalf("step %+v", step)
	}
	g.targets.busy[1] = false
	if step = g.gather.Freed(start, 1); len(step.Send) != 1 {
		t.Error("the shard was not sent after Freed")
	}
}

func TestDeadlineReportsMissingShards(t *testing.T) {
	g := newFixture(3, 1, false)
	g.gather.Begin(start)
	g.answer(start, 1)
	step := g.gather.Tick(start.Add(time.Second))
	if !step.Done || len(step.Cancel) != 2 || g.gather.Answered() != 1 || len(g.gather.Missing()) != 2 {
		t.Errorf("step %+v, %d answered, missing %v", step, g.gather.Answered(), g.gather.Missing())
	}
}

func TestCanariesGoFirst(t *testing.T) {
	g := newFixture(20, 3, true)
	step := g.gather.Begin(start)
	if len(step.Send) != 2 || step.Send[0].Target.Domain() == step.Send[1].Target.Domain() {
		t.Fatalf("sent %+v before a canary answered, want two in different domains", step.Send)
	}
	if step = g.answer(start, step.Send[0].ID); len(step.Send) != 18 {
		t.Errorf("sent %d after a canary answered", len(step.Send))
	}
}

func TestBrokenCanariesAreBounded(t *testing.T) {
	g := newFixture(20, 3, true)
	step := g.gather.Begin(start)
	lost := 0
	pending := append([]Attempt(nil), step.Send...)
	for len(pending) > 0 && lost < 10 {
		lost++
		step = g.gather.Ended(start, pending[0].ID, fleet.Broken)
		pending = append(pending[1:], step.Send...)
	}
	if !step.Done || lost != maxCanaries {
		t.Errorf("%d targets lost to one request, done %v", lost, step.Done)
	}
}

func TestOneBrokenCanaryWaitsForTheOther(t *testing.T) {
	g := newFixture(20, 3, true)
	step := g.gather.Begin(start)
	one, other := step.Send[0], step.Send[1]
	if step = g.gather.Ended(start, one.ID, fleet.Broken); len(step.Send) != 0 {
		t.Fatalf("sent %+v while a canary was pending", step.Send)
	}
	if step = g.answer(start, other.ID); len(step.Send) != 19 {
		t.Errorf("sent %d after the other canary answered", len(step.Send))
	}
}

func TestSlowCanaryDelaysOtherShardsForAQuarter(t *testing.T) {
	g := newFixture(20, 1, true)
	g.settings.ExtraLoad = 0
	g.gather.Begin(start)
	if step := g.gather.Tick(start.Add(250 * time.Millisecond)); len(step.Send) != 18 {
		t.Errorf("sent %d after a quarter of the deadline", len(step.Send))
	}
}

func BenchmarkGather260(b *testing.B) {
	g := newFixture(260, 3, false)
	config := g.gather.config
	b.ReportAllocs()
	for b.Loop() {
		g := New(config)
		g.Begin(start)
		for id := range uint64(260) {
			g.Ended(start, id, fleet.Success)
		}
	}
}
