// Package edge is a daemon's HTTP face to callers whose requests pass through
// unchanged.
//
// # Usage
//
//	s := &edge.Server{Address: "10.0.0.1:8104", Codec: codec, Serve: serve, Limits: limits}
//	err := s.Start()
//	s.Leave()       // from now on replies close their connections
//	err = s.Stop(ctx)
//
// A request whose caller closes the connection has its context cancelled.
package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/drain"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
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
	// idleMost bounds an idle connection. It is longer than operators let
	// callers keep one, so that a caller never meets a closing connection.
	idleMost = 2 * time.Minute
	// headerTimeout and headerBytes hold until the operator's limits are known
	// and bound what those may be.
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
	writeTimeout  = 90 * time.Second
)

// Codec reads what callers send and writes what they get.
type Codec interface {
	// Read takes the head of a request; the body is added later.
	Read(r *http.Request) *relay.Request
	// Write sends an answer. An error means that the caller did not get it whole.
	Write(w http.ResponseWriter, request *relay.Request, answer *relay.Answer) error
}

// Server serves callers. Exported fields are set before Start.
type Server struct {
	// Address is "ip:port"; after Start it holds the port that was given.
	Address string
	Codec   Codec
	// Serve answers a request whose body has been read.
	Serve func(ctx context.Context, request *relay.Request) *relay.Answer
	// Limits returns the operator's limits; nil before they are known.
	Limits func() *tree.Limits
	// Unwritten is told of an answer that its caller did not get whole.
	Unwritten func(request *relay.Request, err error)

	server  *http.Server
	leaving atomic.Bool
	drain   drain.Drain
}

// Start listens and serves.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	s.Address = listener.Addr().String()
	s.server = &http.Server{
		Handler:           http.HandlerFunc(s.handle),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleMost,
		MaxHeaderBytes:    headerBytes,
	}
	// Serve ends with an error when the server is stopped, as it is meant to.
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	defer s.drain.Begin()()
	request := s.Codec.Read(r)
	request.Arrived = arrived
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	body, status := s.readBody(w, r)
	if status != 0 {
		w.Header().Set("Connection", "close")
		http.Error(w, http.StatusText(status), status)
		return
	}
	request.Body = body
	answer := s.Serve(r.Context(), request)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if answer.Result == relay.CallerLeft {
		return
	}
	if err := s.Codec.Write(w, request, answer); err != nil {
		s.Unwritten(request, err)
		// An answer cut short must not look whole.
		panic(http.ErrAbortHandler)
	}
}

// readBody reads the whole body, or returns the status that refuses it.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, status int) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, 0
	}
	most := int64(headerBytes)
	if limits := s.Limits(); limits != nil {
		most = limits.BodyBytes
		// A deadline that can not be set leaves that of the server.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(max(limits.HeaderTimeout, headerTimeout)))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	// Without this the deadline of the body would end a later request.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, 0
}

// InFlight returns the number of requests under way.
func (s *Server) InFlight() int { return s.drain.InFlight() }

// Leave makes every further reply close its connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Stop waits until no request is under way and none has come for a moment,
// and then closes. It returns an error when the context ended first.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.drain.Wait(ctx); err != nil {
		// What is cut is counted by InFlight.
		_ = s.server.Close()
		return &Error{Op: "stop", Kind: KindStop, Err: err}
	}
	if err := s.server.Shutdown(ctx); err != nil {
		return &Error{Op: "stop", Kind: KindStop, Err: err}
	}
	return nil
}

// Close ends the server at once and cuts what is under way.
func (s *Server) Close() {
	// Nothing depends on how it closes.
	_ = s.server.Close()
}
