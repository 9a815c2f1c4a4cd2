//go:build review

// Command stand plays one case of the review: it starts nodes as processes beside
// stand-ins of the platform's store, of targets and of callers, and checks one rule
// from what callers and targets see.
//
// # Usage
//
//	go build -tags review -o target/review-stand ./review/stand
//	target/review-stand --case foreign-entry --record review/1/record.txt --trouble
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// record writes a line for each event, with the time since the start.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, arguments...)...)
}

// verdict is what a case has found.
type verdict struct {
	broken  bool
	summary string
}

// cases maps the name of a case to its function.
var cases = map[string]func(c *cluster, trouble bool) (verdict, error){
	"restarted-tier":    restartedTier,
	"foreign-entry":     foreignEntry,
	"added-route-head":  headOnAddedRoute,
	"added-route-latin": latinOnAddedRoute,
	"catch-all-route":   catchAllRoute,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", false, "whether to bring about the disruption")
	node := flag.String("node", "target/magnoliarelay-node", "the program of the deploy file")
	flag.Parse()
	os.Exit(play(*name, *path, *node, *trouble))
}

func play(name, path, node string, trouble bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitFailed
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "magnoliarelay-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	c := &cluster{record: &record{out: file, start: time.Now()}, folder: folder, node: node}
	c.record.line("case %s, disruption %v", name, trouble)
	found, err := run(c, trouble)
	c.stop()
	if err != nil {
		c.record.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	}
	c.record.line("broken %v: %s", found.broken, found.summary)
	fmt.Printf("broken %v: %s\n", found.broken, found.summary)
	if found.broken {
		return exitBroken
	}
	return exitHeld
}
