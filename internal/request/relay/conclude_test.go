package relay

import (
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/pools"
	"github.com/magnoliarelay/magnoliarelay/internal/process/repeat"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/process/tempo"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// The time of a request and its attempt may end at once. Until the attempt's
// end has been taken, nobody may say that the request has not run.
func TestNotRunIsSaidOnlyOfSettledAttempts(t *testing.T) {
	now := time.Unix(1000, 0)
	known := &pools.Pools{
		Region: "r", RegionOf: func(string) string { return "r" }, Terms: repeat.Terms{Ratio: 0.2, Window: 10 * time.Second},
	}
	known.Register(now, "orders", []roster.Entry{{ID: "o", Pool: "orders", Address: "10.0.0.1:80", Slots: 1, Revision: 1}})
	r := &Runner{Pools: known, Poison: poison.New(), Tempo: tempo.New()}
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
		t.Errorf("%s though the only attempt was turned away", got)
	}
	x.outcomeUnknown = true
	if got := x.failureAnswer(x.schedule.deadline).Result; got == NotRun {
		t.Errorf("%s though an attempt may have run", got)
	}
}
