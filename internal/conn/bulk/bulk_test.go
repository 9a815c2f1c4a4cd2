package bulk

import (
	"sync"
	"testing"
)

func TestBulkNeverExceedsMost(t *testing.T) {
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
		t.Error("what was given back can not be taken again, or more than that can")
	}
}
