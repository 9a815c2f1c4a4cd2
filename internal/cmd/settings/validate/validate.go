// Package validate implements the command that checks a settings tree.
//
// # Usage
//
//	magnoliarelay settings validate ./settings
package validate

import (
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/settings/source"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
)

// Options are the command's flags and dependencies.
type Options struct {
	Streams *term.Streams `kong:"-"`

	Directory string `arg:"" help:"Directory of the settings tree." type:"existingdir"`
}

// Help adds examples to the command's help.
func (o *Options) Help() string { return "Example:\n  magnoliarelay settings validate ./settings" }

// Run checks the tree; its error lists all problems.
func (o *Options) Run() error {
	files, parsed, err := source.ReadDirectory(o.Directory)
	if err != nil {
		return err
	}
	o.Streams.PrintErrf("%d files, %d services: valid", len(files), len(parsed.Services()))
	return nil
}
