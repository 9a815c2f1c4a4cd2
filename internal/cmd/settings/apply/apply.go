// Package apply implements the command that puts a settings tree in force.
//
// # Usage
//
//	magnoliarelay settings apply ./settings --store http://127.0.0.1:2379 --message "longer queues"
//	magnoliarelay settings apply --number 41 --store http://127.0.0.1:2379 --message "roll back"
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
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// Options are the command's flags and dependencies.
type Options struct {
	Streams *term.Streams `kong:"-"`

	Directory string   `arg:"" optional:"" help:"Directory of the settings tree." type:"existingdir"`
	Number    int64    `help:"Number of a past change to apply again as a new change."`
	Store     []string `help:"Base URL of the store." required:""`
	Message   string   `help:"Description of the change." required:""`
	Author    string   `help:"Author of the change; the current user by default."`
	Expect    int64    `help:"Revision that the change is based on; if another revision is in force, the command fails with a conflict." default:"-1"`
	Daemon    []string `help:"Base URL of a daemon to ask what is in force, besides those registered in the store."`
	Restored  bool     `help:"Apply although the store has lost a change that a daemon has in force, as after a restore from a snapshot."`
	DryRun    bool     `help:"Print the difference without applying it."`
	JSON      bool     `help:"Print the result as JSON." name:"json"`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "The change is a single compare-and-swap: it takes effect as a whole or not at all.\n" +
		"Exit codes: 3 if another change was applied first, or if the store has lost one, 4 if the outcome is unknown.\n\n" +
		"Examples:\n  magnoliarelay settings apply ./settings --store http://127.0.0.1:2379 --message \"longer queues\"\n" +
		"  magnoliarelay settings apply --number 41 --store http://127.0.0.1:2379 --message \"roll back\""
}

// Run applies the tree.
func (o *Options) Run(ctx context.Context) error {
	changer := source.Changer(o.Store)
	files, err := o.files(ctx, changer)
	if err != nil {
		return err
	}
	// Daemons are asked first, so that what the store holds is later unless it has lost changes.
	inForce, err := source.AskInForce(ctx, changer, o.Daemon)
	if err != nil {
		return source.WrapError("apply", err)
	}
	current, err := changer.Current(ctx)
	if err != nil {
		return source.WrapError("apply", err)
	}
	o.showLost(inForce, current)
	difference := source.Diff(current.Files, files)
	if o.DryRun {
		o.Streams.PrintErrf("dry run against revision %d; nothing was written", current.Revision)
		_, err := fmt.Fprint(o.Streams.Out, difference)
		return err
	}
	expect := current.Revision
	if o.Expect >= 0 {
		expect = o.Expect
	}
	result, err := changer.Apply(ctx, change.Request{Files: files, Author: o.author(), Message: o.Message, Expect: &expect, InForce: inForce.Change, Restored: o.Restored})
	if err != nil {
		o.showConflict(ctx, changer, expect, files, err)
		return source.WrapError("apply", err)
	}
	return o.report(result)
}

// showLost warns of changes that the store has lost, and of daemons that could not be asked.
func (o *Options) showLost(inForce source.InForce, current epoch.Change) {
	for _, err := range inForce.Failures {
		o.Streams.PrintErrf("a daemon could not be asked what it has in force: %v", err)
	}
	if change.Behind(current, inForce.Change) {
		o.Streams.PrintErrf("daemon %s has change %d (revision %d) in force, which the store has lost: its latest is change %d (revision %d)",
			inForce.Daemon, inForce.Change.Number, inForce.Change.Revision, current.Number, current.Revision)
	}
}

func (o *Options) report(result *change.Result) error {
	if result.Resolved {
		o.Streams.PrintErrf("the store's reply was lost, but the store contains the change")
	}
	if o.JSON {
		return o.Streams.JSON(struct {
			Revision int64
			Number   int64
			Resolved bool
		}{result.Change.Revision, result.Change.Number, result.Resolved})
	}
	o.Streams.PrintErrf("change %d was applied as revision %d", result.Change.Number, result.Change.Revision)
	return nil
}

// showConflict prints the local change and the changes that were applied before
// it, both as differences from the revision that the local change is based on.
func (o *Options) showConflict(ctx context.Context, changer *change.Change, base int64, local tree.Files, err error) {
	var e *change.Error
	if !errors.As(err, &e) || e.Kind != change.KindConflict {
		return
	}
	history, historyErr := changer.History(ctx)
	if historyErr != nil || len(history) == 0 {
		return
	}
	baseFiles := tree.Files{}
	for i := range history {
		if history[i].Revision == base {
			baseFiles = history[i].Files
		}
	}
	latest := &history[len(history)-1]
	o.Streams.PrintErrf("== your change\n%s== changes applied since its base, up to change %d (%s: %s)\n%s",
		source.Diff(baseFiles, local), latest.Number, latest.Author, latest.Message, source.Diff(baseFiles, latest.Files))
}

func (o *Options) files(ctx context.Context, changer *change.Change) (tree.Files, error) {
	switch {
	case (o.Directory == "") == (o.Number == 0):
		return nil, &term.Error{Op: "apply", Kind: term.KindUsage, Err: fault.Causef("specify either a directory or --number")}
	case o.Number != 0:
		past, err := changer.Find(ctx, o.Number)
		if err != nil {
			return nil, source.WrapError("apply", err)
		}
		return past.Files, nil
	}
	files, _, err := source.ReadDirectory(o.Directory)
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
