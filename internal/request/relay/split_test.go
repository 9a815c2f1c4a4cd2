package relay

import (
	"math"
	"testing"

	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// Requests are distributed by weight, closely even when they are few; a changed
// split starts anew; a pool of weight zero gets none.
func TestSplitFollowsWeights(t *testing.T) {
	tests := []struct {
		name   string
		shares []tree.Share
	}{
		{"one", []tree.Share{{Pool: "a", Weight: 1}}},
		{"even", []tree.Share{{Pool: "a", Weight: 1}, {Pool: "b", Weight: 1}}},
		{"uneven", []tree.Share{{Pool: "a", Weight: 0.9}, {Pool: "b", Weight: 0.1}}},
		{"three", []tree.Share{{Pool: "a", Weight: 5}, {Pool: "b", Weight: 3}, {Pool: "c", Weight: 2}}},
		{"one off", []tree.Share{{Pool: "a", Weight: 1}, {Pool: "b", Weight: 0}}},
	}
	var s splits
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const requests = 50
			route := &tree.Route{Name: "r", Split: tt.shares}
			got := map[string]int{}
			total := 0.0
			for range requests {
				got[s.next(route)]++
			}
			for _, share := range tt.shares {
				total += share.Weight
			}
			for _, share := range tt.shares {
				if want := share.Weight / total * requests; math.Abs(float64(got[share.Pool])-want) > 1 {
					t.Errorf("%s: %d requests, want %.1f", share.Pool, got[share.Pool], want)
				}
			}
		})
	}
}
