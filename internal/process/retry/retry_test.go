package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/wall"
	"github.com/magnoliarelay/magnoliarelay/internal/process/alloc"
)

var (
	start = time.Unix(1000, 0)
	terms = Terms{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second}
)

// In every sliding window all daemons together stay within the terms, however the
// load moves between them, and even if each takes every extra attempt that it can.
func TestAllDaemonsStayWithinTheTerms(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 20
	properties := gopter.NewProperties(parameters)
	properties.Property("within the terms", prop.ForAll(func(seed uint64, daemons int) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		budgets := make([]*Budget, daemons)
		for i := range budgets {
			budgets[i] = New(terms)
			budgets[i].SetAllowanceFraction(alloc.UsableFraction / float64(daemons))
		}
		const step, steps = 100 * time.Millisecond, 400
		requests, extras := make([]int, steps), make([]int, steps)
		for s := range steps {
			now := start.Add(time.Duration(s) * step)
			rate := random.IntN(30)
			for range rate {
				b := budgets[random.IntN(daemons)]
				b.Primary(now, 1)
				requests[s]++
				for random.IntN(2) == 0 && b.Take(now, 0) {
					extras[s]++
				}
			}
		}
		window := int(terms.Window / step)
		for s := window; s <= steps; s++ {
			sumRequests, sumExtras := 0, 0
			for i := s - window; i < s; i++ {
				sumRequests += requests[i]
				sumExtras += extras[i]
			}
			if float64(sumExtras) > terms.Ratio*float64(sumRequests)+terms.Allowance {
				return false
			}
		}
		return true
	}, gen.UInt64(), gen.IntRange(1, 12)))
	properties.TestingRun(t)
}

func TestRefundAndTerms(t *testing.T) {
	b := New(Terms{Ratio: 0, Allowance: 2 / usableRatio, Window: 10 * time.Second})
	for i, want := range []bool{true, true, false} {
		if got := b.Take(start, 0); got != want {
			t.Fatalf("extra attempt %d: %v, want %v", i+1, got, want)
		}
	}
	if requests, extras, allowed := b.Usage(start); requests != 0 || extras != 2 || allowed < 2 {
		t.Errorf("%d requests, %d extra attempts, %.2f allowed", requests, extras, allowed)
	}
	b.Refund(start)
	if !b.Take(start, 0) {
		t.Error("a refunded extra attempt was not available again")
	}
	later := start.Add(11 * time.Second)
	if !b.Take(later, 0) {
		t.Error("no extra attempt was allowed although the window has passed")
	}
	b.SetTerms(Terms{Ratio: 0, Allowance: 0, Window: 10 * time.Second})
	if b.Take(later, 0) {
		t.Error("an extra attempt was allowed under terms that allow none")
	}
}

// Guards against extra attempts beyond the budget after the wall clock jumps forward
// or back: spent attempts count for the length of the window, neither less nor more.
func TestWallClockJumpDoesNotChangeTheBudget(t *testing.T) {
	for _, jump := range []time.Duration{2 * time.Second, 30 * time.Second, time.Hour, -2 * time.Second, -time.Hour} {
		t.Run(jump.String(), func(t *testing.T) {
			b := New(Terms{Ratio: 0, Allowance: 10 / alloc.UsableFraction, Window: 10 * time.Second})
			b.SetAllowanceFraction(alloc.UsableFraction)
			now := time.Now()
			if got := takeAll(b, now); got != 10 {
				t.Fatalf("%d extra attempts, want 10", got)
			}
			if got := takeAll(b, wall.Step(t, now.Add(9*time.Second), jump)); got != 0 {
				t.Errorf("%d extra attempts after the jump, in the same window", got)
			}
			if got := takeAll(b, wall.Step(t, now.Add(11*time.Second), jump)); got != 10 {
				t.Errorf("%d extra attempts a window later, want 10", got)
			}
		})
	}
}

// takeAll spends the whole budget and returns the number of extra attempts.
func takeAll(b *Budget, now time.Time) int {
	count := 0
	for b.Take(now, 0) {
		count++
	}
	return count
}

// Guards against extra attempts beyond the budget when the operator changes the
// length of the window: spent attempts count until the new window has passed.
func TestAnotherWindowForgetsNothing(t *testing.T) {
	for _, length := range []time.Duration{5 * time.Second, 20 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			b := New(Terms{Ratio: 0, Allowance: 10 / alloc.UsableFraction, Window: 10 * time.Second})
			if got := takeAll(b, start); got != 10 {
				t.Fatalf("%d extra attempts, want 10", got)
			}
			b.SetTerms(Terms{Ratio: 0, Allowance: 10 / alloc.UsableFraction, Window: length})
			b.SetTerms(Terms{Ratio: 0, Allowance: 10 / alloc.UsableFraction, Window: length})
			if got := takeAll(b, start.Add(time.Second)); got != 0 {
				t.Errorf("%d extra attempts after the change", got)
			}
			if got := takeAll(b, start.Add(time.Second+length*11/10)); got != 10 {
				t.Errorf("%d extra attempts a window later, want 10", got)
			}
		})
	}
}
