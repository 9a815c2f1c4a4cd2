package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestQuarantine(t *testing.T) {
	q := Query{Fingerprint: 1, Version: 7}
	loss := func(target, rack string) Loss { return Loss{Target: target, Domain: rack} }
	tests := []struct {
		name string
		do   func(r *Register)
		want bool
	}{
		{"one loss", func(r *Register) { r.Lost(start, q, loss("a", "r1")) }, false},
		{"the same target twice", func(r *Register) {
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("a", "r1"))
		}, false},
		{"two targets in two racks", func(r *Register) {
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r2"))
		}, true},
		{"two targets of one rack, where the rack may have failed", func(r *Register) {
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r1"))
		}, false},
		{"three targets of one rack", func(r *Register) {
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r1"))
			r.Lost(start, q, loss("c", "r1"))
		}, true},
		{"a success between two losses", func(r *Register) {
			r.Lost(start, q, loss("a", "r1"))
			r.Succeeded(start, q)
			r.Lost(start, q, loss("b", "r2"))
		}, false},
		{"a success at another index version only", func(r *Register) {
			r.Succeeded(start, Query{Fingerprint: 1, Version: 6})
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r2"))
		}, true},
		{"a loss reported by another daemon", func(r *Register) {
			r.Merge(start, []Entry{{Query: q, Losses: []Loss{loss("a", "r1")}}})
			r.Lost(start, q, loss("b", "r2"))
		}, true},
		{"an expired loss", func(r *Register) {
			r.Lost(start.Add(-2*lossLifetime), q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r2"))
		}, false},
		{"a mass failure", func(r *Register) {
			for i := range 10 {
				r.Lost(start, Query{Fingerprint: uint64(100 + i)}, loss(fmt.Sprint("t", i), "r9"))
			}
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r2"))
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			tt.do(r)
			if _, quarantined := r.Quarantined(start, q.Fingerprint); quarantined != tt.want {
				t.Errorf("quarantined: %v, want %v", quarantined, tt.want)
			}
		})
	}
}

func TestQuarantineExpires(t *testing.T) {
	r := New()
	q := Query{Fingerprint: 1}
	r.Lost(start, q, Loss{Target: "a", Domain: "r1"})
	r.Lost(start, q, Loss{Target: "b", Domain: "r2"})
	if left, quarantined := r.Quarantined(start.Add(quarantineDuration-time.Second), 1); !quarantined || left != time.Second {
		t.Errorf("quarantined: %v, for another %v, just before the end", quarantined, left)
	}
	if _, quarantined := r.Quarantined(start.Add(quarantineDuration), 1); quarantined {
		t.Error("still quarantined at the end")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	r := New()
	for i := range 3 * maxSuspects {
		r.Lost(start, Query{Fingerprint: uint64(i)}, Loss{Target: "a"})
	}
	for i := range 3 * maxSuccesses {
		r.Succeeded(start, Query{Fingerprint: uint64(i)})
	}
	if len(r.suspects) > maxSuspects || len(r.succeeded) > maxSuccesses || len(r.succeededBefore) > maxSuccesses {
		t.Errorf("%d suspects, %d and %d successes", len(r.suspects), len(r.succeeded), len(r.succeededBefore))
	}
}

// A rack of two targets fails while new queries have two canaries in flight, each
// at a random target. Innocent queries stay out of quarantine only because failure
// domains are counted as well as targets: with a domain for each target, the
// queries that had both canaries in the rack are quarantined.
func TestRackFailureQuarantinesNoInnocentQuery(t *testing.T) {
	const queries, racks, perRack = 300, 3, 2
	quarantinedCount := func(domain func(target int) string, distinctRacks bool) int {
		random := rand.New(rand.NewPCG(9, 9))
		r := New()
		count := 0
		for n := range queries {
			q := Query{Fingerprint: uint64(n + 1)}
			first := random.IntN(racks * perRack)
			second := random.IntN(racks * perRack)
			for second == first || distinctRacks && second/perRack == first/perRack {
				second = random.IntN(racks * perRack)
			}
			// Each query meets a separate rack failure, a minute after the previous one.
			at := start.Add(time.Duration(n) * time.Minute)
			for _, target := range []int{first, second} {
				if target/perRack == 0 {
					r.Lost(at, q, Loss{Target: fmt.Sprint(target), Domain: domain(target)})
				}
			}
			if _, quarantined := r.Quarantined(at, q.Fingerprint); quarantined {
				count++
			}
		}
		return count
	}
	byTarget := quarantinedCount(func(target int) string { return fmt.Sprint(target) }, false)
	byRack := quarantinedCount(func(target int) string { return fmt.Sprint(target / perRack) }, false)
	inTwoRacks := quarantinedCount(func(target int) string { return fmt.Sprint(target) }, true)
	t.Logf("innocent queries quarantined of %d: %d counting targets only, %d counting racks, %d with canaries in two racks", queries, byTarget, byRack, inTwoRacks)
	if byTarget == 0 || byRack != 0 || inTwoRacks != 0 {
		t.Errorf("quarantined %d counting targets only, %d counting racks, %d with canaries in two racks", byTarget, byRack, inTwoRacks)
	}
}

// Guards against a register that grows with every target lost since its start, although
// no query is suspected of more than one loss.
func TestLossesAreForgottenAfterTheirWindow(t *testing.T) {
	const losses = 10_000
	r := New()
	for i := range losses {
		now := start.Add(time.Duration(i) * time.Minute)
		r.Lost(now, Query{Fingerprint: uint64(i)}, Loss{Target: fmt.Sprint("t", i), Domain: "r"})
	}
	if len(r.recentLosses) != 1 {
		t.Errorf("%d losses are remembered, want that of the last minute", len(r.recentLosses))
	}
}
