package chain_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/magnoliarelay/magnoliarelay/internal/process/chain"
)

// The list holds what a slice holds after the same changes.
func TestListBehavesLikeSlice(t *testing.T) {
	const (
		steps  = 2000
		values = 12
	)
	random := rand.New(rand.NewPCG(1, 0))
	var (
		list  chain.List[int]
		nodes [values]chain.Node[int]
		want  []int
	)
	for i := range nodes {
		nodes[i].Value = i
	}
	for range steps {
		value := random.IntN(values)
		if at := slices.Index(want, value); at >= 0 {
			list.Remove(&nodes[value])
			want = slices.Delete(want, at, at+1)
		} else {
			list.PushBack(&nodes[value])
			want = append(want, value)
		}
		var got []int
		for n := list.Front(); n != nil; n = list.Next(n) {
			got = append(got, n.Value)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("%v, want %v", got, want)
		}
	}
}
