package bench

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	"github.com/magnoliarelay/magnoliarelay/internal/process/daemon"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

func misleadingLoad(o *Options) *Plan {
	plan := singleService(o, healthyBehaviour)
	plan.Faults = func(ctx context.Context, s *RunState) {
		if !s.WaitUntil(ctx, 0.1) {
			return
		}
		for replica := range 2 {
			for i, x := range s.World.Replica(deployment, service, replica) {
				x.UpdateBehaviour(func(b *shard.Behaviour) {
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
	behaviour := healthyBehaviour
	behaviour.ColdFor, behaviour.ColdFactor = 1500*time.Millisecond, 10
	plan := singleService(o, behaviour)
	plan.Faults = func(ctx context.Context, s *RunState) {
		all := s.World.Searchers[deployment+"/"+service]
		for i, x := range all {
			if !s.WaitUntil(ctx, 0.1+0.8*float64(i)/float64(len(all))) {
				return
			}
			x.Drain()
			address := x.Address()
			time.Sleep(30 * time.Millisecond)
			x.Stop()
			// Stop has just freed the address; if Start fails, the run shows a lost replica.
			_ = x.Start(address)
		}
	}
	return plan
}

func stopAndGo(o *Options) *Plan {
	plan := singleService(o, healthyBehaviour)
	plan.Settings = map[string]map[string]string{"firm.ini": {"AddressKeep": "1s", "SilentAfter": "600ms", "HeartbeatInterval": "200ms"}}
	plan.Faults = func(ctx context.Context, s *RunState) {
		for number, d := range s.World.Alive() {
			if !s.WaitUntil(ctx, 0.1+0.4*float64(number)) {
				return
			}
			if _, err := s.World.AddDaemon(ctx); err != nil {
				s.Notes["NotStarted"]++
			}
			if err := d.Stop(context.WithoutCancel(ctx)); err != nil {
				s.Notes["Cut"]++
			}
			s.World.RemoveHost(d.Link())
		}
	}
	plan.Check = func(s *RunState) []string {
		if s.Notes["Cut"] > 0 || s.Notes["NotStarted"] > 0 {
			return []string{"CutByStop"}
		}
		return nil
	}
	return plan
}

const (
	sharedRateLimit = 30.0
	settleDuration  = 4 * time.Second
)

// sharedRate sends the requests of a rate-limited caller directly to one daemon
// and then to another, and counts the admitted requests.
func sharedRate(o *Options) *Plan {
	plan := singleService(o, healthyBehaviour)
	plan.Settings = map[string]map[string]string{
		"Erbacee/Herbarium/service.ini": {}, "Erbacee/Herbarium/limited.ini": {"Rate": "30"},
	}
	plan.Streams = nil
	plan.Faults = func(ctx context.Context, s *RunState) {
		running := s.World.Alive()
		half := s.Duration / 2
		s.Notes["FirstPerSecond"], s.Notes["FirstPeak"] = measureAdmitted(ctx, running[0], half, o.Rate)
		s.Notes["SecondPerSecond"], s.Notes["SecondPeak"] = measureAdmitted(ctx, running[1], half, o.Rate)
	}
	plan.Check = func(s *RunState) []string {
		for _, phase := range []string{"First", "Second"} {
			// A limiter allows a burst of one second of its daemon's share of the rate.
			if s.Notes[phase+"Peak"] > 2*sharedRateLimit || s.Notes[phase+"PerSecond"] > 1.1*sharedRateLimit || s.Notes[phase+"PerSecond"] < 0.85*sharedRateLimit {
				return []string{phase + "Share"}
			}
		}
		return nil
	}
	return plan
}

// measureAdmitted sends requests to one daemon and returns the mean number
// admitted per second once the shares of the rate have settled, and the largest
// number admitted in any second.
func measureAdmitted(ctx context.Context, d *daemon.Daemon, duration time.Duration, rate float64) (mean, peak float64) {
	start := time.Now()
	perSecond := map[int]int{}
	var mu mutex.Mutex
	var group sync.WaitGroup
	for n := 0; time.Since(start) < duration && ctx.Err() == nil; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(float64(n) / rate * float64(time.Second)))))
		group.Go(func() {
			sentAt := time.Now()
			_, refusal := d.Search(ctx, sentAt, &wire.SearchRequest{
				Deployment: deployment, Service: service, Caller: "limited", RequestID: "r", Deadline: "1s", Query: "oregano", Limit: 10,
			})
			if refusal == nil {
				mu.Lock()
				defer mu.Unlock()
				perSecond[int(sentAt.Sub(start).Seconds())]++
			}
		})
	}
	group.Wait()
	admitted, seconds := 0, 0
	for second, count := range perSecond {
		peak = max(peak, float64(count))
		// The last second may be incomplete, so it does not count.
		if float64(second) >= settleDuration.Seconds() && second < int(duration.Seconds()) {
			admitted += count
			seconds++
		}
	}
	return float64(admitted) / float64(max(seconds, 1)), peak
}
