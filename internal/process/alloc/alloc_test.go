package alloc

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const window = 10 * time.Second

func TestFraction(t *testing.T) {
	start := time.Unix(1000, 0)
	s := &Allocator{Window: window, First: true}
	elapsed, before := time.Duration(0), assumedSet{}
	for _, step := range []struct {
		at      time.Duration
		daemons int
		sharing bool
		want    float64
	}{
		{0, 4, false, 0},
		{9 * time.Second, 4, true, UsableFraction / 4},
		{11 * time.Second, 4, true, UsableFraction / 4},
		{12 * time.Second, 2, true, UsableFraction / 4},
		{21 * time.Second, 2, true, UsableFraction / 4},
		{23 * time.Second, 2, true, UsableFraction / 2},
		{24 * time.Second, 6, true, UsableFraction / 6},
		{25 * time.Second, 6, false, 0},
		{26 * time.Second, 6, true, 0},
		{26*time.Second + window/2, 6, true, newcomersFraction / 6 / (1 + windowMargin) / 2},
		{26*time.Second + 2*window, 6, true, UsableFraction / 6},
	} {
		for elapsed < step.at {
			// A daemon calls Fraction several times a second.
			elapsed += 500 * time.Millisecond
			s.Fraction(start.Add(elapsed), before.sharerCount, before.sharing)
		}
		before = assumedSet{sharerCount: step.daemons, sharing: step.sharing}
		if got := s.Fraction(start.Add(step.at), step.daemons, step.sharing); math.Abs(got-step.want) > 1e-9 {
			t.Errorf("after %v: fraction %.3f, want %.3f", step.at, got, step.want)
		}
	}
}

// tier is 300 daemons, some of which share an allowance. Each gets a change of the
// sharing set with a delay of its own.
type tier struct {
	random  *rand.Rand
	sharing []bool
	// updateAt is when each daemon gets the newest set, and assumedSets holds the set
	// that it uses until then.
	updateAt    []time.Time
	assumedSets []assumedSet
	allocators  []*Allocator
	// suspended daemons get no changes and spend nothing.
	suspended []bool
	// startStep is the step of each daemon's last start.
	startStep []int
}

type assumedSet struct {
	sharerCount int
	sharing     bool
}

const daemonsOfTier = 300

func newTier(seed uint64, sharerCount int) *tier {
	w := &tier{random: rand.New(rand.NewPCG(seed, 5))}
	for i := range daemonsOfTier {
		w.sharing = append(w.sharing, i < sharerCount)
		w.updateAt = append(w.updateAt, time.Time{})
		w.assumedSets = append(w.assumedSets, assumedSet{})
		w.allocators = append(w.allocators, &Allocator{Window: window, First: true})
		w.suspended = append(w.suspended, false)
		w.startStep = append(w.startStep, 0)
	}
	return w
}

// replace removes some daemons from the sharing set and adds as many others.
func (w *tier) replace(now time.Time, count int) {
	for i := range w.sharing {
		if !w.sharing[i] || count == 0 {
			continue
		}
		count--
		w.sharing[i] = false
		w.suspended[i] = w.random.IntN(2) == 0
		other := w.random.IntN(daemonsOfTier)
		w.sharing[other], w.suspended[other] = true, false
	}
	for i := range w.updateAt {
		w.updateAt[i] = now.Add(time.Duration(w.random.IntN(int(2 * time.Second))))
		if w.suspended[i] && w.random.IntN(2) == 0 {
			w.suspended[i] = false
		}
	}
}

// restart replaces the processes of some daemons, which lose their state.
func (w *tier) restart(step, oneIn int) {
	for i := range w.allocators {
		if w.random.IntN(oneIn) == 0 {
			w.allocators[i], w.startStep[i] = &Allocator{Window: window}, step
		}
	}
}

func (w *tier) countSharers() int {
	count := 0
	for _, s := range w.sharing {
		if s {
			count++
		}
	}
	return count
}

// sumBetween sums what was spent from step from to step to, both included.
func sumBetween(spent []float64, from, to int) float64 {
	sum := 0.0
	for k := max(0, from); k <= to; k++ {
		sum += spent[k]
	}
	return sum
}

// All daemons together never spend more than the allowance in a window, although some
// are lost or suspended and resumed, and no two daemons get that change at once.
func TestAllDaemonsStayWithinTheAllowance(t *testing.T) {
	checkAllowance(t, func(*tier, int) {})
}

// Guards against extra attempts beyond the budget when daemons are restarted, all at
// once or one after the other, once or as soon as they are up.
func TestRestartedDaemonsStayWithinTheSlack(t *testing.T) {
	for _, tt := range []struct {
		name string
		// every is the number of steps between restarts, each of which affects one in
		// oneIn daemons.
		every, oneIn int
	}{
		{"all at once", 80, 1},
		{"all, repeatedly", 15, 1},
		{"half, repeatedly", 12, 2},
		{"one after the other", 1, 40},
		{"as soon as they are up", 3, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			checkAllowance(t, func(w *tier, step int) {
				if step > 70 && step%tt.every == 0 {
					w.restart(step, tt.oneIn)
				}
			})
		})
	}
}

// checkAllowance lets daemons spend all that they may, in virtual time, and checks that
// they stay within the allowance.
func checkAllowance(t *testing.T, disturb func(w *tier, step int)) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 20
	properties := gopter.NewProperties(parameters)
	properties.Property("within the allowance", prop.ForAll(func(seed uint64, sharers int) bool {
		const step, steps = 200 * time.Millisecond, 300
		start := time.Unix(1000, 0)
		w := newTier(seed, sharers)
		spent := make([][]float64, daemonsOfTier)
		for i := range spent {
			spent[i] = make([]float64, steps)
		}
		total := make([]float64, steps)
		length := int(window / step)
		for s := range steps {
			now := start.Add(time.Duration(s) * step)
			if s > 60 && s%57 == 0 {
				w.replace(now, w.random.IntN(sharers+1))
			}
			disturb(w, s)
			sharers := w.countSharers()
			for i := range daemonsOfTier {
				if !now.Before(w.updateAt[i]) && !w.suspended[i] {
					w.assumedSets[i] = assumedSet{sharerCount: sharers, sharing: w.sharing[i]}
				}
				if w.suspended[i] {
					continue
				}
				fraction := w.allocators[i].Fraction(now, w.assumedSets[i].sharerCount, w.assumedSets[i].sharing)
				if fraction == 0 {
					continue
				}
				if rest := fraction - sumBetween(spent[i], max(s-length+1, w.startStep[i]), s); rest > 0 && w.random.IntN(2) == 0 {
					spent[i][s] = rest
					total[s] += rest
				}
			}
			if sumBetween(total, s-length+1, s) > 1 {
				return false
			}
		}
		return true
	}, gen.UInt64(), gen.IntRange(3, 40)))
	properties.TestingRun(t)
}
