// Package term holds what all commands share: their input and output streams,
// and the errors that determine the exit code.
//
// # Usage
//
//	s := term.System()
//	table := s.Table("ID", "SCORE")
//	table.Row("a-1", "0.9")
//	err := table.Flush()
//
// Data goes to Out: as an aligned table on a terminal, as tab-separated columns
// otherwise. Messages go to Err.
package term

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"golang.org/x/term"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
)

// Kind classifies an Error; each kind has an exit code.
type Kind string

// The kinds.
const (
	// KindFailed exits with 1.
	KindFailed Kind = "Failed"
	// KindUsage exits with 2.
	KindUsage Kind = "Usage"
	// KindConflict exits with 3: another change was applied first, or the store has lost one.
	KindConflict Kind = "Conflict"
	// KindUnknown exits with 4: the outcome is unknown.
	KindUnknown Kind = "Unknown"
	// KindRefused exits with 5: a daemon refused the request.
	KindRefused Kind = "Refused"
)

// Error is the error that commands return.
type Error = fault.Error[Kind]

// ExitCode returns the exit code of the program for a kind of error.
func ExitCode(kind Kind) int {
	switch kind {
	case KindUsage:
		return 2
	case KindConflict:
		return 3
	case KindUnknown:
		return 4
	case KindRefused:
		return 5
	default:
		return 1
	}
}

// Streams are the input and output streams of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is true when Out is a terminal; ErrTerminal when Err is one.
	Terminal    bool
	ErrTerminal bool
}

// System returns the streams of the process.
func System() *Streams {
	return &Streams{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		Terminal:    term.IsTerminal(int(os.Stdout.Fd())),
		ErrTerminal: term.IsTerminal(int(os.Stderr.Fd())),
	}
}

// JSON writes a value to Out.
func (s *Streams) JSON(value any) error {
	encoder := json.NewEncoder(s.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// PrintErrf writes a formatted message line to Err.
func (s *Streams) PrintErrf(format string, arguments ...any) {
	fmt.Fprintf(s.Err, format+"\n", arguments...)
}

// Table writes rows of columns.
type Table struct {
	out   io.Writer
	flush func() error
}

// Table starts a table. If Out is not a terminal, the table has no heading and
// its columns are separated by tabs.
func (s *Streams) Table(heading ...string) *Table {
	if !s.Terminal {
		return &Table{out: s.Out, flush: func() error { return nil }}
	}
	writer := tabwriter.NewWriter(s.Out, 0, 4, 2, ' ', 0)
	t := &Table{out: writer, flush: writer.Flush}
	t.Row(heading...)
	return t
}

// Row adds a row.
func (t *Table) Row(columns ...string) {
	fmt.Fprintln(t.out, strings.Join(columns, "\t"))
}

// Flush writes buffered rows.
func (t *Table) Flush() error { return t.flush() }
