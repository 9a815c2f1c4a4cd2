// Package story implements the command that prints the log lines about one
// request.
//
// # Usage
//
//	magnoliarelay logs story --request 9c41d07be2a35f68 host-1.log host-2.log
package story

import (
	"bufio"
	"context"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
)

// Options are the command's flags and dependencies.
type Options struct {
	Streams *term.Streams `kong:"-"`

	Request string        `help:"ID of the request that the caller sent." required:""`
	Before  time.Duration `help:"How long before the request to look for state changes of daemons." default:"5s"`
	JSON    bool          `help:"Print the lines as JSON." name:"json"`
	Files   []string      `arg:"" optional:"" help:"Log files of daemons; standard input by default." type:"existingfile"`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "Prints all log lines about the request and, from shortly before its first line on, the\n" +
		"changes of targets, pools, settings and the store that may concern it, ordered by time.\n\n" +
		"Example:\n  magnoliarelay logs story --request 9c41d07be2a35f68 *.log"
}

// Line is one line of a log.
type Line struct {
	Time time.Time
	// From is the last word before the structured part of the line, such as a
	// host name, or else the path of the file.
	From    string
	Message string
	// Own is true for a line about the request itself.
	Own bool
}

// linePattern matches a structured line: level, date, time, process ID, source
// location, text.
var linePattern = regexp.MustCompile(`^(.*?)[IWE](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ \S+\] (.*)$`)

const (
	timeLayout = "0102 15:04:05.000000"
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

// Run reads the logs and prints the selected lines.
func (o *Options) Run(context.Context) error {
	lines, err := o.read()
	if err != nil {
		return &term.Error{Op: "logs story", Kind: term.KindUsage, Err: err}
	}
	found := Select(lines, o.Request, o.Before)
	if len(found) == 0 {
		cause := fault.Causef("no log line names request %s; its log may be missing, or the line was not sampled", o.Request)
		return &term.Error{Op: "logs story", Kind: term.KindFailed, Err: cause}
	}
	if o.JSON {
		return o.Streams.JSON(found)
	}
	table := o.Streams.Table("TIME", "FROM", "WHAT")
	for _, l := range found {
		mark := "  "
		if l.Own {
			mark = "> "
		}
		table.Row(l.Time.Format("15:04:05.000"), l.From, mark+l.Message)
	}
	return table.Flush()
}

func (o *Options) read() ([]Line, error) {
	if len(o.Files) == 0 {
		return Parse(o.Streams.In, "")
	}
	var lines []Line
	for _, path := range o.Files {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		parsed, err := Parse(file, path)
		if closed := file.Close(); err == nil {
			err = closed
		}
		if err != nil {
			return nil, err
		}
		lines = append(lines, parsed...)
	}
	return lines, nil
}

// Parse reads the structured lines of a log and skips all others.
func Parse(in io.Reader, from string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		match := linePattern.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		at, err := time.Parse(timeLayout, match[2])
		if err != nil {
			continue
		}
		l := Line{Time: at, From: from, Message: match[3]}
		if prefix := strings.Fields(match[1]); len(prefix) > 0 {
			l.From = prefix[len(prefix)-1]
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// namePattern matches the pools, targets and peers that a line names.
var namePattern = regexp.MustCompile(`\b(pool|target|after|peer)="([^"]+)"`)

// Select selects the lines about a request. From the period that begins before
// the first of them and ends with the last, it adds the lines that belong to no
// request and either name the same pool, target or peer or concern all requests.
func Select(lines []Line, request string, before time.Duration) []Line {
	var selected []Line
	names := map[string]bool{}
	for _, l := range lines {
		if !strings.Contains(l.Message, `request="`+request+`"`) {
			continue
		}
		l.Own = true
		selected = append(selected, l)
		for _, match := range namePattern.FindAllStringSubmatch(l.Message, -1) {
			names[match[2]] = true
		}
	}
	if len(selected) == 0 {
		return nil
	}
	sortLines(selected)
	from, until := selected[0].Time.Add(-before), selected[len(selected)-1].Time
	for _, l := range lines {
		if l.Time.Before(from) || l.Time.After(until) || strings.Contains(l.Message, `request="`) {
			continue
		}
		if isRelated(l.Message, names) {
			selected = append(selected, l)
		}
	}
	sortLines(selected)
	return selected
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// globalPrefixes are the prefixes of lines that concern all requests.
var globalPrefixes = []string{`"settings in force"`, `"the store`, `"started"`, `"leaving"`, `"stopped"`, `"ready"`}

func isRelated(message string, names map[string]bool) bool {
	if slices.ContainsFunc(globalPrefixes, func(prefix string) bool { return strings.HasPrefix(message, prefix) }) {
		return true
	}
	for _, match := range namePattern.FindAllStringSubmatch(message, -1) {
		if names[match[2]] {
			return true
		}
	}
	return false
}
