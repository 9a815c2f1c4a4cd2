package halt_test

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/halt"
)

const timeout = 10 * time.Second

// send sends signals to this process.
func send(t *testing.T, signals ...syscall.Signal) {
	t.Helper()
	for _, s := range signals {
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
}

func repeat(s syscall.Signal, times int) []syscall.Signal {
	var list []syscall.Signal
	for range times {
		list = append(list, s)
	}
	return list
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, timeout)
		}
	}
}

// process is a process whose stop ends when release is closed.
type process struct {
	halt.Handler
	stops, reloads, kills atomic.Int64
	release               chan struct{}
	ended                 chan error
}

func run(ctx context.Context, t *testing.T, before ...syscall.Signal) *process {
	t.Helper()
	p := &process{release: make(chan struct{}), ended: make(chan error, 1)}
	p.Listen()
	t.Cleanup(p.Close)
	send(t, before...)
	p.Reload = func() { p.reloads.Add(1) }
	p.Kill = func() { p.kills.Add(1) }
	p.Stop = func() error {
		p.stops.Add(1)
		<-p.release
		return nil
	}
	go func() { p.ended <- p.Run(ctx) }()
	return p
}

func (p *process) end(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.ended:
		return err
	case <-time.After(timeout):
		t.Fatal("the process did not end")
		return nil
	}
}

// Guards against a signal that is lost in a series of others, so that a stop never begins.
func TestBurstOfReloadsHidesNoStop(t *testing.T) {
	p := run(t.Context(), t, append(repeat(syscall.SIGHUP, 100), syscall.SIGTERM)...)
	await(t, "the stop began", func() bool { return p.stops.Load() == 1 })
	close(p.release)
	if err := p.end(t); err != nil {
		t.Error(err)
	}
	if p.reloads.Load() == 0 {
		t.Error("nothing was reloaded")
	}
}

// Guards against a further signal that ends or repeats a stop.
func TestSignalsDuringStopDoNotShortenIt(t *testing.T) {
	p := run(t.Context(), t, syscall.SIGTERM)
	await(t, "the stop began", func() bool { return p.stops.Load() == 1 })
	for range 3 {
		reloads := p.reloads.Load()
		send(t, syscall.SIGTERM, syscall.SIGHUP)
		await(t, "a reload during the stop", func() bool { return p.reloads.Load() > reloads })
	}
	select {
	case err := <-p.ended:
		t.Fatalf("a further signal ended the process: %v", err)
	default:
	}
	close(p.release)
	if err := p.end(t); err != nil || p.stops.Load() != 1 || p.kills.Load() != 0 {
		t.Errorf("%v, %d stops, %d kills", err, p.stops.Load(), p.kills.Load())
	}
}

func TestSecondInterruptKills(t *testing.T) {
	p := run(t.Context(), t, syscall.SIGINT)
	await(t, "the stop began", func() bool { return p.stops.Load() == 1 })
	send(t, syscall.SIGINT)
	var killed *halt.Error
	if err := p.end(t); !errors.As(err, &killed) || killed.Kind != halt.KindKilled || p.kills.Load() != 1 {
		t.Errorf("%v, %d kills", err, p.kills.Load())
	}
	close(p.release)
}

// Guards against an interrupt that counts as the second one because a SIGTERM, or the end
// of the context that the same interrupt brought about, came before it.
func TestFirstInterruptDuringStopDoesNotKill(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	tests := []struct {
		name   string
		ctx    context.Context
		before []syscall.Signal
	}{
		{"after SIGTERM", t.Context(), []syscall.Signal{syscall.SIGTERM}},
		{"after the end of the context", ended, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := run(tt.ctx, t, tt.before...)
			await(t, "the stop began", func() bool { return p.stops.Load() == 1 })
			send(t, syscall.SIGINT)
			// A reload shows that the interrupt has been received.
			send(t, syscall.SIGHUP)
			await(t, "a reload", func() bool { return p.reloads.Load() > 0 })
			time.Sleep(20 * time.Millisecond)
			close(p.release)
			if err := p.end(t); err != nil || p.kills.Load() != 0 {
				t.Errorf("%v, %d kills", err, p.kills.Load())
			}
		})
	}
}

func TestEndOfContextBeginsStop(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p := run(ctx, t)
	await(t, "the stop began", func() bool { return p.stops.Load() == 1 })
	close(p.release)
	if err := p.end(t); err != nil {
		t.Error(err)
	}
}
