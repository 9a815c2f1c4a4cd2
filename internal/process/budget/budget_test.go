package budget

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/wall"
)

var start = time.Unix(1000, 0)

func TestTake(t *testing.T) {
	tests := []struct {
		name      string
		primaries int
		after     time.Duration
		share     float64
		want      int
	}{
		{"nothing earned", 0, 0, 0.05, 0},
		{"a query with 260 primary attempts", 260, 0, 0.05, 13},
		{"too few for one", 10, 0, 0.05, 0},
		{"just enough for one", 20, 0, 0.05, 1},
		{"a share of zero", 1000, 0, 0, 0},
		{"old primary attempts earn at most one", 1000, 2 * time.Second, 0.05, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := New()
			b.Primary(start, tt.primaries)
			got := 0
			for range 100 {
				if b.Take(start.Add(tt.after), tt.share) {
					got++
				}
			}
			if got != tt.want {
				t.Errorf("took %d, want %d", got, tt.want)
			}
		})
	}
}

func TestRefundGivesBack(t *testing.T) {
	b := New()
	b.Primary(start, 20)
	for range 3 {
		if !b.Take(start, 0.05) {
			t.Fatal("a refunded attempt was not available again")
		}
		b.Refund(start)
	}
	if _, extras := b.Usage(start); extras != 0 {
		t.Errorf("%d extra attempts after refunds", extras)
	}
}

// Whatever the arrivals, an extra attempt is allowed only if the extra attempts of the
// last second, including it, stay within the share of the primary attempts of that
// second, or if it is the only one. The test counts the window from the whole history.
func TestNeverOverBudgetInAnySecond(t *testing.T) {
	const share = 0.05
	type entry struct {
		slot              int64
		primaries, extras int
	}
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(7))
	properties.Property("extra attempts stay within the share", prop.ForAll(func(steps []int) bool {
		b := New()
		now := start
		var history []entry
		for _, step := range steps {
			now = now.Add(time.Duration(step%300) * time.Millisecond)
			slot := now.UnixNano() / int64(bucketWidth)
			b.Primary(now, step%97)
			history = append(history, entry{slot: slot, primaries: step % 97})
			for range step % 11 {
				if !b.Take(now, share) {
					continue
				}
				history = append(history, entry{slot: slot, extras: 1})
				primaries, extras := 0, 0
				for _, e := range history {
					if slot-e.slot < buckets {
						primaries += e.primaries
						extras += e.extras
					}
				}
				if extras > 1 && float64(extras) > share*float64(primaries) {
					return false
				}
			}
		}
		return true
	}, gen.SliceOfN(200, gen.IntRange(0, 100000))))
	properties.TestingRun(t)
}

func BenchmarkTake(b *testing.B) {
	budget := New()
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		budget.Primary(now, 20)
		budget.Take(now, 0.05)
		if i%1000 == 0 {
			now = now.Add(time.Millisecond)
		}
	}
}

// Guards against extra attempts beyond the share after the wall clock jumps forward
// or back.
func TestWallClockJumpDoesNotChangeTheBudget(t *testing.T) {
	for _, jump := range []time.Duration{2 * time.Second, time.Hour, -time.Hour} {
		t.Run(jump.String(), func(t *testing.T) {
			b := New()
			now := time.Now()
			b.Primary(now, 100)
			if _, extras := b.Usage(now); extras != 0 || !b.Take(now, 0.05) {
				t.Fatalf("%d extra attempts", extras)
			}
			soon := wall.Step(t, now.Add(500*time.Millisecond), jump)
			if primaries, extras := b.Usage(soon); primaries != 100 || extras != 1 {
				t.Errorf("%d primary attempts, %d extra attempts half a second after the jump, want 100 and 1", primaries, extras)
			}
			late := wall.Step(t, now.Add(1500*time.Millisecond), jump)
			if primaries, extras := b.Usage(late); primaries != 0 || extras != 0 {
				t.Errorf("%d primary attempts, %d extra attempts after a second, want none", primaries, extras)
			}
		})
	}
}
