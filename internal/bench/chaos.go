package bench

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/store"
	"github.com/magnoliarelay/magnoliarelay/internal/process/daemon"
)

// chaosInterval is the time between the starts of two faults, and
// chaosFaultDuration is how long each fault lasts.
const (
	chaosInterval      = 700 * time.Millisecond
	chaosFaultDuration = 1500 * time.Millisecond
)

// chaosFault starts a fault and returns a function that ends it, or nil if there
// is nothing to end.
type chaosFault func(ctx context.Context, s *RunState, random *rand.Rand) func()

func chaos(o *Options) *Plan {
	behaviour := healthyBehaviour
	behaviour.StragglerShare, behaviour.StragglerFactor = 0.005, 10
	plan := singleService(o, behaviour)
	lots := plan.Streams[0]
	lots.Class, lots.Execute, lots.Rate, lots.Callers = "Lots", true, 10, []string{"printer"}
	crashing := plan.Streams[0]
	crashing.Class, crashing.Rate, crashing.Callers = "Death", 0.5, []string{"unlucky"}
	crashing.Query = func(int) string { return "sage " + shard.CrashQuery }
	plan.Streams = append(plan.Streams, lots, crashing)
	plan.Settings = map[string]map[string]string{"firm.ini": {"LeastCoverage": "0.5"}}
	plan.Check = func(s *RunState) []string {
		forEachSearcher(s, func(x *shard.Searcher) { s.Notes["CrashedByDeath"] += float64(x.Counts().Crashes) })
		return checkExecuted(s)
	}
	plan.Faults = func(ctx context.Context, s *RunState) {
		random := rand.New(rand.NewPCG(o.Seed, 99))
		for at := chaosInterval; at < s.Duration-2*chaosFaultDuration; at += chaosInterval {
			fault := chaosFaults[random.IntN(len(chaosFaults))]
			if !s.WaitUntil(ctx, at.Seconds()/s.Duration.Seconds()) {
				return
			}
			if undo := fault(ctx, s, random); undo != nil {
				time.AfterFunc(chaosFaultDuration, undo)
			}
			s.Notes["Faults"]++
		}
		s.WaitUntil(ctx, 0.99)
	}
	return plan
}

var chaosFaults = []chaosFault{slowTarget, crashTarget, drainTarget, corruptReplies, stopStore, loseStoreReplies, applySettings, killDaemon, stopHostList}

func randomSearcher(s *RunState, random *rand.Rand) *shard.Searcher {
	all := s.World.Searchers[deployment+"/"+service]
	return all[random.IntN(len(all))]
}

func slowTarget(_ context.Context, s *RunState, random *rand.Rand) func() {
	searcher := randomSearcher(s, random)
	searcher.UpdateBehaviour(func(b *shard.Behaviour) { b.Slowness = 30 })
	return func() { searcher.UpdateBehaviour(func(b *shard.Behaviour) { b.Slowness = 1 }) }
}

func crashTarget(_ context.Context, s *RunState, random *rand.Rand) func() {
	searcher := randomSearcher(s, random)
	searcher.Stop()
	return restartSearcher(searcher)
}

func drainTarget(_ context.Context, s *RunState, random *rand.Rand) func() {
	searcher := randomSearcher(s, random)
	searcher.Drain()
	return func() {
		searcher.Stop()
		restartSearcher(searcher)()
	}
}

// restartSearcher returns a function that starts a searcher again at its address.
// The function ignores the error of a searcher that another fault has already
// restarted.
func restartSearcher(searcher *shard.Searcher) func() {
	return func() { _ = searcher.Start(searcher.Address()) }
}

func corruptReplies(_ context.Context, s *RunState, random *rand.Rand) func() {
	searcher := randomSearcher(s, random)
	set := func(share float64) {
		searcher.UpdateBehaviour(func(b *shard.Behaviour) {
			b.SwappedShare, b.TruncatedShare, b.DuplicatedShare, b.WrongVersionShare = share, share, share, share
		})
	}
	set(0.1)
	return func() { set(0) }
}

func stopStore(_ context.Context, s *RunState, _ *rand.Rand) func() {
	s.World.Store.SetFaults(store.Faults{Down: true})
	return func() { s.World.Store.SetFaults(store.Faults{}) }
}

func loseStoreReplies(_ context.Context, s *RunState, _ *rand.Rand) func() {
	s.World.Store.SetFaults(store.Faults{LoseReplies: 2, Delay: 100 * time.Millisecond})
	return func() { s.World.Store.SetFaults(store.Faults{}) }
}

// applySettings changes one field and keeps the settings of the policy. It may
// fail while the store is down, as an operator's apply may.
func applySettings(ctx context.Context, s *RunState, random *rand.Rand) func() {
	files := maps.Clone(s.World.Settings)
	files["Erbacee/Herbarium/changed.ini"] = "[Time]\nMaxDeadline = " + []string{"1s", "2s", "3s"}[random.IntN(3)] + "\n"
	go func() { _, _ = s.World.Apply(context.WithoutCancel(ctx), files) }()
	return nil
}

// killDaemon kills one daemon and starts another of the same name and addresses.
func killDaemon(ctx context.Context, s *RunState, random *rand.Rand) func() {
	running := s.World.Alive()
	if len(running) < 3 {
		return nil
	}
	victim := running[random.IntN(len(running))]
	victim.Kill()
	return func() { restartDaemon(ctx, s, victim) }
}

func restartDaemon(ctx context.Context, s *RunState, d *daemon.Daemon) {
	ctx = context.WithoutCancel(ctx)
	if _, err := s.World.StartDaemon(ctx, d.Setup.Name, addressOf(d.URL()), d.Link(), 0); err != nil {
		s.Notes["NotRevived"]++
	}
}

func stopHostList(_ context.Context, s *RunState, _ *rand.Rand) func() {
	s.World.Hosts.SetDown(true)
	return func() { s.World.Hosts.SetDown(false) }
}
