// Package stay is a daemon's time as a member of the tier: it joins, serves
// while callers keep its address, and leaves without cutting a request.
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

// goodbyeTime lets the last heartbeat leave before the link closes.
const goodbyeTime = 60 * time.Millisecond

// Server is a face to callers; *edge.Server and *server.Server are two.
type Server interface {
	// Stop waits until nothing is under way and closes.
	Stop(ctx context.Context) error
	InFlight() int
}

// Leaver is a server that can tell its callers early to connect elsewhere.
type Leaver interface{ Leave() }

// Stay is the state. Exported fields are set before Join.
type Stay struct {
	Table *member.Table
	// Push spreads a change of the own state at once.
	Push func()
	// Retry is the time between rounds of joining.
	Retry time.Duration

	leaving atomic.Bool
}

// Leaving reports whether the daemon has begun to leave.
func (s *Stay) Leaving() bool { return s.leaving.Load() }

// Join calls round until it reports that the daemon knows enough to serve, and
// then tells the others that it does. It returns false if the context ended.
func (s *Stay) Join(ctx context.Context, round func(ctx context.Context) (informed bool)) bool {
	for ctx.Err() == nil {
		if round(ctx) {
			if !s.leaving.Load() {
				s.tell(member.Ready)
			}
			return true
		}
		pause.For(ctx, s.Retry)
	}
	return false
}

// Farewell is what Leave needs to know.
type Farewell struct {
	// Keep is how long callers may go on to use the daemon's address.
	Keep    time.Duration
	Servers []Server
	// Busy returns the number of requests under way for other daemons.
	Busy func() int
	// Close ends what is left once nobody depends on it.
	Close func()
}

// Leave tells the others that the daemon leaves, serves on while callers keep its
// address, and closes once nothing is under way. The context bounds it; an
// error comes with the number of requests that were cut. A second call does
// nothing.
func (s *Stay) Leave(ctx context.Context, f Farewell) (cut int, err error) {
	if s.leaving.Swap(true) {
		return 0, nil
	}
	s.tell(member.Leaving)
	// Callers that use a connection now learn halfway that it is better to leave.
	pause.For(ctx, f.Keep/2)
	for _, server := range f.Servers {
		if l, ok := server.(Leaver); ok {
			l.Leave()
		}
	}
	pause.For(ctx, f.Keep-f.Keep/2)
	for _, server := range f.Servers {
		if failed := server.Stop(ctx); failed != nil {
			cut += server.InFlight()
			err = errors.Join(err, failed)
		}
	}
	for f.Busy() > 0 && pause.For(ctx, goodbyeTime) {
		// What was begun for other daemons is finished as well.
		continue
	}
	s.tell(member.Gone)
	pause.For(context.WithoutCancel(ctx), goodbyeTime)
	f.Close()
	return cut, err
}

func (s *Stay) tell(state member.State) {
	s.Table.SetState(time.Now(), state)
	s.Push()
}
