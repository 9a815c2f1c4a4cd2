// Package explain implements the command that prints every field in force for a
// caller, or for the route of a request, with its source.
//
// # Usage
//
//	magnoliarelay settings explain ./settings --deployment Erbacee --service LabelDesk --caller stall-7
//	magnoliarelay settings explain ./settings --host herbarium.example --path /catalogue/oregano
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

	Directory  string   `arg:"" optional:"" help:"Directory of the settings tree; the tree in the store by default." type:"existingdir"`
	Store      []string `help:"Base URL of the store."`
	Deployment string   `help:"Deployment of the caller."`
	Service    string   `help:"Service of the caller."`
	Caller     string   `help:"Name of the caller."`
	Host       string   `help:"Host of a request; with --path, selects the route to explain."`
	Path       string   `help:"Path of the request." default:"/"`
	Long       bool     `help:"Print unit, range and meaning of each field too."`
	JSON       bool     `help:"Print the fields as JSON." name:"json"`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "Example:\n  magnoliarelay settings explain ./settings --deployment Erbacee --service LabelDesk --long\n" +
		"  magnoliarelay settings explain ./settings --host herbarium.example --path /catalogue/oregano"
}

// Run prints the fields.
func (o *Options) Run(ctx context.Context) error {
	parsed, err := o.tree(ctx)
	if err != nil {
		return err
	}
	rows, err := o.rows(parsed)
	if err != nil {
		return err
	}
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

// rows returns the fields of the caller's settings, or of the route of a request.
func (o *Options) rows(parsed *tree.Tree) ([]tree.Explanation, error) {
	if o.Host == "" {
		return parsed.Explain(o.Deployment, o.Service, o.Caller), nil
	}
	if routes := parsed.Routes(); routes != nil {
		if route := routes.Match(o.Host, o.Path); route != nil {
			return route.Explain(), nil
		}
	}
	return nil, &term.Error{Op: "explain", Kind: term.KindFailed, Err: fault.Causef("no route serves %s%s", o.Host, o.Path)}
}

func (o *Options) tree(ctx context.Context) (*tree.Tree, error) {
	if o.Directory != "" {
		_, parsed, err := source.ReadDirectory(o.Directory)
		return parsed, err
	}
	if len(o.Store) == 0 {
		return nil, &term.Error{Op: "explain", Kind: term.KindUsage, Err: fault.Causef("specify a directory or --store")}
	}
	current, err := source.Changer(o.Store).Current(ctx)
	if err != nil {
		return nil, source.WrapError("explain", err)
	}
	return tree.Parse(current.Files)
}
