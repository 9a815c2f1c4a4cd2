// Package search implements the command that runs one search.
//
// # Usage
//
//	magnoliarelay search --daemon http://127.0.0.1:7000 --deployment Erbacee --service Herbarium oregano
package search

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
	"github.com/magnoliarelay/magnoliarelay/pkg/caller"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Options are the command's flags and dependencies.
type Options struct {
	Streams *term.Streams `kong:"-"`

	Query         []string      `arg:"" help:"Words to search for."`
	Daemon        []string      `help:"Base URL of a daemon; may be given more than once." required:""`
	Deployment    string        `help:"Deployment to search." required:""`
	Service       string        `help:"Service to search." required:""`
	Caller        string        `help:"Name of the caller in the settings." default:"shell"`
	Deadline      time.Duration `help:"Maximum time to wait." default:"2s"`
	Limit         int           `help:"Maximum number of hits, or of hits per page with --all." default:"10"`
	All           bool          `help:"Print all matches, page by page, from one index version."`
	LeastCoverage float64       `help:"Minimum share of shards that must answer, 0 to 1; -1 uses the settings." default:"-1"`
	JSON          bool          `help:"Print the answers as JSON." name:"json"`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "Examples:\n  magnoliarelay search --daemon http://127.0.0.1:7000 --deployment Erbacee --service Herbarium oregano\n" +
		"  magnoliarelay search --daemon http://127.0.0.1:7000 --deployment Salish --service OrderDesk --all white --json"
}

// Run searches and prints the hits.
func (o *Options) Run(ctx context.Context) error {
	c := &caller.Caller{Seeds: o.Daemon, Deployment: o.Deployment, Name: o.Caller}
	q := caller.Query{Service: o.Service, Text: strings.Join(o.Query, " "), Deadline: o.Deadline, Limit: o.Limit, All: o.All}
	if o.LeastCoverage >= 0 {
		q.LeastCoverage = &o.LeastCoverage
	}
	for {
		answer, err := c.Search(ctx, q)
		if err != nil {
			return o.wrapError(err)
		}
		if err := o.print(answer); err != nil {
			return err
		}
		if answer.Cursor == "" || !o.All {
			return nil
		}
		q.Cursor = answer.Cursor
	}
}

func (o *Options) wrapError(err error) error {
	var e *caller.Error
	if !errors.As(err, &e) || e.Refusal == nil {
		return &term.Error{Op: "search", Kind: term.KindFailed, Err: err}
	}
	if o.JSON {
		if err := o.Streams.JSON(e.Refusal); err != nil {
			return err
		}
	}
	return &term.Error{Op: "search", Kind: term.KindRefused, Err: e.Refusal}
}

func (o *Options) print(answer *wire.SearchAnswer) error {
	if o.JSON {
		return o.Streams.JSON(answer)
	}
	table := o.Streams.Table("ID", "SCORE", "TEXT")
	for _, hit := range answer.Hits {
		table.Row(hit.ID, strconv.FormatFloat(hit.Score, 'f', 3, 64), hit.Text)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	completeness := "complete"
	if !answer.Complete {
		completeness = "NOT complete"
	}
	o.Streams.PrintErrf("%s: %d of %d shards, index version %d, %.1f ms, %d attempts (%d extra)", completeness,
		answer.Coverage.ShardsAnswered, answer.Coverage.Shards, answer.Version, answer.LatencyMillis, answer.Attempts, answer.ExtraAttempts)
	return nil
}
