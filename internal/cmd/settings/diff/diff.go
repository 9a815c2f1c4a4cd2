// Package diff implements the command that compares a directory with the
// settings tree in force.
//
// # Usage
//
//	magnoliarelay settings diff ./settings --store http://127.0.0.1:2379
package diff

import (
	"context"
	"fmt"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/settings/source"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
)

// Options are the command's flags and dependencies.
type Options struct {
	Streams *term.Streams `kong:"-"`

	Directory string   `arg:"" help:"Directory of the settings tree." type:"existingdir"`
	Store     []string `help:"Base URL of the store." required:""`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "Example:\n  magnoliarelay settings diff ./settings --store http://127.0.0.1:2379"
}

// Run prints the lines that applying the directory would change.
func (o *Options) Run(ctx context.Context) error {
	files, _, err := source.ReadDirectory(o.Directory)
	if err != nil {
		return err
	}
	current, err := source.Changer(o.Store).Current(ctx)
	if err != nil {
		return source.WrapError("diff", err)
	}
	text := source.Diff(current.Files, files)
	if text == "" {
		o.Streams.PrintErrf("no difference from revision %d", current.Revision)
		return nil
	}
	_, err = fmt.Fprint(o.Streams.Out, text)
	return err
}
