// Package history implements the command that lists past changes.
//
// # Usage
//
//	magnoliarelay settings history --store http://127.0.0.1:2379
package history

import (
	"context"
	"strconv"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/settings/source"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
)

// Options are the command's flags and dependencies.
type Options struct {
	Streams *term.Streams `kong:"-"`

	Store []string `help:"Base URL of the store." required:""`
	JSON  bool     `help:"Print the changes as JSON." name:"json"`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "To roll back, apply an older change as a new one:\n  magnoliarelay settings apply --number 41 --store ... --message \"roll back\""
}

// Run prints the changes, oldest first.
func (o *Options) Run(ctx context.Context) error {
	changes, err := source.Changer(o.Store).History(ctx)
	if err != nil {
		return source.WrapError("history", err)
	}
	if o.JSON {
		return o.Streams.JSON(changes)
	}
	table := o.Streams.Table("CHANGE", "REVISION", "WHEN", "AUTHOR", "MESSAGE")
	for i := range changes {
		c := &changes[i]
		table.Row(strconv.FormatInt(c.Number, 10), strconv.FormatInt(c.Revision, 10),
			time.UnixMilli(c.UnixMillis).UTC().Format(time.RFC3339), c.Author, c.Message)
	}
	return table.Flush()
}
