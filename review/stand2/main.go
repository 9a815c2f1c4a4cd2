//go:build review

// Command stand2 plays the cases of the second review: it starts daemons of the project as
// separate processes, with stand-ins for the platform's store, searchers and requesters.
//
// # Usage
//
//	target/stand2 CASE FOLDER
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// result is the outcome of a case.
type result struct {
	Broken bool
	Text   string
}

var cases = map[string]func(w *world) (result, error){
	"cut":   playCut,
	"stuck": playStuck,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		return 2
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts
		w.close()
		os.Exit(2)
	}()
	r, err := cases[os.Args[1]](w)
	if err != nil {
		w.record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.record.line("%s", r.Text)
	fmt.Println(r.Text)
	if r.Broken {
		return 1
	}
	return 0
}
