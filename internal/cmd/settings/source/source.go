// Package source reads settings trees for the settings commands from a
// directory, the store or the store's history.
//
// # Usage
//
//	files, parsed, err := source.ReadDirectory("settings")
//	c := source.Changer([]string{"http://127.0.0.1:2379"})
package source

import (
	"context"
	"errors"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/sergi/go-diff/diffmatchpatch"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/status"
	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
	"github.com/magnoliarelay/magnoliarelay/internal/process/daemon"
	"github.com/magnoliarelay/magnoliarelay/internal/process/store"
	"github.com/magnoliarelay/magnoliarelay/internal/version/change"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// askTimeout bounds the time that daemons have to say what they have in force.
const askTimeout = 2 * time.Second

// ReadDirectory reads and checks the settings tree in a directory.
func ReadDirectory(path string) (tree.Files, *tree.Tree, error) {
	files, err := tree.Read(os.DirFS(path))
	if err != nil {
		return nil, nil, &term.Error{Op: "read " + path, Kind: term.KindUsage, Err: err}
	}
	parsed, err := tree.Parse(files)
	if err != nil {
		return nil, nil, &term.Error{Op: "check " + path, Kind: term.KindUsage, Err: err}
	}
	return files, parsed, nil
}

// Changer returns a client that reads and applies settings in the store.
func Changer(endpoints []string) *change.Change {
	return &change.Change{Store: &store.Store{Endpoints: endpoints}}
}

// WrapError converts an error of package change to an Error of package term.
func WrapError(op string, err error) error {
	kind := term.KindFailed
	var e *change.Error
	if errors.As(err, &e) {
		switch e.Kind {
		case change.KindConflict, change.KindLost:
			kind = term.KindConflict
		case change.KindUnknown:
			kind = term.KindUnknown
		case change.KindInvalid, change.KindNotFound:
			kind = term.KindUsage
		case change.KindUnavailable:
		}
		err = e.Err
	}
	return &term.Error{Op: op, Kind: kind, Err: err}
}

// InForce is what daemons have answered about the change that they have in force.
type InForce struct {
	// Change is the latest one, without its files, and Daemon the name of a daemon that has
	// it in force.
	Change epoch.Change
	Daemon string
	// Failures are those of daemons that could not be asked.
	Failures []error
}

// AskInForce asks the given daemons and those registered in the store.
func AskInForce(ctx context.Context, changer *change.Change, daemons []string) (InForce, error) {
	registered, err := changer.Daemons(ctx)
	if err != nil {
		return InForce{}, err
	}
	urls := slices.Compact(slices.Sorted(slices.Values(append(registered, daemons...))))
	type reply struct {
		status *daemon.Status
		err    error
	}
	replies := make(chan reply, len(urls))
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for _, url := range urls {
		go func() {
			answer, err := status.Fetch(ctx, url)
			replies <- reply{answer, err}
		}()
	}
	var found InForce
	for range urls {
		r := <-replies
		if r.err != nil {
			found.Failures = append(found.Failures, r.err)
			continue
		}
		if answer := r.status; answer.SettingsOrder > found.Change.Order {
			found.Daemon = answer.Name
			found.Change = epoch.Change{Number: answer.SettingsNumber, Order: answer.SettingsOrder, Revision: answer.SettingsRevision}
		}
	}
	return found, nil
}

// Diff returns the lines that differ, file by file, or an empty string.
func Diff(from, to tree.Files) string {
	var out strings.Builder
	paths := tree.Files{}
	for path := range from {
		paths[path] = ""
	}
	for path := range to {
		paths[path] = ""
	}
	for _, path := range paths.Paths() {
		if from[path] != to[path] {
			out.WriteString("--- " + path + "\n")
			writeLines(&out, from[path], to[path])
		}
	}
	return out.String()
}

func writeLines(out *strings.Builder, from, to string) {
	d := diffmatchpatch.New()
	a, b, lines := d.DiffLinesToChars(from, to)
	for _, part := range d.DiffCharsToLines(d.DiffMain(a, b, false), lines) {
		mark := " "
		switch part.Type {
		case diffmatchpatch.DiffDelete:
			mark = "-"
		case diffmatchpatch.DiffInsert:
			mark = "+"
		case diffmatchpatch.DiffEqual:
			continue
		}
		for line := range strings.Lines(part.Text) {
			out.WriteString(mark + strings.TrimSuffix(line, "\n") + "\n")
		}
	}
}
