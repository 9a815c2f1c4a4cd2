// Package stay implements joining and leaving the tier. A leaving daemon serves until
// callers no longer use its address, so that it cuts no request.
//
// # Usage
//
//	s := &stay.Stay{Table: table, Push: gossip.Push, Retry: 200 * time.Millisecond}
//	if s.Join(ctx, round) {
//		// the daemon serves
//	}
//	cut, err := s.Leave(ctx, stay.Farewell{Keep: 3 * time.Second, Servers: servers, Busy: busy, Close: closeLinks})
package stay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/pause"
)

// closeDelay is the time between the last heartbeat and closing the link, so that the
// heartbeat is sent.
const closeDelay = 60 * time.Millisecond

// Server serves callers; *edge.Server and *server.Server implement it.
type Server interface {
	// Stop waits until no request is in flight and closes the server.
	Stop(ctx context.Context) error
	InFlight() int
}

// Leaver is a server that can tell its callers, before it stops, to connect to another
// daemon.
type Leaver interface{ Leave() }

// Membership joins a daemon to the tier and takes it out again. Exported fields are set
// before Join.
type Membership struct {
	Table *member.Table
	// Push sends a change of this daemon's state to other daemons at once.
	Push func()
	// JoinInterval is the time between rounds of joining.
	JoinInterval time.Duration

	leaving atomic.Bool
}

// Leaving reports whether Leave has been called.
func (s *Membership) Leaving() bool { return s.leaving.Load() }

// Join calls round until it reports that the daemon has the information that it needs
// to serve, and then announces the daemon as ready. It returns false if the context
// ended first.
func (s *Membership) Join(ctx context.Context, round func(ctx context.Context) (informed bool)) bool {
	for ctx.Err() == nil {
		if round(ctx) {
			if !s.leaving.Load() {
				s.setState(member.Ready)
			}
			return true
		}
		pause.For(ctx, s.JoinInterval)
	}
	return false
}

// LeaveOptions holds the options of Leave.
type LeaveOptions struct {
	// AddressTTL is how long callers may continue to use the daemon's address.
	AddressTTL time.Duration
	Servers    []Server
	// PeerRequests returns the number of requests in flight on behalf of other daemons.
	PeerRequests func() int
	// Close closes the remaining parts of the daemon after all requests have ended.
	Close func()
}

// Leave announces that the daemon leaves, continues to serve while callers may still
// use its address, and closes the daemon once no request is in flight. The context
// bounds the time; with an error, Leave returns the number of requests that were cut.
// A second call does nothing.
func (s *Membership) Leave(ctx context.Context, f LeaveOptions) (cut int, err error) {
	if s.leaving.Swap(true) {
		return 0, nil
	}
	s.setState(member.Leaving)
	// Halfway, callers with an open connection are told to connect to another daemon.
	pause.For(ctx, f.AddressTTL/2)
	for _, server := range f.Servers {
		if l, ok := server.(Leaver); ok {
			l.Leave()
		}
	}
	pause.For(ctx, f.AddressTTL-f.AddressTTL/2)
	for _, server := range f.Servers {
		if failed := server.Stop(ctx); failed != nil {
			cut += server.InFlight()
			err = errors.Join(err, failed)
		}
	}
	for f.PeerRequests() > 0 && pause.For(ctx, closeDelay) {
		// Requests that were begun for other daemons are finished as well.
		continue
	}
	s.setState(member.Gone)
	pause.For(context.WithoutCancel(ctx), closeDelay)
	f.Close()
	return cut, err
}

func (s *Membership) setState(state member.State) {
	s.Table.SetState(time.Now(), state)
	s.Push()
}
