// Package halt carries out the signals that a process gets: it reloads on SIGHUP, and it
// stops once, gracefully, on the first SIGTERM or interrupt.
//
// Signals may come in any number and order. Neither a SIGHUP nor a further SIGTERM ends
// the process or shortens its stop, and no number of them hides a signal of another kind.
// A second interrupt, which an operator sends at a terminal, ends the process at once.
//
// # Usage
//
//	h := &halt.Handler{Report: klog.InfoS}
//	h.Listen() // from here on no signal ends the process by itself
//	defer h.Close()
//	...
//	h.Reload, h.Stop, h.Kill = reload, stop, kill
//	err := h.Run(ctx)
package halt

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
)

// Kind classifies an Error.
type Kind string

// KindKilled means that a second interrupt ended the process.
const KindKilled Kind = "Killed"

// Error is the error of this package.
type Error = fault.Error[Kind]

// Handler handles the signals of one process. Exported fields are set before Run.
type Handler struct {
	// Reload, if set, is called on SIGHUP, also during a stop, but never twice at once.
	Reload func()
	// Stop stops the process gracefully.
	Stop func() error
	// Kill, if set, ends what is in flight at once.
	Kill func()
	// Report, if set, logs a signal.
	Report func(message string, pairs ...any)

	// Each kind has a channel of its own, since a full channel drops signals.
	reloads    chan os.Signal
	terminates chan os.Signal
	interrupts chan os.Signal
}

// Listen begins to receive signals. They are handled by Run.
func (h *Handler) Listen() {
	h.reloads, h.terminates, h.interrupts = make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(h.reloads, syscall.SIGHUP)
	signal.Notify(h.terminates, syscall.SIGTERM)
	signal.Notify(h.interrupts, os.Interrupt)
}

// Close lets signals have their usual effect again.
func (h *Handler) Close() {
	for _, c := range []chan os.Signal{h.reloads, h.terminates, h.interrupts} {
		signal.Stop(c)
	}
}

// Run handles signals until the process has stopped, and returns the error of Stop. The
// end of ctx also begins the stop.
func (h *Handler) Run(ctx context.Context) error {
	done := make(chan struct{})
	defer close(done)
	go h.reloadUntil(done)
	var stopped chan error
	interrupts := 0
	begin := func() {
		if stopped == nil {
			stopped = make(chan error, 1)
			go func() { stopped <- h.Stop() }()
		}
	}
	for {
		select {
		case s := <-h.terminates:
			h.report(s, stopped != nil)
			begin()
		case s := <-h.interrupts:
			h.report(s, stopped != nil)
			// An interrupt may also have ended ctx, so the stop may have begun by itself.
			if interrupts++; interrupts > 1 && h.Kill != nil {
				h.Kill()
				return &Error{Op: "stop", Kind: KindKilled, Err: fault.Causef("a second interrupt ended the process")}
			}
			begin()
		case <-ctx.Done():
			ctx = context.WithoutCancel(ctx)
			begin()
		case err := <-stopped:
			return err
		}
	}
}

// reloadUntil reloads on SIGHUP. It has a goroutine of its own, so that a reload that
// takes long delays no stop.
func (h *Handler) reloadUntil(done <-chan struct{}) {
	for {
		select {
		case s := <-h.reloads:
			if h.Report != nil {
				h.Report("signal received", "signal", s.String(), "reloads", h.Reload != nil)
			}
			if h.Reload != nil {
				h.Reload()
			}
		case <-done:
			return
		}
	}
}

func (h *Handler) report(s os.Signal, stopping bool) {
	if h.Report != nil {
		h.Report("signal received", "signal", s.String(), "alreadyStopping", stopping)
	}
}
