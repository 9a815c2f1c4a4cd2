package pools

import (
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/retry"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const (
	// deadlockTimeout is how long calls that should return at once may take before they
	// count as stuck.
	deadlockTimeout = 5 * time.Second
	// startTime is enough for a goroutine to reach a lock.
	startTime = 50 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

// Guards against a daemon that answers no request any more after targets have rejected
// requests with room to spare: a change of the daemons that share the targets waited for a
// fleet, while that fleet waited for the pools to find out what a retry costs.
func TestRejectionsAndNewSharersDoNotDeadlock(t *testing.T) {
	p := &Pools{RegionOf: func(dataCentre string) string { return dataCentre }, Terms: retry.Terms{Ratio: 0.2, Allowance: 10, Window: time.Second}}
	p.Register(start, "label-desk", []roster.Entry{{ID: "a", Pool: "label-desk", Address: "a:1", Slots: 2, Revision: 1}})
	group := fleet.NewGroup([]*fleet.Fleet{p.Fleet("label-desk")})
	rejecting := group.Pick(start, fleet.Query{View: group.View}).Target
	group.Finish(start, rejecting, 0, fleet.Shed, 0, &wire.Load{})
	changed, picked := make(chan struct{}), make(chan struct{})
	group.RetryCost = func(now time.Time, _ int) time.Duration {
		go func() {
			defer close(changed)
			p.SetSharers(2, 2, 0.25)
		}()
		time.Sleep(startTime)
		return time.Duration(p.Budget("label-desk").SpentShare(now) * float64(time.Second))
	}
	go func() {
		defer close(picked)
		group.Pick(start, fleet.Query{View: group.View})
	}()
	timeout := time.After(deadlockTimeout)
	for _, done := range []chan struct{}{picked, changed} {
		select {
		case <-done:
		case <-timeout:
			t.Fatal("a pick and a change of the sharers wait for each other")
		}
	}
}
