// Package show implements the command that prints the settings tree in force.
//
// # Usage
//
//	magnoliarelay settings show --store http://127.0.0.1:2379
package show

import (
	"context"
	"fmt"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/settings/source"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
)

// Options are the command's flags and dependencies.
type Options struct {
	Streams *term.Streams `kong:"-"`

	Store  []string `help:"Base URL of the store." required:""`
	Number int64    `help:"Number of a past change to show instead."`
	JSON   bool     `help:"Print the change as JSON." name:"json"`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "Example:\n  magnoliarelay settings show --store http://127.0.0.1:2379"
}

// Run prints every file of the tree.
func (o *Options) Run(ctx context.Context) error {
	changer := source.Changer(o.Store)
	shown, err := changer.Current(ctx)
	if o.Number != 0 {
		shown, err = changer.Find(ctx, o.Number)
	}
	if err != nil {
		return source.WrapError("show", err)
	}
	if o.JSON {
		return o.Streams.JSON(shown)
	}
	o.Streams.PrintErrf("revision %d, change %d by %s: %s", shown.Revision, shown.Number, shown.Author, shown.Message)
	for _, path := range shown.Files.Paths() {
		fmt.Fprintf(o.Streams.Out, "; %s\n%s\n", path, shown.Files[path])
	}
	return nil
}
