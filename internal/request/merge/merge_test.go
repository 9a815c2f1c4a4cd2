package merge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// The result does not depend on the order in which shards answer.
func TestResultIsStable(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	shards := make([][]wire.Hit, 20)
	var all []wire.Hit
	for i := range 400 {
		hit := wire.Hit{ID: fmt.Sprintf("d%03d", i), Score: float64(i % 7)}
		shards[i%20] = append(shards[i%20], hit)
		all = append(all, hit)
	}
	for _, byIdentifier := range []bool{false, true} {
		want := slices.Clone(all)
		if byIdentifier {
			slices.SortFunc(want, byID)
		} else {
			slices.SortFunc(want, byScore)
		}
		for range 10 {
			random.Shuffle(len(shards), func(i, j int) { shards[i], shards[j] = shards[j], shards[i] })
			m := New(15, byIdentifier)
			for _, hits := range shards {
				m.Add(hits, false)
			}
			hits, more := m.Result()
			if !slices.Equal(hits, want[:15]) || !more {
				t.Fatalf("hits %v, more %v", hits, more)
			}
		}
	}
}

func TestMore(t *testing.T) {
	tests := []struct {
		name  string
		hits  int
		shard bool
		want  bool
	}{{"all fit", 3, false, false}, {"a shard has more", 3, true, true}, {"cut here", 6, false, true}}
	for _, tt := range tests {
		m := New(5, true)
		m.Add(make([]wire.Hit, tt.hits), tt.shard)
		if _, more := m.Result(); more != tt.want {
			t.Errorf("%s: more %v", tt.name, more)
		}
	}
}
