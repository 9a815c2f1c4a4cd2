// Package daemon implements the command that runs a daemon.
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

	"k8s.io/klog/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
	"github.com/magnoliarelay/magnoliarelay/internal/process/daemon"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
	"github.com/magnoliarelay/magnoliarelay/internal/process/setup"
)

// Options are the command's flags and dependencies.
type Options struct {
	Streams *term.Streams `kong:"-"`

	Config string `help:"INI file with the addresses of the daemon and the platform." required:"" type:"path"`
	Listen string `help:"Overrides [Daemon] Listen."`
	Link   string `help:"Overrides [Daemon] Link."`
}

// Help adds examples to the command's help.
func (o *Options) Help() string {
	return "A first SIGTERM or interrupt stops the daemon gracefully; a second one stops it immediately.\n\nExample:\n  magnoliarelay daemon --config /etc/magnoliarelay/daemon.ini"
}

// Run runs the daemon until a signal stops it.
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
	tuneGC()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	d := &daemon.Daemon{Setup: s, Keys: k}
	if err := d.Start(ctx); err != nil {
		return &term.Error{Op: "daemon", Kind: term.KindFailed, Err: err}
	}
	o.Streams.PrintErrf("daemon %s listens at %s, link %s", s.Name, d.URL(), d.Link())
	// The first signal also cancels ctx, so Run waits for the channel alone.
	klog.InfoS("signal received", "signal", (<-signals).String())
	return o.stop(d, signals)
}

// A daemon has a small heap and most allocations live for one request, so the
// garbage collector runs less often than by default until the heap approaches
// the memory limit.
const (
	gcPercent        = 400
	memoryLimitBytes = 1 << 30
)

// tuneGC sets the garbage collector's parameters that the environment does not set.
func tuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
}

// stop stops the daemon gracefully, or immediately on a second signal.
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
	case s := <-signals:
		klog.InfoS("signal received while stopping; the daemon ends now", "signal", s.String())
		aborted := d.InFlight()
		d.Kill()
		return &term.Error{Op: "daemon", Kind: term.KindFailed, Err: fault.Causef("stopped immediately by a second signal: %d requests were aborted", aborted)}
	}
}
