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

	"github.com/alecthomas/kong"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/demo"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
)

// commands is the whole command line.
type commands struct {
	Demo demo.Options `cmd:"" help:"Show searches through stand-ins and daemons, all in this process."`
}

// Main runs the program and returns its exit code.
func Main(ctx context.Context, arguments []string, streams *term.Streams) int {
	c := &commands{}
	c.Demo.Streams = streams
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
