// Package demo implements the command that runs sample requests against daemons
// and fake services in one process, without any setup.
//
// # Usage
//
//	magnoliarelay demo
//	magnoliarelay demo --serve
package demo

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/magnoliarelay/magnoliarelay/examples"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/world"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/pkg/caller"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Options are the command's flags and dependencies.
type Options struct {
	Streams *term.Streams `kong:"-"`

	Serve   bool `help:"Keep running after the searches and print the addresses."`
	Daemons int  `help:"Number of daemons." default:"2"`
	JSON    bool `help:"Print the answers as JSON." name:"json"`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "Examples:\n  magnoliarelay demo\n  magnoliarelay demo --serve --daemons 3"
}

// result is the result of one request, a row of the output.
type result struct {
	What     string
	Answer   *wire.SearchAnswer  `json:",omitempty"`
	Executed *wire.ExecuteAnswer `json:",omitempty"`
	Opaque   *opaqueAnswer       `json:",omitempty"`
}

// Run starts the fake services and the daemons and runs the requests.
func (o *Options) Run(ctx context.Context) error {
	files, err := tree.Read(examples.Settings())
	if err != nil {
		return err
	}
	w := &world.World{Services: Services(), Daemons: o.Daemons, Settings: files, Seed: 1}
	defer w.Stop()
	if err := w.Start(ctx); err != nil {
		return &term.Error{Op: "start the demonstration", Kind: term.KindFailed, Err: err}
	}
	o.Streams.PrintErrf("%d daemons, settings revision %d", o.Daemons, w.Running[0].Keeper.Current().Change.Revision)
	results, err := runRequests(ctx, w)
	if err != nil {
		return &term.Error{Op: "demonstrate", Kind: term.KindFailed, Err: err}
	}
	if err := o.print(results); err != nil {
		return err
	}
	if violations := w.Violations(); len(violations) > 0 {
		return &term.Error{Op: "demonstrate", Kind: term.KindFailed, Err: fault.Causef("invariant violations: %v", violations)}
	}
	if o.Serve {
		return o.serve(ctx, w)
	}
	return nil
}

func (o *Options) serve(ctx context.Context, w *world.World) error {
	for _, d := range w.Running {
		o.Streams.PrintErrf("daemon %s: %s", d.Setup.Name, d.URL())
	}
	o.Streams.PrintErrf("store: %s", w.Store.URL())
	o.Streams.PrintErrf("try: magnoliarelay search --daemon %s --deployment Erbacee --service Herbarium oregano", w.Running[0].URL())
	o.Streams.PrintErrf("or: curl -H 'Host: %s' -H '%s: 1' http://%s/catalogue/oregano | xxd", opaqueHost, wire.HeaderRequest, w.Running[0].Opaque())
	o.Streams.PrintErrf("press Ctrl+C to stop")
	<-ctx.Done()
	return nil
}

// Services returns the services of both deployments, which fake searchers serve.
func Services() []world.Service {
	behaviour := shard.Behaviour{Median: 2 * time.Millisecond, Spread: 0.3, StragglerShare: 0.01, StragglerFactor: 20}
	service := func(deployment, name string, shards, slots, connections int, cost time.Duration) world.Service {
		return world.Service{
			Deployment: deployment, Name: name, Shards: shards, Replicas: 3, Slots: slots, Connections: connections,
			ConnectCost: cost, Documents: 2000, Behaviour: behaviour,
		}
	}
	return []world.Service{
		service("Erbacee", "LabelDesk", 8, 2, 25, 6*time.Millisecond),
		service("Erbacee", "Herbarium", 32, 6, 110, time.Millisecond),
		service("Erbacee", "LotLedger", 3, 6, 110, time.Millisecond),
		service("Erbacee", "Shelf1", 1, 2, 25, time.Millisecond),
		service("Erbacee", "Shelf2", 1, 2, 25, time.Millisecond),
		service("Erbacee", "Shelf3", 1, 2, 25, time.Millisecond),
		service("Erbacee", "Printer", 1, 6, 110, time.Millisecond),
		service("Salish", "OrderDesk", 16, 3, 40, time.Millisecond),
	}
}

// runRequests runs one request of each kind and checks its answer.
func runRequests(ctx context.Context, w *world.World) ([]result, error) {
	erbacee, curator, salish := w.Caller("Erbacee", "stall-7"), w.Caller("Erbacee", "curator-3"), w.Caller("Salish", "school-12")
	var results []result
	requests := []struct {
		what   string
		caller *caller.Caller
		query  caller.Query
	}{
		{"Erbacee label lookup", erbacee, caller.Query{Service: "LabelDesk", Text: "oregano", Deadline: time.Second}},
		{"Erbacee curator search", curator, caller.Query{Service: "Herbarium", Text: "fennel", Limit: 20, Deadline: 2 * time.Second}},
		{"Salish stock check", salish, caller.Query{Service: "OrderDesk", Text: "blue", Deadline: time.Second}},
	}
	for _, p := range requests {
		start := time.Now()
		answer, err := p.caller.Search(ctx, p.query)
		if err != nil {
			return nil, fmt.Errorf("%s after %v of %v: %w", p.what, time.Since(start), p.query.Deadline, err)
		}
		if err := checkAnswer(w, p.caller.Deployment, p.query, answer); err != nil {
			return nil, fmt.Errorf("%s: %w", p.what, err)
		}
		results = append(results, result{What: p.what, Answer: answer})
	}
	history, err := orderHistory(ctx, w, salish)
	if err != nil {
		return nil, err
	}
	printed, err := executeTwice(ctx, w, erbacee)
	if err != nil {
		return nil, err
	}
	opaque, err := opaqueRequests(ctx, w)
	if err != nil {
		return nil, err
	}
	return slices.Concat(results, []result{*history}, printed, opaque), nil
}

func checkAnswer(w *world.World, deployment string, q caller.Query, answer *wire.SearchAnswer) error {
	matches := w.Corpora[deployment+"/"+q.Service].Matches(q.Text, answer.Version)
	limit := q.Limit
	if limit == 0 {
		limit = 10
	}
	if !answer.Complete || len(answer.Hits) != min(limit, len(matches)) {
		return fault.Causef("answer has complete=%v and %d hits of %d matches", answer.Complete, len(answer.Hits), len(matches))
	}
	return nil
}

// orderHistory reads all matches of a query page by page.
func orderHistory(ctx context.Context, w *world.World, c *caller.Caller) (*result, error) {
	q := caller.Query{Service: "OrderDesk", Text: "white", Limit: 100, All: true, Deadline: 2 * time.Second}
	count := 0
	var last *wire.SearchAnswer
	for {
		answer, err := c.Search(ctx, q)
		if err != nil {
			return nil, fmt.Errorf("order history: %w", err)
		}
		count += len(answer.Hits)
		last = answer
		if answer.Cursor == "" {
			break
		}
		q.Cursor = answer.Cursor
	}
	if want := len(w.Corpora["Salish/OrderDesk"].Matches(q.Text, last.Version)); count != want {
		return nil, fault.Causef("order history has %d matches, want %d", count, want)
	}
	return &result{What: "Salish order history, " + strconv.Itoa(count) + " orders", Answer: last}, nil
}

// executeTwice sends the same command twice and checks that it ran once and that
// both answers hold the same lot number.
func executeTwice(ctx context.Context, w *world.World, c *caller.Caller) ([]result, error) {
	command := caller.Command{Service: "LotLedger", Text: "print jar-41", Key: "jar-41", Deadline: 2 * time.Second}
	first, err := c.Execute(ctx, command)
	if err != nil {
		return nil, fmt.Errorf("lot number: %w", err)
	}
	results := []result{{What: "Erbacee lot number", Executed: first}}
	second, err := c.Execute(ctx, command)
	if err != nil {
		return nil, fmt.Errorf("retry of lot number: %w", err)
	}
	results = append(results, result{What: "Erbacee lot number, sent again", Executed: second})
	runs := 0
	for _, s := range w.Searchers["Erbacee/LotLedger"] {
		for _, count := range s.Runs() {
			runs += count
		}
	}
	if runs != 1 || first.Result != second.Result {
		return nil, fault.Causef("the lot number command ran %d times, with results %q and %q", runs, first.Result, second.Result)
	}
	return results, nil
}

func (o *Options) print(results []result) error {
	if o.JSON {
		return o.Streams.JSON(results)
	}
	table := o.Streams.Table("SEARCH", "RESULT", "COVERAGE", "VERSION", "LATENCY", "ATTEMPTS", "EXTRA")
	for _, r := range results {
		if r.Answer != nil {
			a := r.Answer
			table.Row(r.What, fmt.Sprintf("%d hits", len(a.Hits)), fmt.Sprintf("%d/%d", a.Coverage.ShardsAnswered, a.Coverage.Shards),
				strconv.FormatUint(a.Version, 10), fmt.Sprintf("%.1f ms", a.LatencyMillis), strconv.Itoa(a.Attempts), strconv.Itoa(a.ExtraAttempts))
			continue
		}
		if o := r.Opaque; o != nil {
			coverage := "-"
			if o.Coverage != "" {
				coverage = o.Coverage
			}
			table.Row(r.What, o.Text, coverage, "-", fmt.Sprintf("%.1f ms", o.LatencyMillis), "-", "-")
			continue
		}
		replayed := "1"
		if r.Executed.Replayed {
			replayed = "0 (replayed)"
		}
		table.Row(r.What, r.Executed.Result, "-", "-", fmt.Sprintf("%.1f ms", r.Executed.LatencyMillis), replayed, "0")
	}
	return table.Flush()
}
