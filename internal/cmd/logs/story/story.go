// Package story is the command that tells from logs what happened to one
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

	Request string        `help:"ID of the request, as its caller sent it." required:""`
	Before  time.Duration `help:"How long before the request to look for changes of what daemons believed." default:"5s"`
	JSON    bool          `help:"Print the lines as JSON." name:"json"`
	Files   []string      `arg:"" optional:"" help:"Logs of daemons; standard input without any." type:"existingfile"`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "Prints in order of time every line about the request, and between them the changes of\n" +
		"targets, pools, settings and the store that came shortly before it.\n\n" +
		"Example:\n  magnoliarelay logs story --request 9c41d07be2a35f68 *.log"
}

// Line is one line of a log.
type Line struct {
	Time time.Time
	// From is the file, or what stood before the line.
	From    string
	Message string
	// Own is true for a line about the request itself.
	Own bool
}

// form is that of a structured line: level, date, time, process, place, text.
var form = regexp.MustCompile(`^(.*?)[IWE](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ \S+\] (.*)$`)

const (
	stamp = "0102 15:04:05.000000"
	// lineMost bounds a line of a log.
	lineMost = 1 << 20
)

// Run reads the logs and prints the story.
func (o *Options) Run(context.Context) error {
	lines, err := o.read()
	if err != nil {
		return &term.Error{Op: "logs story", Kind: term.KindUsage, Err: err}
	}
	found := Tell(lines, o.Request, o.Before)
	if len(found) == 0 {
		cause := fault.Causef("no line tells of request %s; was its log left out, or the line sampled away?", o.Request)
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

// Parse reads the structured lines of a log; others are passed over.
func Parse(in io.Reader, from string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, lineMost)
	for scanner.Scan() {
		match := form.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		at, err := time.Parse(stamp, match[2])
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

// named finds what a line says of a pool or target.
var named = regexp.MustCompile(`\b(pool|target|after|peer)="([^"]+)"`)

// Tell picks the lines about a request, and the changes shortly before its end
// that concern a pool, target or peer which those lines name, the settings, or
// the store.
func Tell(lines []Line, request string, before time.Duration) []Line {
	var story []Line
	names := map[string]bool{}
	for _, l := range lines {
		if !strings.Contains(l.Message, `request="`+request+`"`) {
			continue
		}
		l.Own = true
		story = append(story, l)
		for _, match := range named.FindAllStringSubmatch(l.Message, -1) {
			names[match[2]] = true
		}
	}
	if len(story) == 0 {
		return nil
	}
	sortLines(story)
	from, until := story[0].Time.Add(-before), story[len(story)-1].Time
	for _, l := range lines {
		if l.Time.Before(from) || l.Time.After(until) || strings.Contains(l.Message, `request="`) {
			continue
		}
		if concerns(l.Message, names) {
			story = append(story, l)
		}
	}
	sortLines(story)
	return story
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// general are the beginnings of lines that concern every request.
var general = []string{`"settings in force"`, `"the store`, `"started"`, `"leaving"`, `"stopped"`, `"ready"`}

func concerns(message string, names map[string]bool) bool {
	if slices.ContainsFunc(general, func(beginning string) bool { return strings.HasPrefix(message, beginning) }) {
		return true
	}
	for _, match := range named.FindAllStringSubmatch(message, -1) {
		if names[match[2]] {
			return true
		}
	}
	return false
}
