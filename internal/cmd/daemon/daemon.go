// Package daemon implements the command that runs a daemon.
//
// # Usage
//
//	magnoliarelay daemon --config daemon.ini
package daemon

import (
	"context"
	"os"
	"runtime/debug"

	"k8s.io/klog/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
	"github.com/magnoliarelay/magnoliarelay/internal/process/daemon"
	"github.com/magnoliarelay/magnoliarelay/internal/process/halt"
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
	return "SIGTERM or an interrupt stops the daemon gracefully; a second interrupt stops it immediately. " +
		"SIGHUP reads the keys again.\n\nExample:\n  magnoliarelay daemon --config /etc/magnoliarelay/daemon.ini"
}

// Run runs the daemon until a signal stops it.
func (o *Options) Run(ctx context.Context) error {
	signals := &halt.Handler{Report: klog.InfoS}
	signals.Listen()
	defer signals.Close()
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
	tuneGC(s.MemoryMB)
	d := &daemon.Daemon{Setup: s, Keys: k}
	if err := d.Start(ctx); err != nil {
		return &term.Error{Op: "daemon", Kind: term.KindFailed, Err: err}
	}
	o.Streams.PrintErrf("daemon %s listens at %s, link %s", s.Name, d.URL(), d.Link())
	signals.Reload = func() {
		if err := k.Load(); err != nil {
			klog.InfoS("cannot read the keys again; the old ones stay in use", "error", err)
		}
	}
	signals.Stop = func() error { return d.Stop(context.Background()) }
	signals.Kill = func() {
		klog.InfoS("requests aborted", "inFlight", d.InFlight())
		d.Kill()
	}
	if err := signals.Run(ctx); err != nil {
		return &term.Error{Op: "daemon", Kind: term.KindFailed, Err: err}
	}
	return nil
}

// A daemon has a small heap and most allocations live for one request, so the
// garbage collector runs less often than by default until the heap approaches
// the memory limit. The rest of the memory is for buffers of the system.
const (
	gcPercent        = 400
	memoryLimitBytes = 1 << 30
	heapDivisor      = 2
	megabyte         = 1 << 20
)

// tuneGC sets the garbage collector's parameters that the environment does not set, for a
// daemon that may use so much memory; zero means that no limit is set.
func tuneGC(memoryMB int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	limit := int64(memoryLimitBytes)
	if memoryMB > 0 {
		limit = int64(memoryMB) * megabyte / heapDivisor
	}
	debug.SetMemoryLimit(limit)
}
