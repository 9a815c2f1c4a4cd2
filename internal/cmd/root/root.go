// Package root implements the command line: it parses the arguments, runs the
// command and maps its error to an exit code.
//
// # Usage
//
//	os.Exit(root.Main(context.Background(), os.Args[1:], term.System()))
package root

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"

	"github.com/alecthomas/kong"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/bench"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/daemon"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/demo"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/fake"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/logs/story"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/search"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/settings/apply"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/settings/diff"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/settings/explain"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/settings/history"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/settings/show"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/settings/validate"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/status"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
)

// commands is the root command with its subcommands.
type commands struct {
	Daemon   daemon.Options   `cmd:"" help:"Run a daemon."`
	Search   search.Options   `cmd:"" help:"Run a search and print the hits."`
	Settings settingsCommands `cmd:"" help:"Check, compare and apply the settings tree."`
	Status   status.Options   `cmd:"" help:"Show the status of a daemon."`
	Logs     logsCommands     `cmd:"" help:"Read the logs of daemons."`
	Demo     demo.Options     `cmd:"" help:"Run sample searches against daemons and fake services in this process."`
	Bench    bench.Options    `cmd:"" help:"Run an experiment and compare it with a baseline."`
	Fake     fake.Options     `cmd:"" help:"Run fake services as separate processes."`
}

type settingsCommands struct {
	Validate validate.Options `cmd:"" help:"Check a settings tree and list every problem."`
	Diff     diff.Options     `cmd:"" help:"Compare a settings tree with the one in force."`
	Apply    apply.Options    `cmd:"" help:"Put a settings tree in force."`
	Show     show.Options     `cmd:"" help:"Print the settings tree in force."`
	Explain  explain.Options  `cmd:"" help:"Print each field in force and its source."`
	History  history.Options  `cmd:"" help:"List past changes."`
}

type logsCommands struct {
	Story story.Options `cmd:"" help:"Print the log lines about one request."`
}

// setStreams sets the streams of every command.
func (c *commands) setStreams(s *term.Streams) {
	c.Daemon.Streams, c.Search.Streams, c.Status.Streams, c.Demo.Streams, c.Bench.Streams = s, s, s, s, s
	c.Settings.Validate.Streams, c.Settings.Diff.Streams, c.Settings.Apply.Streams = s, s, s
	c.Settings.Show.Streams, c.Settings.Explain.Streams, c.Settings.History.Streams = s, s, s
	c.Logs.Story.Streams = s
	c.Fake.Init(s)
}

// Main runs the program and returns its exit code.
func Main(ctx context.Context, arguments []string, streams *term.Streams) int {
	// net/http logs malformed input from callers and targets, which the daemon
	// counts instead.
	log.SetOutput(io.Discard)
	c := &commands{}
	c.setStreams(streams)
	helpExitCode := -1
	parser, err := kong.New(c,
		kong.Name("magnoliarelay"),
		kong.Description("An open-source query tier over many shards."),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { helpExitCode = code }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return term.ExitCode(term.KindFailed)
	}
	parsed, err := parser.Parse(arguments)
	if helpExitCode >= 0 {
		return helpExitCode
	}
	if err != nil {
		streams.PrintErrf("magnoliarelay: %v", err)
		return term.ExitCode(term.KindUsage)
	}
	if err := parsed.Run(); err != nil {
		streams.PrintErrf("magnoliarelay: %v", err)
		return exitCode(err)
	}
	return 0
}

func exitCode(err error) int {
	var e *term.Error
	if errors.As(err, &e) {
		return term.ExitCode(e.Kind)
	}
	return term.ExitCode(term.KindFailed)
}
