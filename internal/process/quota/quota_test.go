package quota

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

const (
	caller = "D/S/c"
	rate   = 60.0
)

// tier is a number of daemons that send their claims along a ring every half second.
type tier struct {
	daemons []*Quota
	now     time.Time
}

func newTier(count int) *tier {
	t := &tier{now: start}
	for i := range count {
		t.daemons = append(t.daemons, New(fmt.Sprint("d", i)))
	}
	return t
}

// runSecond simulates one second with the given number of requests at each daemon,
// and returns the shares at its end and their sum.
func (t *tier) runSecond(requests ...int) (sum float64, shares []float64) {
	const steps = 10
	for step := range steps {
		t.now = t.now.Add(time.Second / steps)
		for i, q := range t.daemons {
			for range requests[i] / steps {
				q.Observe(t.now, caller)
			}
		}
		if step%5 != 4 {
			continue
		}
		for i, q := range t.daemons {
			t.daemons[(i+1)%len(t.daemons)].Merge(t.now, q.Claims(t.now))
		}
	}
	for i, q := range t.daemons {
		share := 0.0
		if requests[i] > 0 {
			share = q.Share(t.now, caller, rate, len(t.daemons))
		}
		shares = append(shares, share)
		sum += share
	}
	return sum, shares
}

func TestSharesFollowDemand(t *testing.T) {
	tests := []struct {
		name     string
		requests []int
		want     []float64
	}{
		{"all at one daemon", []int{100, 0, 0}, []float64{60, 0, 0}},
		{"even", []int{100, 100, 100}, []float64{20, 20, 20}},
		{"two to one", []int{100, 50, 0}, []float64{40, 20, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newTier(3)
			var shares []float64
			for range 12 {
				_, shares = x.runSecond(tt.requests...)
			}
			for i := range shares {
				if shares[i] < 0.93*tt.want[i] || shares[i] > 1.07*tt.want[i] {
					t.Errorf("shares %v, want about %v", shares, tt.want)
				}
			}
		})
	}
}

// When the demand moves to another daemon, the sum of the shares exceeds the rate by
// at most an equal share of that daemon, which has the whole rate within seconds.
func TestMovingDemandStaysNearTheRate(t *testing.T) {
	x := newTier(3)
	for range 10 {
		x.runSecond(100, 0, 0)
	}
	for second := range 12 {
		sum, shares := x.runSecond(0, 100, 0)
		if sum > rate*1.01 {
			t.Errorf("second %d: shares %v add up to %.0f", second, shares, sum)
		}
		if second == 11 && shares[1] < 0.95*rate {
			t.Errorf("shares %v after %d s, want nearly the whole rate at the second daemon", shares, second)
		}
	}
	for second := range 10 {
		sum, shares := x.runSecond(100, 100, 0)
		if sum > rate*(1+1.0/3)+1 {
			t.Errorf("second %d: shares %v add up to %.0f", second, shares, sum)
		}
		if second > 3 && sum > rate*1.05 {
			t.Errorf("second %d: shares %v still add up to %.0f", second, shares, sum)
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	q := New("d")
	for i := range 5 * maxCallers {
		q.Observe(start, fmt.Sprint("c", i))
		q.Merge(start, []Claim{{Daemon: "e", Caller: fmt.Sprint("c", i), Rate: 1}})
	}
	if len(q.callers) > maxCallers || len(q.claims) > maxCallers || len(q.Claims(start)) > maxClaims {
		t.Errorf("%d callers, %d claims", len(q.callers), len(q.claims))
	}
}
