package tree

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindInvalid means that the tree is invalid; Problems lists why.
	KindInvalid Kind = "Invalid"
	// KindUnreadable means that a file could not be read.
	KindUnreadable Kind = "Unreadable"
)

// Problem is one invalid place in one file.
type Problem struct {
	File    string
	Line    int
	Section string
	Field   string
	Message string
}

// String returns "file:line: [section] field: message".
func (p Problem) String() string {
	location := fmt.Sprintf("%s:%d:", p.File, p.Line)
	if p.Section != "" {
		location += " [" + p.Section + "]"
	}
	if p.Field != "" {
		location += " " + p.Field + ":"
	}
	return location + " " + p.Message
}

// Error is the error type of this package.
type Error struct {
	Op       string
	Kind     Kind
	Problems []Problem
	Err      error
}

// Error lists every problem on a line of its own.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	head := e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		head += ": " + e.Err.Error()
	}
	lines = append(lines, head)
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func sortProblems(problems []Problem) {
	slices.SortFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field))
	})
}
