// Package joiner implements joining and leaving the tier. A leaving daemon serves until
// callers no longer use its address, so that it cuts no request.
//
// # Usage
//
//	m := &joiner.Membership{Table: table, Push: gossip.Push, JoinInterval: 200 * time.Millisecond}
//	if m.Join(ctx, round) {
//		// the daemon serves
//	}
//	cut, err := m.Leave(ctx, joiner.LeaveOptions{
//		AddressTTL: 3 * time.Second, Servers: servers, PeerRequests: peerRequests, Close: closeLinks,
//	})
package joiner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/sleep"
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

// Leaver is a server that can ask its callers, before it stops, to connect to another
// daemon.
type Leaver interface{ Leave() }

// Membership is one daemon's membership of the tier, which it joins and leaves once.
// Exported fields are set before Join.
type Membership struct {
	Table *member.Table
	// Push sends a change of this daemon's state to other daemons at once.
	Push func()
	// JoinInterval is the time between rounds of joining.
	JoinInterval time.Duration

	leaving atomic.Bool
}

// Leaving reports whether Leave has been called.
func (m *Membership) Leaving() bool { return m.leaving.Load() }

// Join calls round until it reports that the daemon has the information that it needs
// to serve, and then announces the daemon as ready. It returns false if the context
// ended first.
func (m *Membership) Join(ctx context.Context, round func(ctx context.Context) (ready bool)) bool {
	for ctx.Err() == nil {
		if round(ctx) {
			if !m.leaving.Load() {
				m.setState(member.Ready)
			}
			return true
		}
		sleep.For(ctx, m.JoinInterval)
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
// bounds the time; if that does not suffice, Leave returns an error and the number of
// requests that it cut. A second call does nothing.
func (m *Membership) Leave(ctx context.Context, options LeaveOptions) (cut int, err error) {
	if m.leaving.Swap(true) {
		return 0, nil
	}
	m.setState(member.Leaving)
	// Halfway, the servers ask callers with an open connection to use another daemon.
	sleep.For(ctx, options.AddressTTL/2)
	for _, server := range options.Servers {
		if l, ok := server.(Leaver); ok {
			l.Leave()
		}
	}
	sleep.For(ctx, options.AddressTTL-options.AddressTTL/2)
	for _, server := range options.Servers {
		if stopErr := server.Stop(ctx); stopErr != nil {
			cut += server.InFlight()
			err = errors.Join(err, stopErr)
		}
	}
	for options.PeerRequests() > 0 && sleep.For(ctx, closeDelay) {
		// Requests that were begun for other daemons are finished as well.
		continue
	}
	m.setState(member.Gone)
	sleep.For(context.WithoutCancel(ctx), closeDelay)
	options.Close()
	return cut, err
}

func (m *Membership) setState(state member.State) {
	m.Table.SetState(time.Now(), state)
	m.Push()
}
