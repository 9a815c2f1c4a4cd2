package pools

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/retry"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/process/timing"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// BenchmarkGroupPickAndFinish picks as a request of the relay does, with and without a
// target that has rejected requests with room to spare.
func BenchmarkGroupPickAndFinish(b *testing.B) {
	for _, rejected := range []bool{false, true} {
		b.Run(fmt.Sprint("rejected=", rejected), func(b *testing.B) {
			p := &Pools{RegionOf: func(dataCentre string) string { return dataCentre }, Terms: retry.Terms{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second}}
			var entries []roster.Entry
			for i := range 3 {
				id := fmt.Sprint("a", i)
				entries = append(entries, roster.Entry{ID: id, Pool: "label-desk", Address: id, Slots: 2, Revision: 1})
			}
			p.Register(start, "label-desk", entries)
			g := fleet.NewGroup([]*fleet.Fleet{p.Fleet("label-desk")})
			times, budget := timing.New(), p.Budget("label-desk")
			g.LateAfter = func(t *fleet.Target) time.Duration { return times.HedgeDelay("route", t.Region, t.Local) }
			g.RetryCost = func(now time.Time, _ int) time.Duration {
				return time.Duration(budget.SpentShare(now) * float64(time.Second))
			}
			q := fleet.Query{View: g.View}
			if rejected {
				g.Finish(start, g.Pick(start, q).Target, 0, fleet.Shed, 0, &wire.Load{})
			}
			for b.Loop() {
				g.Finish(start, g.Pick(start, q).Target, 0, fleet.Success, 0.001, nil)
			}
		})
	}
}
