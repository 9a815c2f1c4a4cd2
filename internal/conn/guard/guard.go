// Package guard bounds the connections of a listener and what each of them holds. Clients
// that open connections and say nothing, stop in the middle of a request or don't read
// their answers are closed when others need the room.
//
// # Usage
//
//	host := guard.Host{MemoryBytes: 284 << 20, Descriptors: 4100}
//	l := &guard.Listener{Address: "10.0.0.1:8104", Room: host.Requests(), MaxConnections: host.Connections(guard.Callers)}
//	err := l.Listen()
//	server := &http.Server{Handler: guard.Handler(handler), ConnContext: guard.Context}
//	server.Serve(l)
//
// A handler that reads bodies uses the Conn of its request instead of Handler:
//
//	c := guard.From(r.Context())
//	if !c.Begin(r) { /* refuse: there is no room for the head */ }
//	defer c.End()
//	if !c.Take(size) { /* refuse: there is no room for the body */ }
//	if !c.Serve() { /* the client has been evicted */ }
package guard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/magnoliarelay/magnoliarelay/internal/process/chain"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	KindListen Kind = "Listen"
	// KindNoRoom means that there is no room for what a client sends.
	KindNoRoom Kind = "NoRoom"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	// socketBufferBytes bounds each buffer of a connection in the system, which belongs to
	// the memory of the host. The system doubles it for its own records.
	socketBufferBytes = 16 << 10
	// pendingBufferBytes is the receive buffer of a connection that waits to be accepted. It
	// fits the head of an ordinary request.
	pendingBufferBytes = 2 << 10
	// pendingDivisor divides the room; the result is for connections that wait to be accepted.
	pendingDivisor = 2
	// minSilence is how long a client must have been waited for to lose its connection to
	// a new one, if it has begun a request or reads an answer.
	minSilence = 500 * time.Millisecond
	// defaultWriteTimeout is how long a client may take to read a piece.
	defaultWriteTimeout = 90 * time.Second
	// acceptRetryDelay is the pause after a failure to accept, such as when the process has
	// no descriptor left.
	acceptRetryDelay = 20 * time.Millisecond
)

// Listener accepts the connections of clients. Exported fields are set before Listen.
type Listener struct {
	// Address is "ip:port"; Listen replaces port 0 by the actual port.
	Address string
	// Room bounds what the clients hold. It may be shared by several listeners. Nil means
	// one for this listener, by the memory of the host.
	Room *room.Room
	// MaxConnections bounds the open connections; zero means as many as Host allows for
	// Callers.
	MaxConnections int
	// OnEvict, if set, is called after a connection was closed to make room for a new one,
	// or a new one was refused.
	OnEvict func()
	// WriteTimeout bounds the time in which a client reads each piece of what is sent to it,
	// also where the server sets no limit; zero means 90 seconds.
	WriteTimeout time.Duration

	net.Listener
	mu mutex.Mutex
	// waiting holds the connections in each state by the time since when they are in it.
	waiting [states]chain.List[*Conn]
	open    int
}

// state is what a connection is doing.
type state int

const (
	// stateNew has carried no request yet, and stateIdle has answered one.
	stateNew state = iota
	stateIdle
	// stateReceiving waits for the rest of a request, and stateSending for the client to
	// read an answer.
	stateReceiving
	stateSending
	// stateServing is at work on a request.
	stateServing
	states
)

// Listen opens the socket.
func (l *Listener) Listen() error {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			// Connections inherit the sizes.
			failed = errors.Join(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, pendingBufferBytes),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes),
			)
		})
		return errors.Join(err, failed)
	}}
	listener, err := config.Listen(context.Background(), "tcp", l.Address)
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	l.Listener, l.Address = listener, listener.Addr().String()
	if l.Room == nil {
		l.Room = Host{}.Requests()
	}
	if l.WriteTimeout == 0 {
		l.WriteTimeout = defaultWriteTimeout
	}
	if l.MaxConnections == 0 {
		l.MaxConnections = Host{}.Connections(Callers)
	}
	if err := l.limitPending(); err != nil {
		_ = listener.Close()
		return &Error{Op: "limit pending connections", Kind: KindListen, Err: err}
	}
	return nil
}

// limitPending bounds the connections that the system has opened and Accept has not returned
// yet: each of them may fill its receive buffer. There may be at least as many as open ones.
func (l *Listener) limitPending() error {
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	count := max(l.MaxConnections, int(l.Room.MaxBytes/pendingDivisor/(2*pendingBufferBytes)))
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.Listen(int(fd), count)
	})
	return errors.Join(err, failed)
}

// widen gives an accepted connection its full receive buffer. It may fail if the client has
// closed the connection, which the next read finds out.
func widen(raw net.Conn) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes)
		// The system has derived the largest window from the smaller buffer.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, socketBufferBytes)
	})
}

// Accept returns the next connection. If there are too many, it closes the one that has
// been waited for longest.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			// Another listener of the process may have used up the descriptors.
			if !l.evictOldest(time.Now()) {
				time.Sleep(acceptRetryDelay)
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		if c := l.admit(time.Now(), raw); c != nil {
			widen(raw)
			return c, nil
		}
		reset(raw)
	}
}

// admit returns the connection, or nil if it must be refused.
func (l *Listener) admit(now time.Time, raw net.Conn) *Conn {
	for {
		l.mu.Lock()
		if l.open < l.MaxConnections {
			c := &Conn{Conn: raw, listener: l, state: stateServing}
			c.node.Value = c
			l.open++
			c.enter(now, stateNew)
			l.mu.Unlock()
			return c
		}
		l.mu.Unlock()
		if !l.evictOldest(now) {
			if l.OnEvict != nil {
				l.OnEvict()
			}
			return nil
		}
	}
}

// evictOldest closes a connection that waits for its client, and reports whether there
// was one: the one that has waited longest for a request or for an answer to be read, or
// else the one that has been idle for longest.
func (l *Listener) evictOldest(now time.Time) bool {
	l.mu.Lock()
	var victim *Conn
	for _, s := range []state{stateNew, stateReceiving, stateSending} {
		first := l.waiting[s].Front()
		if first == nil {
			continue
		}
		c := first.Value
		if s != stateNew && now.Sub(c.since) < minSilence {
			continue
		}
		if victim == nil || c.since.Before(victim.since) {
			victim = c
		}
	}
	if first := l.waiting[stateIdle].Front(); victim == nil && first != nil {
		victim = first.Value
	}
	if victim == nil {
		l.mu.Unlock()
		return false
	}
	victim.leave()
	l.mu.Unlock()
	victim.Abort()
	if l.OnEvict != nil {
		l.OnEvict()
	}
	return true
}

// reset closes a connection without waiting for the client to read what was sent.
func reset(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		// An ordinary close is good enough if this fails.
		_ = tcp.SetLinger(0)
	}
	_ = raw.Close()
}

type contextKey struct{}

// Context is the ConnContext of a server of a Listener.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// From returns the connection of a request; nil, which bounds nothing, if the server has
// no Listener.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Handler serves requests whose body is not read.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := From(r.Context())
		if r.ContentLength != 0 {
			// The server would wait for the body before it answers.
			w.Header().Set("Connection", "close")
		}
		if !c.Begin(r) || !c.Serve() {
			Refuse(w)
			return
		}
		defer c.End()
		next.ServeHTTP(w, r)
	})
}

// Refuse refuses a request for which there is no memory, and closes its connection.
func Refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.FormatFloat(room.RetryAfter.Seconds(), 'f', 1, 64))
	http.Error(w, "no memory for this request", http.StatusServiceUnavailable)
}
