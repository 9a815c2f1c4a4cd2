// Package source reads settings trees for the settings commands from a
// directory, the store or the store's history.
//
// # Usage
//
//	files, parsed, err := source.ReadDirectory("settings")
//	c := source.Changer([]string{"http://127.0.0.1:2379"})
package source

import (
	"errors"
	"os"
	"strings"

	"github.com/sergi/go-diff/diffmatchpatch"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
	"github.com/magnoliarelay/magnoliarelay/internal/process/store"
	"github.com/magnoliarelay/magnoliarelay/internal/version/change"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

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
		case change.KindConflict:
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
