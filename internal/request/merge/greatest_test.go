package merge

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

func TestGreatest(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var parts [][]byte
	var all []string
	for range 20 {
		part := make([]byte, 16*random.IntN(30)+random.IntN(16))
		for i := range part {
			part[i] = byte(random.IntN(3))
		}
		parts = append(parts, part)
		for ; len(part) >= 16; part = part[16:] {
			all = append(all, string(part[:16]))
		}
	}
	slices.SortFunc(all, func(a, b string) int { return strings.Compare(b, a) })
	for _, top := range []int{0, 1, 10, len(all), len(all) + 5} {
		if got, want := string(Greatest(parts, top)), strings.Join(all[:min(top, len(all))], ""); got != want {
			t.Errorf("top %d: wrong records", top)
		}
	}
}
