// Package edge is a daemon's HTTP server for callers whose requests pass through
// unchanged.
//
// # Usage
//
//	s := &edge.Server{Address: "10.0.0.1:8104", Codec: codec, Serve: serve, Limits: limits}
//	err := s.Start()
//	s.Leave()       // every further reply closes its connection
//	err = s.Stop(ctx)
//
// When a caller closes its connection, the context of its request is cancelled. When the
// server stops and has no more time for a request, the context ends with the cause
// drain.ErrStopping, and Serve returns an answer at once.
package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/drain"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/guard"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/intake"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
	"github.com/magnoliarelay/magnoliarelay/internal/request/relay"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	KindListen Kind = "Listen"
	KindStop   Kind = "Stop"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	// idleTimeout is how long an idle connection stays open. Operators have callers
	// close idle connections sooner, so that no caller sends a request on a
	// connection that the server is closing.
	idleTimeout = 2 * time.Minute
	// headerTimeout and maxHeaderBytes bound the header of every request. They also
	// apply to the body: headerTimeout is the shortest timeout for reading one, and
	// maxHeaderBytes bounds its size until the operator's limits are known.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// unknownLimitsRetryAfter is when a caller may retry a request whose body is larger
	// than maxHeaderBytes, while the operator's limits are unknown.
	unknownLimitsRetryAfter = 200 * time.Millisecond
	// defaultWriteTimeout is how long a caller may take to read an answer.
	defaultWriteTimeout = 90 * time.Second
)

// Codec reads the requests of callers and writes the answers to them.
type Codec interface {
	// Read converts the head of a request; the server adds the body later.
	Read(r *http.Request) *relay.Request
	// Write sends an answer. An error means that the answer was not written whole.
	Write(w http.ResponseWriter, request *relay.Request, answer *relay.Answer) error
}

// Server serves callers. Exported fields are set before Start.
type Server struct {
	// Address is "ip:port"; Start replaces port 0 by the actual port.
	Address string
	Codec   Codec
	// Serve answers a request whose body has been read.
	Serve func(ctx context.Context, request *relay.Request) *relay.Answer
	// Refuse answers a request that arrives too late during a stop to be served.
	Refuse func(request *relay.Request) *relay.Answer
	// Limits returns the operator's limits, or nil before they are known.
	Limits func() *tree.Limits
	// Rejected, if set, is called with a request that is not valid and the status of the answer.
	Rejected func(request *relay.Request, status int)
	// WriteFailed is called when an answer could not be written whole.
	WriteFailed func(request *relay.Request, err error)
	// WriteTimeout is the maximum time for writing an answer; zero means 90 seconds.
	WriteTimeout time.Duration
	// Report, if set, logs a step of a stop.
	Report func(message string, pairs ...any)
	// Requests and Answers bound the memory that callers hold, and MaxConnections their
	// connections. Without them, the limits are those of a guard.Host that is not described.
	Requests       *room.Room
	Answers        *room.Room
	MaxConnections int
	// OnEvict, if set, is called after a connection was closed to make room for another.
	OnEvict func()

	server *http.Server
	drain  drain.Drain
}

// Start listens and serves.
func (s *Server) Start() error {
	listener := &guard.Listener{Address: s.Address, Room: s.Requests, MaxConnections: s.MaxConnections, OnEvict: s.OnEvict}
	if err := listener.Listen(); err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	s.Address = listener.Address
	s.drain.Report = s.Report
	if s.WriteTimeout == 0 {
		s.WriteTimeout = defaultWriteTimeout
	}
	if s.Answers == nil {
		s.Answers = guard.Host{}.Answers()
	}
	s.server = &http.Server{
		Handler:           http.HandlerFunc(s.handle),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       guard.Context,
	}
	s.drain.Attach(s.server, listener)
	// Serve returns an error when the stop closes the listener.
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	conn := guard.From(r.Context())
	hasRoom := conn.Begin(r)
	defer conn.End()
	request := s.Codec.Read(r)
	request.Arrived = arrived
	end, accepted := s.drain.Begin(request.ID)
	defer end()
	if s.drain.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if !accepted || !hasRoom {
		answer := &relay.Answer{Result: relay.NotRun, Reason: reasonNoRoom, RetryAfter: room.RetryAfter}
		if !accepted {
			answer = s.Refuse(request)
		}
		intake.Discard(w)
		s.refuseUnread(w, request, answer)
		return
	}
	if !s.readBody(w, r, conn, request) {
		return
	}
	claim := s.Answers.Open(conn.Abort)
	defer claim.Close()
	conn.Answer(claim)
	answer := s.Serve(room.With(r.Context(), claim), request)
	if s.drain.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if answer.Result == relay.CallerLeft {
		// Returning would send an empty success to a caller that still reads.
		panic(http.ErrAbortHandler)
	}
	s.write(w, request, answer)
}

// write sends an answer. It aborts the connection if that fails, so that the caller does
// not mistake a truncated answer for a complete one.
func (s *Server) write(w http.ResponseWriter, request *relay.Request, answer *relay.Answer) {
	// The time for writing is counted from the answer, since a target may take as long as
	// its route allows.
	err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.WriteTimeout))
	if err == nil {
		err = s.Codec.Write(w, request, answer)
	}
	if err != nil {
		s.WriteFailed(request, err)
		panic(http.ErrAbortHandler)
	}
}

// reasonNoRoom is the reason of an answer to a request for which there is no memory.
const reasonNoRoom = "no memory for this request"

// readBody reads the whole body, or refuses the request and returns false.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, conn *guard.Conn, request *relay.Request) bool {
	limits := s.Limits()
	reader := &intake.Reader{MaxBytes: maxHeaderBytes, Timeout: headerTimeout, Take: conn.Take}
	if limits != nil {
		reader.MaxBytes, reader.Timeout = limits.BodyBytes, max(limits.HeaderTimeout, headerTimeout)
	}
	body, err := reader.Read(w, r)
	var failure *intake.Error
	errors.As(err, &failure)
	switch {
	case err == nil && conn.Serve():
		request.Body = body
		return true
	case failure == nil || failure.Kind == intake.KindNoRoom:
		s.refuseUnread(w, request, &relay.Answer{Result: relay.NotRun, Reason: reasonNoRoom, RetryAfter: room.RetryAfter})
	case failure.Kind == intake.KindTooLarge && limits == nil:
		// The operator's limits may allow it.
		s.refuseUnread(w, request, &relay.Answer{Result: relay.NotRun, Reason: "no settings yet", RetryAfter: unknownLimitsRetryAfter})
	case failure.Kind == intake.KindTooLarge:
		s.reject(w, request, http.StatusRequestEntityTooLarge)
	default:
		s.reject(w, request, http.StatusBadRequest)
	}
	return false
}

// reject rejects a request that is not valid and closes its connection.
func (s *Server) reject(w http.ResponseWriter, request *relay.Request, status int) {
	if s.Rejected != nil {
		s.Rejected(request, status)
	}
	w.Header().Set("Connection", "close")
	http.Error(w, http.StatusText(status), status)
}

// refuseUnread refuses a request that has not been read whole and closes its connection.
func (s *Server) refuseUnread(w http.ResponseWriter, request *relay.Request, answer *relay.Answer) {
	w.Header().Set("Connection", "close")
	s.write(w, request, answer)
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return s.drain.InFlight() }

// Interrupted returns the number of requests for which Stop had no time left.
func (s *Server) Interrupted() int { return s.drain.Interrupted() }

// Leave makes every further reply close its connection.
func (s *Server) Leave() { s.drain.Leave() }

// Stop stops the server as package drain describes. The deadline of the context is the
// time at which requests in flight are interrupted.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.drain.Stop(ctx); err != nil {
		return &Error{Op: "stop", Kind: KindStop, Err: err}
	}
	return nil
}

// Close stops the server at once and cuts off the requests in flight.
func (s *Server) Close() {
	// An error while closing needs no handling.
	_ = s.server.Close()
}
