// Package daemon is the command that runs a daemon.
//
// # Usage
//
//	magnoliarelay daemon --config daemon.ini
package daemon

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
	"github.com/magnoliarelay/magnoliarelay/internal/process/daemon"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
	"github.com/magnoliarelay/magnoliarelay/internal/process/setup"
)

// Options are the command's flags and dependencies.
type Options struct {
	Streams *term.Streams `kong:"-"`

	Config string `help:"INI file with the daemon's addresses and the platform's." required:"" type:"path"`
	Listen string `help:"Overrides [Daemon] Listen."`
	Link   string `help:"Overrides [Daemon] Link."`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "A first SIGTERM or interrupt stops the daemon gracefully; a second one at once.\n\nExample:\n  magnoliarelay daemon --config /etc/magnoliarelay/daemon.ini"
}

// Run runs the daemon until it is told to stop.
func (o *Options) Run(ctx context.Context) error {
	s, err := setup.Load(o.Config)
	if err != nil {
		return &term.Error{Op: "daemon", Kind: term.KindUsage, Err: err}
	}
	if o.Listen != "" {
		s.Listen = o.Listen
	}
	if o.Link != "" {
		s.Link = o.Link
	}
	k := &keys.Keys{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority}
	if err := k.Load(); err != nil {
		return &term.Error{Op: "daemon", Kind: term.KindUsage, Err: err}
	}
	tuneCollector()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	d := &daemon.Daemon{Setup: s, Keys: k}
	if err := d.Start(ctx); err != nil {
		return &term.Error{Op: "daemon", Kind: term.KindFailed, Err: err}
	}
	o.Streams.Sayf("daemon %s listens at %s, link %s", s.Name, d.URL(), d.Link())
	// The context ends with the same first signal, so only the channel counts.
	<-signals
	return o.stop(d, signals)
}

// A daemon's heap is small and what it allocates lives for one request, so the
// collector runs less often than by default, until the heap nears the limit.
const (
	collectorPercent = 400
	collectorLimit   = 1 << 30
)

// tuneCollector leaves alone what the environment sets.
func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(collectorLimit)
	}
}

// stop leaves gracefully unless a second signal comes.
func (o *Options) stop(d *daemon.Daemon, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- d.Stop(ctx) }()
	select {
	case err := <-done:
		if err != nil {
			return &term.Error{Op: "daemon", Kind: term.KindFailed, Err: err}
		}
		return nil
	case <-signals:
		cut := d.InFlight()
		d.Kill()
		return &term.Error{Op: "daemon", Kind: term.KindFailed, Err: fault.Causef("stopped at once by a second signal: %d requests were cut", cut)}
	}
}
