// Package root is the command line: it parses the arguments, runs the command
// they name, and maps its error to an exit code.
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

// commands is the whole command line.
type commands struct {
	Daemon   daemon.Options   `cmd:"" help:"Run a daemon."`
	Search   search.Options   `cmd:"" help:"Search from the shell."`
	Settings settingsCommands `cmd:"" help:"Check, compare and apply the tree of settings."`
	Status   status.Options   `cmd:"" help:"Show what a daemon sees."`
	Logs     logsCommands     `cmd:"" help:"Read the logs of daemons."`
	Demo     demo.Options     `cmd:"" help:"Show searches through stand-ins and daemons, all in this process."`
	Bench    bench.Options    `cmd:"" help:"Run an experiment and compare it with a baseline."`
	Fake     fake.Options     `cmd:"" help:"Run the stand-ins as processes of their own."`
}

type settingsCommands struct {
	Validate validate.Options `cmd:"" help:"Check a tree and name every problem."`
	Diff     diff.Options     `cmd:"" help:"Compare a tree with the one in force."`
	Apply    apply.Options    `cmd:"" help:"Put a tree in force."`
	Show     show.Options     `cmd:"" help:"Print the tree in force."`
	Explain  explain.Options  `cmd:"" help:"Print each field in force and where it came from."`
	History  history.Options  `cmd:"" help:"List past changes."`
}

type logsCommands struct {
	Story story.Options `cmd:"" help:"Tell what happened to one request."`
}

// connect hands the streams to every command.
func (c *commands) connect(s *term.Streams) {
	c.Daemon.Streams, c.Search.Streams, c.Status.Streams, c.Demo.Streams, c.Bench.Streams = s, s, s, s, s
	c.Settings.Validate.Streams, c.Settings.Diff.Streams, c.Settings.Apply.Streams = s, s, s
	c.Settings.Show.Streams, c.Settings.Explain.Streams, c.Settings.History.Streams = s, s, s
	c.Logs.Story.Streams = s
	c.Fake.Init(s)
}

// Main runs the program and returns its exit code.
func Main(ctx context.Context, arguments []string, streams *term.Streams) int {
	// net/http logs what callers and targets send amiss; the daemon counts that.
	log.SetOutput(io.Discard)
	c := &commands{}
	c.connect(streams)
	exited := -1
	parser, err := kong.New(c,
		kong.Name("magnoliarelay"),
		kong.Description("An open-source query tier over many shards."),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { exited = code }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return term.ExitCode(term.KindFailed)
	}
	parsed, err := parser.Parse(arguments)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		streams.Sayf("magnoliarelay: %v", err)
		return term.ExitCode(term.KindUsage)
	}
	if err := parsed.Run(); err != nil {
		streams.Sayf("magnoliarelay: %v", err)
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
