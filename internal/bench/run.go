package bench

import (
	"context"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

const (
	warmUpDuration = 1500 * time.Millisecond
	sampleInterval = time.Second
)

// Run runs a scenario for each policy.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	o = withDefaults(o, s.Defaults)
	if o.Shards < s.MinShards || o.Daemons < s.MinDaemons {
		return nil, &Error{Op: s.Name, Kind: KindInvalid, Err: fault.Causef("needs at least %d shards and %d daemons", max(1, s.MinShards), max(1, s.MinDaemons))}
	}
	report := &Report{
		Scenario: s.Name, Seed: o.Seed, Shards: o.Shards, Replicas: o.Replicas, Daemons: o.Daemons,
		Rate: o.Rate, Seconds: o.Duration.Seconds(),
	}
	for _, policy := range o.Policies {
		o.Progress("%s: %s", s.Name, policy)
		result, err := runPolicy(ctx, s, &o, policy)
		if err != nil {
			return nil, err
		}
		report.Runs = append(report.Runs, *result)
	}
	return report, nil
}

func withDefaults(o, defaults Options) Options {
	valueOr := func(value, fallback int) int {
		if value != 0 {
			return value
		}
		return fallback
	}
	o.Shards = valueOr(o.Shards, defaults.Shards)
	o.Replicas = valueOr(o.Replicas, defaults.Replicas)
	o.Daemons = valueOr(o.Daemons, defaults.Daemons)
	if o.Duration == 0 {
		o.Duration = defaults.Duration
	}
	if o.Rate == 0 {
		o.Rate = defaults.Rate
	}
	if len(defaults.Policies) > 0 {
		o.Policies = defaults.Policies
	}
	if len(o.Policies) == 0 {
		o.Policies = []string{PolicyNaive, PolicyRelay}
	}
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	return o
}

func runPolicy(ctx context.Context, s *Scenario, o *Options, policy string) (*Result, error) {
	plan := s.Plan(o)
	w := &plan.World
	w.Daemons, w.Seed = o.Daemons, o.Seed
	files, err := settingsFiles(plan.Settings, o.Set, policy)
	if err != nil {
		return nil, err
	}
	w.Settings = files
	defer w.Stop()
	if err := w.Start(ctx); err != nil {
		return nil, err
	}
	if err := warmUp(ctx, plan, o); err != nil {
		return nil, err
	}
	state := &RunState{World: w, Start: time.Now(), Duration: o.Duration, Relay: policy == PolicyRelay, Notes: map[string]float64{}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := readCounters(state)
	sampler := startSampler(ctx, state)
	var faults sync.WaitGroup
	if plan.Faults != nil {
		faults.Go(func() { plan.Faults(ctx, state) })
	}
	load := newTraffic(state, plan.Streams, o.Seed)
	load.run(ctx)
	if len(plan.Streams) > 0 {
		cancel()
	}
	// A run without traffic lasts until its faults return.
	faults.Wait()
	cancel()
	result := load.result(policy)
	after := readCounters(state)
	result.setLoadFigures(before, after)
	result.PeakExtraLoad = sampler.peak()
	result.Notes = state.Notes
	result.Violations = violations(state, plan, load)
	return result, nil
}

// settingsFiles builds the tree from the fields of the scenario, then those of
// the command line, then, for Naive, those of the baseline. Later fields override
// earlier ones.
func settingsFiles(fields map[string]map[string]string, set map[string]string, policy string) (tree.Files, error) {
	all := map[string]map[string]string{"firm.ini": {}}
	for path, values := range fields {
		all[path] = maps.Clone(values)
	}
	maps.Copy(all["firm.ini"], set)
	if policy == PolicyNaive {
		for path := range all {
			for field, value := range naiveSettings {
				if path == "firm.ini" || all[path][field] != "" {
					all[path][field] = value
				}
			}
		}
	}
	sections := map[string]string{}
	for _, f := range tree.Fields() {
		sections[f.Name] = f.Section
	}
	files := tree.Files{}
	for path, values := range all {
		var text strings.Builder
		for _, name := range slices.Sorted(maps.Keys(values)) {
			fmt.Fprintf(&text, "[%s]\n%s = %s\n", sections[name], name, values[name])
		}
		files[path] = text.String()
	}
	if _, err := tree.Parse(files); err != nil {
		return nil, &Error{Op: "settings", Kind: KindInvalid, Err: err}
	}
	return files, nil
}

// warmUp sends traffic that is not measured, so that connections are open and
// the daemons have latency measurements when the run starts.
func warmUp(ctx context.Context, plan *Plan, o *Options) error {
	state := &RunState{World: &plan.World, Start: time.Now(), Duration: warmUpDuration}
	var streams []Stream
	for _, s := range plan.Streams {
		if !s.Execute {
			s.From, s.To, s.Query = 0, 1, nil
			s.Rate = min(s.Rate, o.Rate/2)
			streams = append(streams, s)
		}
	}
	newTraffic(state, streams, o.Seed+1000).run(ctx)
	return ctx.Err()
}

// counters are sums over all daemons and searchers, and those of the process.
type counters struct {
	primaries, extras    float64
	requests, overloaded int64
	cpuTime              time.Duration
	allocations          uint64
}

func readCounters(s *RunState) counters {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	c := counters{cpuTime: processCPUTime(), allocations: memory.Mallocs}
	for _, d := range s.World.Alive() {
		c.primaries += d.Meter.Sum("primary_attempts_total")
		c.extras += d.Meter.Sum("extra_attempts_total")
	}
	forEachSearcher(s, func(x *shard.Searcher) {
		counts := x.Counts()
		c.requests += counts.Requests
		c.overloaded += counts.Queued + counts.RefusedConnections
	})
	return c
}

func forEachSearcher(s *RunState, visit func(*shard.Searcher)) {
	for _, searchers := range s.World.Searchers {
		for _, x := range searchers {
			visit(x)
		}
	}
}

func (r *Result) setLoadFigures(before, after counters) {
	if primaries := after.primaries - before.primaries; primaries > 0 {
		r.ExtraLoad = (after.extras - before.extras) / primaries
	}
	if sent := after.primaries + after.extras - before.primaries - before.extras; sent > 0 {
		r.ProcessCPUMicros = float64((after.cpuTime - before.cpuTime).Microseconds()) / sent
		r.ProcessAllocs = float64(after.allocations-before.allocations) / sent
	}
	if requests := after.requests - before.requests; requests > 0 {
		r.TargetOverload = float64(after.overloaded-before.overloaded) / float64(requests)
	}
}

// sampler reads the counters every sampleInterval.
type sampler struct {
	mu      mutex.Mutex
	samples []counters
}

func startSampler(ctx context.Context, s *RunState) *sampler {
	p := &sampler{samples: []counters{readCounters(s)}}
	go func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				c := readCounters(s)
				p.mu.Lock()
				p.samples = append(p.samples, c)
				p.mu.Unlock()
			}
		}
	}()
	return p
}

func (p *sampler) peak() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	peak := 0.0
	for i := 1; i < len(p.samples); i++ {
		primaries := p.samples[i].primaries - p.samples[i-1].primaries
		if primaries > 0 {
			peak = max(peak, (p.samples[i].extras-p.samples[i-1].extras)/primaries)
		}
	}
	return peak
}

// violations collects the violations that the daemons, the traffic and the check
// of the scenario found.
func violations(s *RunState, plan *Plan, t *traffic) []string {
	found := []string{}
	for name, times := range s.World.Violations() {
		found = append(found, fmt.Sprintf("%s x%d", name, times))
	}
	for name, times := range t.violations {
		found = append(found, fmt.Sprintf("%s x%d", name, times))
	}
	if plan.Check != nil {
		found = append(found, plan.Check(s)...)
	}
	sort.Strings(found)
	return found
}
