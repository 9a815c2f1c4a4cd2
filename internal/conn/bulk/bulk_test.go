package bulk

import (
	"sync"
	"testing"
)

func TestBudgetNeverExceedsMaxBytes(t *testing.T) {
	b := &Budget{MaxBytes: 100}
	var group sync.WaitGroup
	var mu sync.Mutex
	granted := 0
	for range 50 {
		group.Go(func() {
			if b.Take(7) {
				mu.Lock()
				granted++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if granted == 0 || granted*7 > 100 {
		t.Errorf("%d takes of 7 were granted of 100", granted)
	}
	b.Give(int64(granted) * 7)
	if !b.Take(100) || b.Take(1) {
		t.Error("after Give, Take refused bytes within the limit or granted more than the limit")
	}
}
