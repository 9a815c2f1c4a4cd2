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
		{"two targets of one rack may be the rack", func(r *Register) {
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r1"))
		}, false},
		{"three targets of one rack", func(r *Register) {
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r1"))
			r.Lost(start, q, loss("c", "r1"))
		}, true},
		{"a success between", func(r *Register) {
			r.Lost(start, q, loss("a", "r1"))
			r.Succeeded(start, q)
			r.Lost(start, q, loss("b", "r2"))
		}, false},
		{"known at another version only", func(r *Register) {
			r.Succeeded(start, Query{Fingerprint: 1, Version: 6})
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r2"))
		}, true},
		{"told by another daemon", func(r *Register) {
			r.Merge(start, []Entry{{Query: q, Losses: []Loss{loss("a", "r1")}}})
			r.Lost(start, q, loss("b", "r2"))
		}, true},
		{"old evidence", func(r *Register) {
			r.Lost(start.Add(-2*evidenceLife), q, loss("a", "r1"))
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
			if _, held := r.Quarantined(start, q.Fingerprint); held != tt.want {
				t.Errorf("held %v, want %v", held, tt.want)
			}
		})
	}
}

func TestQuarantineExpires(t *testing.T) {
	r := New()
	q := Query{Fingerprint: 1}
	r.Lost(start, q, Loss{Target: "a", Domain: "r1"})
	r.Lost(start, q, Loss{Target: "b", Domain: "r2"})
	if left, held := r.Quarantined(start.Add(holdLife-time.Second), 1); !held || left != time.Second {
		t.Errorf("held %v for %v just before the end", held, left)
	}
	if _, held := r.Quarantined(start.Add(holdLife), 1); held {
		t.Error("still held at the end")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	r := New()
	for i := range 3 * suspectsMost {
		r.Lost(start, Query{Fingerprint: uint64(i)}, Loss{Target: "a"})
	}
	for i := range 3 * knownMost {
		r.Succeeded(start, Query{Fingerprint: uint64(i)})
	}
	if len(r.suspects) > suspectsMost || len(r.known) > knownMost || len(r.older) > knownMost {
		t.Errorf("%d suspects, %d and %d known", len(r.suspects), len(r.known), len(r.older))
	}
}

// A rack of two targets fails while novel queries have two canaries out, each
// on a random target. Counting failure domains apart from targets is what keeps
// innocent queries out of quarantine: without it (a domain for each target) the
// queries that had both canaries in the rack are held.
func TestRackLossQuarantinesNoInnocent(t *testing.T) {
	const queries, racks, perRack = 300, 3, 2
	held := func(domain func(target int) string, distinct bool) int {
		random := rand.New(rand.NewPCG(9, 9))
		r := New()
		count := 0
		for n := range queries {
			q := Query{Fingerprint: uint64(n + 1)}
			first := random.IntN(racks * perRack)
			second := random.IntN(racks * perRack)
			for second == first || distinct && second/perRack == first/perRack {
				second = random.IntN(racks * perRack)
			}
			// Each query meets a rack loss of its own, minutes apart.
			at := start.Add(time.Duration(n) * time.Minute)
			for _, target := range []int{first, second} {
				if target/perRack == 0 {
					r.Lost(at, q, Loss{Target: fmt.Sprint(target), Domain: domain(target)})
				}
			}
			if _, isHeld := r.Quarantined(at, q.Fingerprint); isHeld {
				count++
			}
		}
		return count
	}
	byTarget := held(func(target int) string { return fmt.Sprint(target) }, false)
	byRack := held(func(target int) string { return fmt.Sprint(target / perRack) }, false)
	apart := held(func(target int) string { return fmt.Sprint(target) }, true)
	t.Logf("innocents held of %d: %d by targets alone, %d by racks, %d with canaries in two racks", queries, byTarget, byRack, apart)
	if byTarget == 0 || byRack != 0 || apart != 0 {
		t.Errorf("held %d by targets alone, %d by racks, %d with canaries apart", byTarget, byRack, apart)
	}
}
