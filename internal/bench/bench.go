// Package bench runs experiments with real daemons and fake searchers over
// loopback. Two policies, Naive and Relay, run under the same arrivals and
// faults. Arrivals do not wait for answers (open-loop load), and latency is
// measured from the intended start of a request.
//
// # Usage
//
//	s, ok := bench.Find("Straggler")
//	report, err := bench.Run(ctx, s, bench.Options{Seed: 1, Duration: 10 * time.Second})
//
// Naive sends each sub-request to one random replica, without hedges, retries or
// limits, and waits for all shards until the deadline. It is an ordinary tree of
// settings.
package bench

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/world"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/process/sleep"
	"github.com/magnoliarelay/magnoliarelay/pkg/caller"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Kind classifies an Error.
type Kind string

// KindInvalid means that an option is invalid.
const KindInvalid Kind = "Invalid"

// Error is the error of this package.
type Error = fault.Error[Kind]

// Options override the defaults of a scenario; zero values keep them.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Shards   int
	Replicas int
	// Rate is the arrivals per second of the first stream; the rates of the other
	// streams scale with it.
	Rate    float64
	Daemons int
	// Set holds settings fields for the root of the tree.
	Set map[string]string
	// Policies are the policies to run; the default is all. A scenario whose
	// defaults name policies ignores this field.
	Policies []string
	// Progress prints a progress message; nil discards it.
	Progress func(format string, arguments ...any)
}

// Stream is one class of traffic.
type Stream struct {
	Class      string
	Deployment string
	Service    string
	// Callers send the requests in turn.
	Callers  []string
	Rate     float64
	Deadline time.Duration
	Limit    int
	// Execute sends non-idempotent requests instead of searches.
	Execute bool
	// Query returns the text of the n-th request; nil generates a distinct text
	// for each.
	Query func(n int) string
	// From and To are the start and end of the stream as fractions of the
	// duration; a zero To means 1.
	From, To float64
}

// Plan holds what one run of a scenario needs.
type Plan struct {
	World   world.World
	Streams []Stream
	// Settings maps the path of each settings file to its fields.
	Settings map[string]map[string]string
	// Faults injects the faults while the traffic runs; it must return when the
	// context ends.
	Faults func(ctx context.Context, s *RunState)
	// Check returns the violations found after the run; it may be nil.
	Check func(s *RunState) []string
}

// RunState is the state of one run. Faults and checks read and change it.
type RunState struct {
	World    *world.World
	Start    time.Time
	Duration time.Duration
	// Relay reports whether the policy is Relay.
	Relay bool
	// Notes are measurements that a scenario adds to the result.
	Notes map[string]float64

	mu             mutex.Mutex
	reportedNotRun []string
	reportedRan    []string
}

// recordExecute records a non-idempotent request for which the caller got a
// result or a refusal that guarantees that the request did not run.
func (s *RunState) recordExecute(key string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var e *caller.Error
	switch {
	case err == nil:
		s.reportedRan = append(s.reportedRan, key)
	case errors.As(err, &e) && e.Refusal != nil && e.Refusal.Ran == wire.RanNo:
		s.reportedNotRun = append(s.reportedNotRun, key)
	}
}

// WaitUntil sleeps until a fraction of the duration has passed. It returns false
// if the context ends first.
func (s *RunState) WaitUntil(ctx context.Context, fraction float64) bool {
	return sleep.For(ctx, time.Until(s.Start.Add(time.Duration(fraction*float64(s.Duration)))))
}

// Scenario is one experiment.
type Scenario struct {
	Name        string
	Description string
	// Plan returns a new plan; the options include the defaults.
	Plan func(o *Options) *Plan
	// Defaults replace options that are zero.
	Defaults Options
	// MinShards and MinDaemons are the fewest with which the scenario makes sense.
	MinShards  int
	MinDaemons int
}

// Figures are the measurements of one run or of one class of traffic.
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

// Result is the result of one policy.
type Result struct {
	Policy string
	Figures
	// PeakExtraLoad is the largest extra load in any one second.
	PeakExtraLoad float64
	// ProcessCPUMicros and ProcessAllocs are per sub-request. They include the
	// callers and the fake targets, which run in the same process.
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

// Report is the result of a scenario.
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

// naiveSettings are the settings of the Naive policy, the baseline.
var naiveSettings = map[string]string{
	"Selection": "Random", "ExtraLoad": "0", "RetryBudget": "0", "MaxAttempts": "1", "LimitConcurrency": "Off",
	"EjectCeiling": "0", "Canary": "Off", "LeastCoverage": "0", "QueueLength": "100000",
}
