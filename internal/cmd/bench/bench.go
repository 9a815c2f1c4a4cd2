// Package bench implements the command that runs benchmark scenarios.
//
// # Usage
//
//	magnoliarelay bench --list
//	magnoliarelay bench Straggler --seed 3 --json
package bench

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/bench"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
)

// Options are the command's flags and dependencies.
type Options struct {
	Streams *term.Streams `kong:"-"`

	Scenario string            `arg:"" optional:"" help:"Name of the scenario."`
	Preset   string            `help:"Run the scenario of a whole deployment: ErbaceeMorning or SalishDividends." enum:",ErbaceeMorning,SalishDividends" default:""`
	List     bool              `help:"List the scenarios."`
	Seed     uint64            `help:"Seed of arrivals and service times." default:"1"`
	Duration time.Duration     `help:"Duration of each run; set by the scenario by default."`
	Shards   int               `help:"Number of shards."`
	Replicas int               `help:"Replicas of each shard."`
	Rate     float64           `help:"Queries per second."`
	Daemons  int               `help:"Number of daemons."`
	Set      map[string]string `help:"Settings field to set, as Field=Value; may be given more than once."`
	Policy   []string          `help:"Policies to run." default:"Naive,Relay" enum:"Naive,Relay"`
	Plot     string            `help:"SVG file to plot the latency curves to." type:"path"`
	JSON     bool              `help:"Print the report as JSON." name:"json"`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "Examples:\n  magnoliarelay bench --list\n  magnoliarelay bench Straggler --seed 3 --json\n" +
		"  magnoliarelay bench Steady --set Aim=Savings --plot steady.svg"
}

// Run runs the scenario and prints its results.
func (o *Options) Run(ctx context.Context) error {
	if o.List {
		return o.list()
	}
	if o.Preset != "" {
		o.Scenario = o.Preset
	}
	s, ok := bench.Find(o.Scenario)
	if !ok {
		return &term.Error{Op: "bench", Kind: term.KindUsage, Err: fault.Causef("no scenario %q; see bench --list", o.Scenario)}
	}
	progress := func(string, ...any) {}
	if o.Streams.ErrTerminal {
		progress = o.Streams.PrintErrf
	}
	report, err := bench.Run(ctx, s, bench.Options{
		Seed: o.Seed, Duration: o.Duration, Shards: o.Shards, Replicas: o.Replicas, Rate: o.Rate, Daemons: o.Daemons,
		Set: o.Set, Policies: o.Policy, Progress: progress,
	})
	if err != nil {
		return &term.Error{Op: "bench", Kind: term.KindFailed, Err: err}
	}
	if o.Plot != "" {
		if err := report.Plot(o.Plot); err != nil {
			return &term.Error{Op: "bench", Kind: term.KindFailed, Err: err}
		}
	}
	if o.JSON {
		return o.Streams.JSON(report)
	}
	return o.print(report)
}

func (o *Options) list() error {
	table := o.Streams.Table("SCENARIO", "ABOUT")
	for _, s := range bench.Scenarios() {
		table.Row(s.Name, s.Description)
	}
	return table.Flush()
}

func (o *Options) print(r *bench.Report) error {
	o.Streams.PrintErrf("%s, seed %d: %d shards x %d replicas, %d daemons, %g queries/s, %g s", r.Scenario, r.Seed, r.Shards, r.Replicas, r.Daemons, r.Rate, r.Seconds)
	table := o.Streams.Table("POLICY", "CLASS", "QUERIES", "COMPLETE", "PARTIAL", "REFUSED", "LATE", "P50", "P99", "P99.9", "COVERAGE", "EXTRA", "PEAK", "OVERLOAD")
	for i := range r.Runs {
		run := &r.Runs[i]
		table.Row(row(run.Policy, "all", run.Figures, share(run.ExtraLoad), share(run.PeakExtraLoad), share(run.TargetOverload))...)
		if len(run.PerClass) > 1 {
			for class, f := range run.PerClass {
				table.Row(row(run.Policy, class, f, "-", "-", "-")...)
			}
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for i := range r.Runs {
		run := &r.Runs[i]
		o.Streams.PrintErrf("%s: refusals %v, notes %v, violations %s", run.Policy, run.Refusals, run.Notes, "["+strings.Join(run.Violations, ", ")+"]")
	}
	return nil
}

func row(policy, class string, f bench.Figures, extra ...string) []string {
	columns := []string{
		policy, class, strconv.Itoa(f.Queries), strconv.Itoa(f.Complete), strconv.Itoa(f.Partial), strconv.Itoa(f.Refused),
		strconv.Itoa(f.Late), millis(f.P50Millis), millis(f.P99Millis), millis(f.P999Millis), fmt.Sprintf("%.4f", f.Coverage),
	}
	return append(columns, extra...)
}

func millis(value float64) string { return fmt.Sprintf("%.1f", value) }

func share(value float64) string { return fmt.Sprintf("%.2f%%", 100*value) }
