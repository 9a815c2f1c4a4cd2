package bench

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/world"
)

const (
	deployment = "Erbacee"
	service    = "Herbarium"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario { return scenarios }

// Find returns a scenario by name.
func Find(name string) (*Scenario, bool) {
	i := slices.IndexFunc(scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return nil, false
	}
	return &scenarios[i], true
}

// manyShardsDefaults are the defaults of scenarios with many shards.
var manyShardsDefaults = Options{Shards: 260, Replicas: 3, Rate: 30, Daemons: 2, Duration: 10 * time.Second}

// fewShardsDefaults are the defaults of scenarios that need more requests than
// shards.
var fewShardsDefaults = Options{Shards: 16, Replicas: 3, Rate: 60, Daemons: 2, Duration: 10 * time.Second}

// idleDefaults are the defaults of scenarios without searches.
var idleDefaults = Options{Shards: 1, Replicas: 3, Daemons: 9, Duration: 12 * time.Second, Policies: []string{PolicyRelay}}

// chaosDefaults are the defaults of Chaos.
var chaosDefaults = Options{Shards: 16, Replicas: 3, Rate: 60, Daemons: 4, Duration: 20 * time.Second}

var healthyBehaviour = shard.Behaviour{Median: 4 * time.Millisecond, Spread: 0.3}

// singleService returns a plan of one service and one stream of distinct queries.
func singleService(o *Options, behaviour shard.Behaviour) *Plan {
	return &Plan{
		World: world.World{Services: []world.Service{{
			Deployment: deployment, Name: service, Shards: o.Shards, Replicas: o.Replicas, Slots: 3, Connections: 40,
			ConnectCost: time.Millisecond, Documents: 4000, Behaviour: behaviour,
		}}},
		Streams: []Stream{{
			Class: "Default", Deployment: deployment, Service: service, Callers: []string{"a", "b", "c", "d"},
			Rate: o.Rate, Deadline: 2 * time.Second,
		}},
	}
}

var scenarios = []Scenario{
	{
		Name: "Steady", Description: "Nothing fails.", Defaults: manyShardsDefaults,
		Plan: func(o *Options) *Plan { return singleService(o, healthyBehaviour) },
	},
	{
		Name: "Straggler", Description: "1% of sub-requests are 20 times slower; in the second half one target in 50 is, too.", Defaults: manyShardsDefaults,
		Plan: straggler,
	},
	{
		Name: "AllSlow", Description: "Every target is ten times slower for the middle of the run.", Defaults: manyShardsDefaults,
		Plan: allSlow,
	},
	{
		Name: "ReplicaLoss", Description: "One replica of every shard, all in one data centre, fails at the same time.", Defaults: manyShardsDefaults,
		Plan: replicaLoss,
	},
	{
		Name: "LastReplica", Description: "All replicas of two shards are gone.", Defaults: manyShardsDefaults,
		Plan: lastReplica, MinShards: lostShards,
	},
	{
		Name: "Overload", Description: "Five callers send three times the capacity; one of them sends 90% of it.", Defaults: fewShardsDefaults,
		Plan: overload,
	},
	{
		Name: "MorningMarket", Description: "Label lookups alone, then with curators' searches at 1.5 times the capacity.", Defaults: fewShardsDefaults,
		Plan: morningMarket,
	},
	{
		Name: "LotNumbers", Description: "Non-idempotent requests while replies are lost and daemons are killed.", Defaults: fewShardsDefaults,
		Plan: lotNumbers,
	},
	{
		Name: "QueryOfDeath", Description: "A query that crashes its targets is sent again and again.", Defaults: fewShardsDefaults,
		Plan: queryOfDeath,
	},
	{
		Name: "CrossedReplies", Description: "Replies are swapped, truncated, duplicated or name a wrong index version.", Defaults: fewShardsDefaults,
		Plan: crossedReplies,
	},
	{
		Name: "Repartition", Description: "The index moves to a new version with more shards while queries run.", Defaults: fewShardsDefaults,
		Plan: repartition,
	},
	{
		Name: "Drain", Description: "Targets leave while the host list lags by 3 s.", Defaults: fewShardsDefaults,
		Plan: drain,
	},
	{
		Name: "MisleadingLoad", Description: "Some targets report idle but shed all requests, some report busy but are idle, others report with a lag of 10 s.", Defaults: fewShardsDefaults,
		Plan: misleadingLoad,
	},
	{
		Name: "ColdStart", Description: "The targets restart in rolling order and are slow at first.", Defaults: fewShardsDefaults,
		Plan: coldStart,
	},
	{
		Name: "Control", Description: "No searches: resource usage of idle daemons, load on the store, and time until changes are in force.",
		Defaults: idleDefaults, Plan: control(0, false),
	},
	{
		Name: "ControlFaults", Description: "Control with 5% of packets lost between daemons and a watcher killed.",
		Defaults: idleDefaults, Plan: control(0.05, true),
	},
	{
		Name: "SharedRate", Description: "A caller with a Rate of 30/s sends 80/s to one daemon, then to another.",
		Defaults: Options{Shards: 4, Replicas: 3, Rate: 80, Daemons: 6, Duration: 16 * time.Second, Policies: []string{PolicyRelay}},
		Plan:     sharedRate, MinDaemons: 2,
	},
	{
		Name: "Chaos", Description: "A random mix of faults that depends only on the seed.", Defaults: chaosDefaults,
		Plan: chaos,
	},
	{
		Name: "ErbaceeMorning", Description: "Erbacee's services at their size on a market morning.",
		Defaults: Options{Shards: 20, Replicas: 2, Rate: 40, Daemons: 8, Duration: 10 * time.Second}, Plan: erbaceeMorning,
	},
	{
		Name: "SalishDividends", Description: "Salish's services at their size at the month's end.",
		Defaults: Options{Shards: 20, Replicas: 2, Rate: 30, Daemons: 9, Duration: 10 * time.Second}, Plan: salishDividends,
	},
	{
		Name: "StopAndGo", Description: "Every daemon is restarted gracefully in turn.", Defaults: fewShardsDefaults,
		Plan: stopAndGo,
	},
}

func straggler(o *Options) *Plan {
	behaviour := healthyBehaviour
	behaviour.StragglerShare, behaviour.StragglerFactor = 0.01, 20
	plan := singleService(o, behaviour)
	plan.Faults = func(ctx context.Context, s *RunState) {
		if !s.WaitUntil(ctx, 0.5) {
			return
		}
		for i, x := range s.World.Searchers[deployment+"/"+service] {
			if i%50 == 7 {
				x.UpdateBehaviour(func(b *shard.Behaviour) { b.Slowness = 20 })
			}
		}
	}
	return plan
}

func allSlow(o *Options) *Plan {
	plan := singleService(o, healthyBehaviour)
	plan.Faults = func(ctx context.Context, s *RunState) {
		slow := func(factor float64) {
			forEachSearcher(s, func(x *shard.Searcher) { x.UpdateBehaviour(func(b *shard.Behaviour) { b.Slowness = factor }) })
		}
		if s.WaitUntil(ctx, 0.3) {
			slow(10)
		}
		if s.WaitUntil(ctx, 0.6) {
			slow(1)
		}
	}
	return plan
}

func replicaLoss(o *Options) *Plan {
	plan := singleService(o, healthyBehaviour)
	plan.Faults = func(ctx context.Context, s *RunState) {
		if s.WaitUntil(ctx, 0.4) {
			for _, x := range s.World.Replica(deployment, service, 0) {
				x.Stop()
			}
		}
	}
	return plan
}

// lostShards is the number of shards that lose all their replicas in LastReplica.
const lostShards = 2

func lastReplica(o *Options) *Plan {
	plan := singleService(o, healthyBehaviour)
	plan.Settings = map[string]map[string]string{"firm.ini": {"LeastCoverage": "0.5"}}
	plan.Faults = func(ctx context.Context, s *RunState) {
		if !s.WaitUntil(ctx, 0.4) {
			return
		}
		for replica := range o.Replicas {
			for _, x := range s.World.Replica(deployment, service, replica)[:lostShards] {
				x.Stop()
			}
		}
	}
	return plan
}

func overload(o *Options) *Plan {
	plan := singleService(o, shard.Behaviour{Median: 30 * time.Millisecond, Spread: 0.3})
	plan.World.Services[0].Slots = 2
	// The replicas of a shard together serve Replicas x 2 requests in about 31 ms.
	capacity := float64(o.Replicas) * 2 / 0.0315
	fair := plan.Streams[0]
	fair.Class, fair.Callers, fair.Rate, fair.Deadline = "Fair", []string{"a", "b", "c", "d"}, capacity*0.3, 500*time.Millisecond
	greedy := fair
	greedy.Class, greedy.Callers, greedy.Rate = "Greedy", []string{"greedy"}, capacity*2.7
	plan.Streams = []Stream{fair, greedy}
	return plan
}

func morningMarket(o *Options) *Plan {
	plan := singleService(o, shard.Behaviour{Median: 20 * time.Millisecond, Spread: 0.3})
	plan.World.Services[0].Slots = 2
	capacity := float64(o.Replicas) * 2 / 0.021
	labels := plan.Streams[0]
	labels.Class, labels.Callers, labels.Rate, labels.Deadline = "LabelsAlone", []string{"label-desk"}, capacity*0.2, time.Second
	labels.From, labels.To = 0, 0.4
	labelsWithCurators := labels
	labelsWithCurators.Class, labelsWithCurators.From, labelsWithCurators.To = "LabelsBeside", 0.5, 1
	curators := labels
	curators.Class, curators.Callers, curators.Rate = "Curators", []string{"curator-1", "curator-2", "curator-3"}, capacity*1.3
	curators.From, curators.To, curators.Deadline, curators.Limit = 0.45, 1, 2*time.Second, 100
	plan.Streams = []Stream{labels, labelsWithCurators, curators}
	plan.Settings = map[string]map[string]string{
		"Erbacee/Herbarium/service.ini":    {"Class": "Curators", "Priority": "6"},
		"Erbacee/Herbarium/label-desk.ini": {"Class": "Labels", "Priority": "0"},
	}
	return plan
}

func lotNumbers(o *Options) *Plan {
	plan := singleService(o, healthyBehaviour)
	lots := plan.Streams[0]
	lots.Class, lots.Execute, lots.Rate = "Lots", true, o.Rate
	plan.Streams = []Stream{lots}
	plan.Faults = injectLotFaults
	plan.Check = checkExecuted
	return plan
}

// injectLotFaults makes searchers lose the results of orders that have taken
// effect, then replaces a daemon by a new incarnation of the same name and
// addresses.
func injectLotFaults(ctx context.Context, s *RunState) {
	if s.WaitUntil(ctx, 0.2) {
		for i, x := range s.World.Searchers[deployment+"/"+service] {
			if i%5 == 0 {
				x.UpdateBehaviour(func(b *shard.Behaviour) { b.DropReplies = true })
			}
		}
	}
	if !s.WaitUntil(ctx, 0.5) {
		return
	}
	first := s.World.Alive()[0]
	first.Kill()
	if _, err := s.World.StartDaemon(ctx, first.Setup.Name, addressOf(first.URL()), first.Link(), 0); err != nil {
		s.Notes["NotStarted"]++
	}
}

// checkExecuted compares the outcomes that the daemons reported to callers with
// the requests that the targets have run.
func checkExecuted(s *RunState) []string {
	runs := map[string]int{}
	forEachSearcher(s, func(x *shard.Searcher) {
		for key, count := range x.Runs() {
			runs[key] += count
		}
	})
	violations := map[string]int{}
	for _, count := range runs {
		if count > 1 {
			violations["RanTwice"]++
		}
	}
	for _, key := range s.reportedNotRun {
		if runs[key] > 0 {
			violations["FalseNotRun"]++
		}
	}
	for _, key := range s.reportedRan {
		if runs[key] == 0 {
			violations["FalseRan"]++
		}
	}
	s.Notes["RanOnTargets"] = float64(len(runs))
	s.Notes["ToldNotRun"] = float64(len(s.reportedNotRun))
	var found []string
	for name, count := range violations {
		found = append(found, fmt.Sprintf("%s x%d", name, count))
	}
	return found
}

func addressOf(url string) string { return url[len("http://"):] }

func queryOfDeath(o *Options) *Plan {
	plan := singleService(o, healthyBehaviour)
	crashing := plan.Streams[0]
	crashing.Class, crashing.Rate, crashing.Callers = "Death", 4, []string{"unlucky"}
	crashing.Query = func(int) string { return "oregano " + shard.CrashQuery }
	plan.Streams = append(plan.Streams, crashing)
	plan.Check = func(s *RunState) []string {
		crashes := int64(0)
		forEachSearcher(s, func(x *shard.Searcher) { crashes += x.Counts().Crashes })
		s.Notes["TargetsLost"] = float64(crashes)
		if s.Relay && crashes > 3 {
			return []string{fmt.Sprintf("TargetsLost %d, over 3", crashes)}
		}
		return nil
	}
	return plan
}

func crossedReplies(o *Options) *Plan {
	behaviour := healthyBehaviour
	behaviour.SwappedShare, behaviour.TruncatedShare, behaviour.DuplicatedShare, behaviour.WrongVersionShare = 0.01, 0.005, 0.01, 0.005
	return singleService(o, behaviour)
}

func repartition(o *Options) *Plan {
	plan := singleService(o, healthyBehaviour)
	plan.Faults = func(ctx context.Context, s *RunState) {
		name := deployment + "/" + service
		newShardCount := o.Shards * 2
		// One after the other, each target adds its shards of the new version.
		all := s.World.Searchers[name]
		for i, x := range all {
			if !s.WaitUntil(ctx, 0.2+0.3*float64(i)/float64(len(all))) {
				return
			}
			shardIndex := i % o.Shards
			x.Hold(s.World.Corpora[name], world.FirstVersion+1, newShardCount, []int{shardIndex, shardIndex + o.Shards})
		}
		for i, x := range all {
			if !s.WaitUntil(ctx, 0.6+0.2*float64(i)/float64(len(all))) {
				return
			}
			x.Drop(world.FirstVersion)
		}
	}
	return plan
}

func drain(o *Options) *Plan {
	plan := singleService(o, healthyBehaviour)
	plan.World.HostLag = 3 * time.Second
	plan.Faults = func(ctx context.Context, s *RunState) {
		if !s.WaitUntil(ctx, 0.2) {
			return
		}
		leaving := s.World.Replica(deployment, service, 1)[:max(1, o.Shards/3)]
		for _, x := range leaving {
			s.World.MarkLeaving(x.Address())
			x.Drain()
		}
		if !s.WaitUntil(ctx, 0.2+3/s.Duration.Seconds()) {
			return
		}
		before := requestsWhileDraining(leaving)
		s.WaitUntil(ctx, 0.98)
		s.Notes["NewWorkAfter3s"] = float64(requestsWhileDraining(leaving) - before)
		s.Notes["RefusedByLeaving"] = float64(before)
	}
	plan.Check = func(s *RunState) []string {
		if s.Notes["NewWorkAfter3s"] > 0 {
			return []string{"NewWorkAfter3s"}
		}
		return nil
	}
	return plan
}

func requestsWhileDraining(searchers []*shard.Searcher) int64 {
	sum := int64(0)
	for _, x := range searchers {
		sum += x.Counts().WhileDraining
	}
	return sum
}
