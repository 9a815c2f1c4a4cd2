package bench

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/world"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

const (
	controlChanges      = 5
	controlPollInterval = 2 * time.Millisecond
	maxControlDelay     = 19 * time.Second
)

// control measures the resource usage of idle daemons, and the time until a
// change of settings is in force on all daemons.
func control(loss float64, killWatcher bool) func(*Options) *Plan {
	return func(*Options) *Plan {
		return &Plan{
			World: world.World{LinkLoss: loss, Services: []world.Service{{
				Deployment: deployment, Name: service, Shards: 1, Replicas: 3, Slots: 3, Connections: 1000, Documents: 10,
				Behaviour: shard.Behaviour{Median: time.Millisecond},
			}}},
			Faults: func(ctx context.Context, s *RunState) {
				measureIdle(ctx, s)
				measureChanges(ctx, s, killWatcher)
			},
			Check: func(s *RunState) []string {
				if s.Notes["InForceMostMillis"] > float64(maxControlDelay.Milliseconds()) || s.Notes["Changes"] < controlChanges {
					return []string{fmt.Sprintf("InForce after %v ms, %v changes", s.Notes["InForceMostMillis"], s.Notes["Changes"])}
				}
				return nil
			},
		}
	}
}

// measureIdle measures the resource usage of idle daemons between 10% and 50%
// of the run.
func measureIdle(ctx context.Context, s *RunState) {
	s.WaitUntil(ctx, 0.1)
	daemons := float64(len(s.World.Alive()))
	start, bytes, calls, cpu := time.Now(), s.World.LinkBytes(), s.storeCalls(), processCPUTime()
	s.WaitUntil(ctx, 0.5)
	seconds := time.Since(start).Seconds()
	s.Notes["LinkBytesPerDaemonPerSecond"] = float64(s.World.LinkBytes()-bytes) / daemons / seconds
	s.Notes["StoreCallsPerSecond"] = float64(s.storeCalls()-calls) / seconds
	s.Notes["CPUPercentPerDaemon"] = 100 * (processCPUTime() - cpu).Seconds() / daemons / seconds
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	s.Notes["HeapKBPerDaemon"] = float64(memory.HeapAlloc) / daemons / 1024
}

func (s *RunState) storeCalls() int64 {
	sum := int64(0)
	for _, count := range s.World.Store.Calls() {
		sum += count
	}
	return sum
}

func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureChanges applies changes one after the other and waits after each until
// it is in force on all daemons.
func measureChanges(ctx context.Context, s *RunState, killWatcher bool) {
	for n := range controlChanges {
		if killWatcher && n == 1 {
			s.killWatcher()
		}
		files := tree.Files{"firm.ini": fmt.Sprintf("[Cost]\nQueueLength = %d\n", 100+n)}
		result, err := s.World.Apply(ctx, files)
		if err != nil {
			return
		}
		start := time.Now()
		for !s.allAtRevision(result.Change.Revision) {
			if time.Since(start) > 2*maxControlDelay || ctx.Err() != nil {
				return
			}
			time.Sleep(controlPollInterval)
		}
		tookMillis := float64(time.Since(start).Milliseconds())
		s.Notes["InForceMostMillis"] = max(s.Notes["InForceMostMillis"], tookMillis)
		s.Notes["InForceMeanMillis"] += tookMillis / controlChanges
		s.Notes["Changes"]++
	}
}

func (s *RunState) killWatcher() {
	for _, d := range s.World.Alive() {
		if d.Snapshot().Watching {
			s.World.Remove(d)
			return
		}
	}
}

func (s *RunState) allAtRevision(revision int64) bool {
	for _, d := range s.World.Alive() {
		if d.Keeper.Current().Change.Revision < revision {
			return false
		}
	}
	return true
}
