// Package explain is the command that prints every field in force for a caller
// and where it came from.
//
// # Usage
//
//	magnoliarelay settings explain ./settings --deployment Erbacee --service LabelDesk --caller stall-7
package explain

import (
	"context"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/settings/source"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// Options are the command's flags and dependencies.
type Options struct {
	Streams *term.Streams `kong:"-"`

	Directory  string   `arg:"" optional:"" help:"Directory of the tree; the store's by default." type:"existingdir"`
	Store      []string `help:"Base URL of the store."`
	Deployment string   `help:"Deployment of the caller."`
	Service    string   `help:"Service of the caller."`
	Caller     string   `help:"Name of the caller."`
	Long       bool     `help:"Add unit, range and meaning."`
	JSON       bool     `help:"Print the fields as JSON." name:"json"`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "Example:\n  magnoliarelay settings explain ./settings --deployment Erbacee --service LabelDesk --long"
}

// Run prints the fields.
func (o *Options) Run(ctx context.Context) error {
	parsed, err := o.tree(ctx)
	if err != nil {
		return err
	}
	rows := parsed.Explain(o.Deployment, o.Service, o.Caller)
	if o.JSON {
		return o.Streams.JSON(rows)
	}
	table := o.Streams.Table("FIELD", "VALUE", "SOURCE")
	if o.Long {
		table = o.Streams.Table("FIELD", "VALUE", "SOURCE", "UNIT", "RANGE", "MEANING")
	}
	for _, r := range rows {
		if o.Long {
			table.Row(r.Field, r.Value, r.Source, r.Unit, r.Range, r.Doc)
			continue
		}
		table.Row(r.Field, r.Value, r.Source)
	}
	return table.Flush()
}

func (o *Options) tree(ctx context.Context) (*tree.Tree, error) {
	if o.Directory != "" {
		_, parsed, err := source.Directory(o.Directory)
		return parsed, err
	}
	if len(o.Store) == 0 {
		return nil, &term.Error{Op: "explain", Kind: term.KindUsage, Err: fault.Causef("give a directory or --store")}
	}
	current, err := source.Changer(o.Store).Current(ctx)
	if err != nil {
		return nil, source.Fail("explain", err)
	}
	return tree.Parse(current.Files)
}
