package relay

import (
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/pools"
	"github.com/magnoliarelay/magnoliarelay/internal/process/retry"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/process/timing"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// The deadline of a request may coincide with the end of its attempt. The answer
// must not be NotRun until the end of the attempt has been processed.
func TestNotRunOnlyOnceAttemptsSettled(t *testing.T) {
	now := time.Unix(1000, 0)
	targetPools := &pools.Pools{
		Region: "r", RegionOf: func(string) string { return "r" }, Terms: retry.Terms{Ratio: 0.2, Window: 10 * time.Second},
	}
	targetPools.Register(now, "orders", []roster.Entry{{ID: "o", Pool: "orders", Address: "10.0.0.1:80", Slots: 1, Revision: 1}})
	r := &Runner{Pools: targetPools, Poison: poison.New(), ResponseTimes: timing.New()}
	route := &tree.Route{
		Name: "order", Split: []tree.Share{{Pool: "orders", Weight: 1}}, MaxAttempts: 2, Timeout: time.Second, LatencyTarget: time.Second,
	}
	request := &Request{ID: "1", Arrived: now}
	x := r.newExchange(request, route, []string{"orders"}, 0, r.newSchedule(request, route))
	sent := x.gather.Begin(now).Send
	if len(sent) != 1 {
		t.Fatalf("%d attempts were sent", len(sent))
	}
	x.sent, x.unsettled = true, 1
	if got := x.failureAnswer(x.schedule.deadline).Result; got == NotRun {
		t.Errorf("%s while an attempt is not settled", got)
	}
	x.attemptEnded(now, &event{attempt: sent[0].ID, outcome: fleet.Shed})
	if got := x.failureAnswer(x.schedule.deadline).Result; got != NotRun {
		t.Errorf("%s although the target refused the only attempt", got)
	}
	x.outcomeUnknown = true
	if got := x.failureAnswer(x.schedule.deadline).Result; got == NotRun {
		t.Errorf("%s although an attempt may have run", got)
	}
}
