// Package joiner implements joining and leaving the tier. A leaving daemon serves until
// callers no longer use its address, so that it cuts no request.
//
// # Usage
//
//	m := &joiner.Membership{Table: table, Push: gossip.Push, JoinInterval: 200 * time.Millisecond}
//	if m.Join(ctx, round) {
//		// the daemon serves
//	}
//	interrupted, err := m.Leave(ctx, joiner.LeaveOptions{
//		AddressTTL: 3 * time.Second, Servers: servers, PeerRequests: peerRequests, InterruptPeers: interruptPeers, Close: closeLinks,
//	})
package joiner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/drain"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/sleep"
)

const (
	// closeDelay is the time between the last heartbeat and closing the link, so that the
	// heartbeat is sent.
	closeDelay = 60 * time.Millisecond
	// replyPollInterval is the time between checks for requests of other daemons.
	replyPollInterval = 20 * time.Millisecond
)

// Server serves callers; *edge.Server and *server.Server implement it.
type Server interface {
	// Leave asks callers to connect to another daemon.
	Leave()
	// Stop stops the server. The end of ctx is the time at which it interrupts the
	// requests that are still in flight.
	Stop(ctx context.Context) error
	// Interrupted returns the number of requests that Stop has interrupted.
	Interrupted() int
}

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
	// InterruptPeers ends them early, each with a reply, and returns their number.
	InterruptPeers func() int
	// Close closes the remaining parts of the daemon after all requests have ended.
	Close func()
}

// Leave announces that the daemon leaves, continues to serve while callers may still
// use its address, and closes the daemon once no request is in flight. At the end of ctx
// it interrupts the requests that are still in flight; it returns their number and an
// error. A second call does nothing.
func (m *Membership) Leave(ctx context.Context, options LeaveOptions) (interrupted int, err error) {
	if m.leaving.Swap(true) {
		return 0, nil
	}
	m.setState(member.Leaving)
	addressTTL := boundTTL(ctx, options.AddressTTL)
	// Halfway, the servers ask callers with an open connection to use another daemon.
	sleep.For(ctx, addressTTL/2)
	for _, server := range options.Servers {
		server.Leave()
	}
	sleep.For(ctx, addressTTL-addressTTL/2)
	peers := make(chan int, 1)
	go func() { peers <- finishPeers(ctx, &options) }()
	err = stopAll(ctx, options.Servers)
	for _, server := range options.Servers {
		interrupted += server.Interrupted()
	}
	interrupted += <-peers
	if ctx.Err() == nil {
		// Other daemons may have sent more meanwhile.
		interrupted += finishPeers(ctx, &options)
	}
	m.setState(member.Gone)
	sleep.For(context.WithoutCancel(ctx), closeDelay)
	options.Close()
	return interrupted, err
}

// boundTTL shortens the time for which the daemon serves as before, so that a third of
// the context's time is left to finish requests.
func boundTTL(ctx context.Context, addressTTL time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return addressTTL
	}
	return min(addressTTL, 2*time.Until(deadline)/3)
}

// finishPeers waits for the requests in flight on behalf of other daemons. At the end of
// ctx it interrupts them, returns their number and waits for their replies.
func finishPeers(ctx context.Context, options *LeaveOptions) (interrupted int) {
	for options.PeerRequests() > 0 && sleep.For(ctx, replyPollInterval) {
		continue
	}
	if options.PeerRequests() == 0 {
		return 0
	}
	interrupted = options.InterruptPeers()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drain.AnswerTime)
	defer cancel()
	for options.PeerRequests() > 0 && sleep.For(ctx, replyPollInterval) {
		continue
	}
	return interrupted
}

// stopAll stops the servers at the same time, since they share the time that is left.
func stopAll(ctx context.Context, servers []Server) error {
	errs := make([]error, len(servers))
	var group sync.WaitGroup
	for i, server := range servers {
		group.Go(func() { errs[i] = server.Stop(ctx) })
	}
	group.Wait()
	return errors.Join(errs...)
}

func (m *Membership) setState(state member.State) {
	m.Table.SetState(time.Now(), state)
	m.Push()
}
