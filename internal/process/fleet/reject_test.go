package fleet

import (
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

func TestRejectionsTellFullTargetsFromBrokenOnes(t *testing.T) {
	const slots = 2
	for _, tt := range []struct {
		name         string
		longestQueue int
		load         *wire.Load
		full         bool
	}{
		{name: "no load", full: true},
		{name: "idle", load: &wire.Load{}},
		{name: "busy without a queue", load: &wire.Load{InFlight: slots}, full: true},
		{name: "busy, but requests have waited there", longestQueue: 3, load: &wire.Load{InFlight: slots}},
		{name: "the longest queue", longestQueue: 3, load: &wire.Load{InFlight: slots, Queued: 3}, full: true},
		{name: "a shorter queue", longestQueue: 3, load: &wire.Load{InFlight: slots, Queued: 2}},
		{name: "a longer queue", longestQueue: 3, load: &wire.Load{InFlight: slots, Queued: 4}, full: true},
	} {
		r := rejections{longestQueue: tt.longestQueue}
		if got := r.full(tt.load, slots); got != tt.full {
			t.Errorf("%s: full %v, want %v", tt.name, got, tt.full)
		}
	}
}

// A target that rejects everything for a long time is expected to cost much, but its
// cost stays finite and falls with its answers.
func TestRejectionCostIsBounded(t *testing.T) {
	var r rejections
	for range 10_000 {
		r.recordRejection(10 * time.Millisecond)
	}
	worst := r.expectedCost(100 * time.Millisecond)
	if worst <= time.Second || worst > 10*time.Second {
		t.Errorf("cost %v after rejections only", worst)
	}
	for range 50 {
		r.recordAnswer(&wire.Load{})
	}
	if cost := r.expectedCost(100 * time.Millisecond); cost > 5*time.Millisecond {
		t.Errorf("cost %v after fifty answers", cost)
	}
}
