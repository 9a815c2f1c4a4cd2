// Package apply is the command that puts a tree of settings in force.
//
// # Usage
//
//	magnoliarelay settings apply ./settings --store http://127.0.0.1:2379 --message "longer queues"
//	magnoliarelay settings apply --number 41 --store http://127.0.0.1:2379 --message "go back"
package apply

import (
	"context"
	"errors"
	"fmt"
	"os/user"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/settings/source"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/version/change"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// Options are the command's flags and dependencies.
type Options struct {
	Streams *term.Streams `kong:"-"`

	Directory string   `arg:"" optional:"" help:"Directory of the tree." type:"existingdir"`
	Number    int64    `help:"Apply this change of the history again, as a new one."`
	Store     []string `help:"Base URL of the store." required:""`
	Message   string   `help:"What the change is for." required:""`
	Author    string   `help:"Who makes the change; the user's name by default."`
	Expect    int64    `help:"Revision the change was made from; a conflict if another is in force." default:"-1"`
	DryRun    bool     `help:"Show what would change and write nothing."`
	JSON      bool     `help:"Print the result as JSON." name:"json"`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "The change is one compare-and-swap: it takes effect whole or not at all.\n" +
		"Exit codes: 3 another change came first, 4 the outcome is not known.\n\n" +
		"Examples:\n  magnoliarelay settings apply ./settings --store http://127.0.0.1:2379 --message \"longer queues\"\n" +
		"  magnoliarelay settings apply --number 41 --store http://127.0.0.1:2379 --message \"go back\""
}

// Run applies the tree.
func (o *Options) Run(ctx context.Context) error {
	changer := source.Changer(o.Store)
	files, err := o.files(ctx, changer)
	if err != nil {
		return err
	}
	current, err := changer.Current(ctx)
	if err != nil {
		return source.Fail("apply", err)
	}
	difference := source.Diff(current.Files, files)
	if o.DryRun {
		o.Streams.Sayf("dry run against revision %d; nothing is written", current.Revision)
		_, err := fmt.Fprint(o.Streams.Out, difference)
		return err
	}
	expect := current.Revision
	if o.Expect >= 0 {
		expect = o.Expect
	}
	result, err := changer.Apply(ctx, change.Request{Files: files, Author: o.author(), Message: o.Message, Expect: &expect})
	if err != nil {
		o.showConflict(ctx, changer, expect, files, err)
		return source.Fail("apply", err)
	}
	return o.report(result)
}

func (o *Options) report(result *change.Result) error {
	if result.Resolved {
		o.Streams.Sayf("the store's reply was lost; reading back shows that the change took effect")
	}
	if o.JSON {
		return o.Streams.JSON(struct {
			Revision int64
			Number   int64
			Resolved bool
		}{result.Change.Revision, result.Change.Number, result.Resolved})
	}
	o.Streams.Sayf("change %d is accepted as revision %d", result.Change.Number, result.Change.Revision)
	return nil
}

// showConflict prints both sides of a lost race, each against the revision that
// the change was made from.
func (o *Options) showConflict(ctx context.Context, changer *change.Change, base int64, own tree.Files, err error) {
	var e *change.Error
	if !errors.As(err, &e) || e.Kind != change.KindConflict {
		return
	}
	past, historyErr := changer.History(ctx)
	if historyErr != nil || len(past) == 0 {
		return
	}
	from := tree.Files{}
	for i := range past {
		if past[i].Revision == base {
			from = past[i].Files
		}
	}
	now := &past[len(past)-1]
	o.Streams.Sayf("== your change\n%s== the changes that came first, up to %d (%s: %s)\n%s",
		source.Diff(from, own), now.Number, now.Author, now.Message, source.Diff(from, now.Files))
}

func (o *Options) files(ctx context.Context, changer *change.Change) (tree.Files, error) {
	switch {
	case (o.Directory == "") == (o.Number == 0):
		return nil, &term.Error{Op: "apply", Kind: term.KindUsage, Err: fault.Causef("give either a directory or --number")}
	case o.Number != 0:
		old, err := changer.Find(ctx, o.Number)
		if err != nil {
			return nil, source.Fail("apply", err)
		}
		return old.Files, nil
	}
	files, _, err := source.Directory(o.Directory)
	return files, err
}

func (o *Options) author() string {
	if o.Author != "" {
		return o.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
