// Package bench runs experiments: real daemons over loopback against stand-in
// searchers, under the same arrivals and faults for two policies, Naive and
// Relay. Arrivals do not wait for answers, and latency counts from the intended
// start.
//
// # Usage
//
//	s, ok := bench.Find("Straggler")
//	report, err := bench.Run(ctx, s, bench.Options{Seed: 1, Duration: 10 * time.Second})
//
// Naive is one random replica, no hedge, no retry, no limits, and waits for all
// until the deadline. It is a tree of settings like any other.
package bench

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/world"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/pause"
	"github.com/magnoliarelay/magnoliarelay/pkg/caller"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Kind classifies an Error.
type Kind string

// KindInvalid means that an option can not be used.
const KindInvalid Kind = "Invalid"

// Error is the error of this package.
type Error = fault.Error[Kind]

// Options change a scenario; zero values leave its own.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Shards   int
	Replicas int
	// Rate scales the arrivals so that the first stream has this many a second.
	Rate    float64
	Daemons int
	// Set holds fields of the settings, put at the root of the tree.
	Set map[string]string
	// Policies are those to run; all by default.
	Policies []string
	// Say reports progress.
	Say func(format string, arguments ...any)
}

// Stream is one kind of traffic.
type Stream struct {
	Class      string
	Deployment string
	Service    string
	// Callers take turns.
	Callers  []string
	Rate     float64
	Deadline time.Duration
	Limit    int
	// Execute sends non-idempotent requests instead of searches.
	Execute bool
	// Query returns the text of the n-th request; nil draws distinct ones.
	Query func(n int) string
	// From and To bound the stream in time as shares of the duration.
	From, To float64
}

// Plan is a scenario made ready for one run.
type Plan struct {
	World   world.World
	Streams []Stream
	// Settings holds fields by path of the tree's files.
	Settings map[string]map[string]string
	// Faults runs beside the traffic; it ends with the context.
	Faults func(ctx context.Context, s *Stage)
	// Check names what is broken after the run; it may be nil.
	Check func(s *Stage) []string
}

// Stage is what faults act on.
type Stage struct {
	World    *world.World
	Start    time.Time
	Duration time.Duration
	Relay    bool
	// Notes are figures that a scenario adds to the result.
	Notes map[string]float64

	mu         sync.Mutex
	toldNotRun []string
	toldRan    []string
}

// noteExecute keeps what a caller was told of a non-idempotent request.
func (s *Stage) recordExecute(key string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var e *caller.Error
	switch {
	case err == nil:
		s.toldRan = append(s.toldRan, key)
	case errors.As(err, &e) && e.Refusal != nil && e.Refusal.Ran == wire.RanNo:
		s.toldNotRun = append(s.toldNotRun, key)
	}
}

// Wait sleeps until a share of the duration has passed; it reports false when
// the run ended first.
func (s *Stage) Wait(ctx context.Context, fraction float64) bool {
	return pause.For(ctx, time.Until(s.Start.Add(time.Duration(fraction*float64(s.Duration)))))
}

// Scenario is one experiment.
type Scenario struct {
	Name  string
	About string
	// Plan makes a fresh plan; options have been filled in.
	Plan func(o *Options) *Plan
	// Defaults are used where the options are zero.
	Defaults Options
}

// Figures are what one run measured.
type Figures struct {
	Queries        int
	Complete       int
	Partial        int
	Refused        int
	Late           int
	P50Millis      float64
	P99Millis      float64
	P999Millis     float64
	Coverage       float64
	ExtraLoad      float64
	TargetOverload float64
}

// Result is one policy's run.
type Result struct {
	Policy string
	Figures
	// PeakExtraLoad is the largest of any whole second.
	PeakExtraLoad float64
	// ProcessCPUMicros and ProcessAllocs are for each sub-request, callers and
	// stand-in targets included, which run in the same process.
	ProcessCPUMicros float64
	ProcessAllocs    float64
	// Refusals counts refusals by kind.
	Refusals   map[string]int
	PerClass   map[string]Figures
	Notes      map[string]float64 `json:",omitempty"`
	Violations []string

	curve []point
}

type point struct{ percent, millis float64 }

// Report is the outcome of a scenario.
type Report struct {
	Scenario string
	Seed     uint64
	Shards   int
	Replicas int
	Daemons  int
	Rate     float64
	Seconds  float64
	Runs     []Result
}

// The policies.
const (
	PolicyNaive = "Naive"
	PolicyRelay = "Relay"
)

// naive is the baseline as settings.
var naiveSettings = map[string]string{
	"Selection": "Random", "ExtraLoad": "0", "RetryBudget": "0", "MaxAttempts": "1", "LimitConcurrency": "Off",
	"EjectCeiling": "0", "Canary": "Off", "LeastCoverage": "0", "QueueLength": "100000",
}
