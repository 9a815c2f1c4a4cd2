package bench

import (
	"context"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

func misleadingLoad(o *Options) *Plan {
	plan := single(o, calm)
	plan.Faults = func(ctx context.Context, s *Stage) {
		if !s.Wait(ctx, 0.1) {
			return
		}
		for replica := range 2 {
			for i, x := range s.World.Replica(deployment, service, replica) {
				x.Behave(func(b *shard.Behaviour) {
					switch {
					case replica == 0 && i%4 == 0:
						b.Report, b.ShedAll = &wire.Load{}, true
					case replica == 1 && i%4 == 0:
						b.Report = &wire.Load{InFlight: 50, Queued: 50}
					default:
						b.ReportLag = 10 * time.Second
					}
				})
			}
		}
	}
	return plan
}

func coldStart(o *Options) *Plan {
	behaviour := calm
	behaviour.ColdFor, behaviour.ColdFactor = 1500*time.Millisecond, 10
	plan := single(o, behaviour)
	plan.Faults = func(ctx context.Context, s *Stage) {
		all := s.World.Searchers[deployment+"/"+service]
		for i, x := range all {
			if !s.Wait(ctx, 0.1+0.8*float64(i)/float64(len(all))) {
				return
			}
			x.Drain()
			address := x.Address()
			time.Sleep(30 * time.Millisecond)
			x.Stop()
			// The address was free a moment ago; a failure shows as a lost replica.
			_ = x.Start(address)
		}
	}
	return plan
}

func stopAndGo(o *Options) *Plan {
	plan := single(o, calm)
	plan.Settings = map[string]map[string]string{"firm.ini": {"AddressKeep": "1s", "SilentAfter": "600ms", "HeartbeatInterval": "200ms"}}
	plan.Faults = func(ctx context.Context, s *Stage) {
		for number, d := range s.World.Alive() {
			if !s.Wait(ctx, 0.1+0.4*float64(number)) {
				return
			}
			if _, err := s.World.AddDaemon(ctx); err != nil {
				s.Notes["NotStarted"]++
			}
			if err := d.Stop(context.WithoutCancel(ctx)); err != nil {
				s.Notes["Cut"]++
			}
			s.World.Unlist(d.Link())
		}
	}
	plan.Check = func(s *Stage) []string {
		if s.Notes["Cut"] > 0 || s.Notes["NotStarted"] > 0 {
			return []string{"CutByStop"}
		}
		return nil
	}
	return plan
}
