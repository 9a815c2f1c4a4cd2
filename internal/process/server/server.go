// Package server is a daemon's HTTP server for callers and operators.
//
// # Usage
//
//	s := &server.Server{Address: "127.0.0.1:7000", Backend: d, Meter: m}
//	err := s.Start()
//	err = s.Stop(ctx)
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/drain"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/guard"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/intake"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
	"github.com/magnoliarelay/magnoliarelay/internal/request/check"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
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
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 10 * time.Second
	writeTimeout   = 90 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Backend answers the requests of a Server.
type Backend interface {
	// Search and Execute return either an answer or a refusal.
	Search(ctx context.Context, arrived time.Time, request *wire.SearchRequest) (*wire.SearchAnswer, *wire.Refusal)
	Execute(ctx context.Context, arrived time.Time, request *wire.ExecuteRequest) (*wire.ExecuteAnswer, *wire.Refusal)
	// Addresses returns the daemons that accept callers, those nearest to the data
	// centre and region first.
	Addresses(dataCentre, region string) *wire.AddressList
	Status() any
	// Ready reports whether the daemon accepts requests and, if not, the reason.
	Ready() (bool, string)
}

// Server serves one daemon. Exported fields are set before Start.
type Server struct {
	// Address is "ip:port"; after Start it holds the actual port.
	Address string
	// Name is the daemon's name, which refusals and the status page contain.
	Name    string
	Backend Backend
	Meter   *meter.Meter
	// Report, if set, logs a step of a stop.
	Report func(message string, pairs ...any)
	// OnRefuse, if set, is called when a stop begins to refuse searches. Commands still
	// reach the backend, since they may be sent again to learn their outcome.
	OnRefuse func()
	// Requests bounds the memory that callers hold, and MaxConnections their connections.
	// Without them, the limits are those of a guard.Host that is not described.
	Requests       *room.Room
	MaxConnections int

	server   *http.Server
	listener net.Listener
	drain    drain.Drain
}

// Start listens and serves.
func (s *Server) Start() error {
	if err := s.Listen(); err != nil {
		return err
	}
	s.Serve()
	return nil
}

// Listen opens the socket and sets Address. Callers may connect from now on; the
// server answers them after Serve.
func (s *Server) Listen() error {
	listener := &guard.Listener{
		Address: s.Address, Room: s.Requests, MaxConnections: s.MaxConnections, OnEvict: func() { s.Meter.CountDecision("EvictConnection") },
	}
	if err := listener.Listen(); err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	s.Address = listener.Address
	handler, err := s.handler()
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	s.drain.Report, s.drain.OnRefuse = s.Report, s.OnRefuse
	s.server = &http.Server{
		Handler:           s.limit(handler),
		ConnContext:       guard.Context,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s.drain.Attach(s.server, listener)
	s.listener = listener
	return nil
}

// Serve answers callers.
func (s *Server) Serve() {
	// Serve always returns an error when the server is stopped.
	go func() { _ = s.server.Serve(s.listener) }()
}

// limit refuses requests for which there is no memory. Requests with a body are served by
// the handlers that read it.
func (s *Server) limit(next http.Handler) http.Handler {
	withoutBody := guard.Handler(next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			withoutBody.ServeHTTP(w, r)
			return
		}
		conn := guard.From(r.Context())
		if !conn.Begin(r) {
			guard.Refuse(w)
			return
		}
		defer conn.End()
		next.ServeHTTP(w, r)
	})
}

func (s *Server) handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutInterruptHandler, iris.WithFireMethodNotAllowed)
	searchID := func(q *wire.SearchRequest) string { return q.RequestID }
	executeID := func(q *wire.ExecuteRequest) string { return q.RequestID }
	beginCommand := func(caller string) (end func(), accepted bool) { return s.drain.BeginLate(caller), true }
	app.Post("/v1/search", handle(s, s.drain.Begin, noRoomForSearch, check.Search, searchID, s.Backend.Search))
	app.Post("/v1/execute", handle(s, beginCommand, noRoomForCommand, check.Execute, executeID, s.Backend.Execute))
	app.Get("/v1/addresses", s.addresses)
	app.Get("/v1/status", func(ctx iris.Context) { s.write(ctx, http.StatusOK, s.Backend.Status()) })
	app.Get("/ready", s.ready)
	app.Get("/", s.page)
	app.Get("/metrics", iris.FromStd(s.Meter.Handler()))
	app.Get("/debug/pprof", iris.FromStd(http.HandlerFunc(profile)))
	app.Get("/debug/pprof/{name:path}", iris.FromStd(http.HandlerFunc(profile)))
	app.OnErrorCode(http.StatusNotFound, s.notFound)
	app.OnErrorCode(http.StatusMethodNotAllowed, s.notFound)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// Leave makes every further reply to a search or a command close its connection.
func (s *Server) Leave() { s.drain.Leave() }

// Stop stops the server as package drain describes. The deadline of the context is the
// time at which requests in flight are interrupted.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.drain.Stop(ctx); err != nil {
		return &Error{Op: "stop", Kind: KindStop, Err: err}
	}
	return nil
}

// Kill closes every connection at once.
func (s *Server) Kill() { _ = s.server.Close() }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return s.drain.InFlight() }

// Interrupted returns the number of requests for which Stop had no time left.
func (s *Server) Interrupted() int { return s.drain.Interrupted() }

// handle returns a handler that reads and checks a request and then answers it. Begin
// counts a request under its caller's address.
func handle[Q, A any](
	s *Server,
	begin func(caller string) (end func(), accepted bool),
	noRoom wire.Refusal,
	read func([]byte) (*Q, *wire.Refusal),
	id func(*Q) string,
	answer func(context.Context, time.Time, *Q) (*A, *wire.Refusal),
) iris.Handler {
	return func(ctx iris.Context) {
		arrived := time.Now()
		end, accepted := begin(ctx.RemoteAddr())
		defer end()
		if s.drain.Leaving() {
			ctx.Header("Connection", "close")
		}
		body, refusal := readBody(ctx, noRoom)
		if refusal != nil {
			s.refuse(ctx, "", refusal)
			return
		}
		request, refusal := read(body)
		if refusal != nil {
			s.refuse(ctx, refusal.RequestID, refusal)
			return
		}
		if !accepted {
			s.refuse(ctx, id(request), &wire.Refusal{Kind: wire.RefusalNotReady, Message: "the daemon is stopping; use another one", Ran: wire.RanNo})
			return
		}
		result, refusal := answer(ctx.Request().Context(), arrived, request)
		if s.drain.Leaving() {
			ctx.Header("Connection", "close")
		}
		if refusal != nil {
			s.refuse(ctx, id(request), refusal)
			return
		}
		s.write(ctx, http.StatusOK, result)
	}
}

func (s *Server) addresses(ctx iris.Context) {
	s.write(ctx, http.StatusOK, s.Backend.Addresses(ctx.URLParam("DataCentre"), ctx.URLParam("Region")))
}

func (s *Server) ready(ctx iris.Context) {
	status := http.StatusOK
	ready, reason := s.Backend.Ready()
	if !ready {
		status = http.StatusServiceUnavailable
	}
	s.write(ctx, status, struct {
		Ready  bool
		Reason string `json:",omitempty"`
	}{ready, reason})
}

// The refusals of requests for which there is no memory. An earlier send of a command may
// have run.
var (
	noRoomForSearch = wire.Refusal{
		Kind: wire.RefusalOverloaded, Message: "no memory for this request", Ran: wire.RanNo, RetryAfterMillis: room.RetryAfter.Milliseconds(),
	}
	noRoomForCommand = wire.Refusal{
		Kind: wire.RefusalUncertain, Message: "no memory for this request", Ran: wire.RanUnknown, RetryAfterMillis: room.RetryAfter.Milliseconds(),
	}
)

// readBody reads a body up to the size limit plus one byte, by which the check
// detects a body that is too large.
func readBody(ctx iris.Context, noRoom wire.Refusal) ([]byte, *wire.Refusal) {
	conn := guard.From(ctx.Request().Context())
	reader := &intake.Reader{MaxBytes: check.MaxBodyBytes, Timeout: bodyTimeout, Take: conn.Take}
	body, err := reader.Read(ctx.ResponseWriter().Naive(), ctx.Request())
	if err == nil && conn.Serve() {
		return body, nil
	}
	ctx.Header("Connection", "close")
	var failure *intake.Error
	errors.As(err, &failure)
	switch {
	case failure == nil || failure.Kind == intake.KindNoRoom:
		return nil, &noRoom
	case failure.Kind == intake.KindTooLarge:
		return make([]byte, check.MaxBodyBytes+1), nil
	}
	message := "the body could not be read: " + err.Error()
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		message = "the body did not arrive in time"
	}
	return nil, &wire.Refusal{Kind: wire.RefusalInvalid, Message: message, Ran: wire.RanNo}
}

// statusOf maps a refusal to an HTTP status.
func statusOf(kind wire.RefusalKind) int {
	switch kind {
	case wire.RefusalInvalid, wire.RefusalHomeRequired:
		return http.StatusBadRequest
	case wire.RefusalUnknown:
		return http.StatusNotFound
	case wire.RefusalOverloaded:
		return http.StatusTooManyRequests
	case wire.RefusalVersionGone, wire.RefusalHomeClosed:
		return http.StatusGone
	case wire.RefusalQuarantined:
		return http.StatusUnprocessableEntity
	case wire.RefusalUncertain:
		return http.StatusBadGateway
	case wire.RefusalInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

func (s *Server) refuse(ctx iris.Context, id string, refusal *wire.Refusal) {
	refusal.RequestID = id
	refusal.Daemon = s.Name
	if refusal.RetryAfterMillis > 0 {
		seconds := (refusal.RetryAfterMillis + 999) / 1000
		ctx.Header("Retry-After", strconv.FormatInt(seconds, 10))
	}
	s.write(ctx, statusOf(refusal.Kind), refusal)
}

func (s *Server) write(ctx iris.Context, status int, value any) {
	ctx.StatusCode(status)
	if err := ctx.JSON(value); err != nil {
		s.Meter.CountDecision("CallerGone")
	}
}

// notFound answers requests with an unknown path or method.
func (s *Server) notFound(ctx iris.Context) {
	message := ctx.Method() + " " + ctx.Path() + ": there is no such request"
	refusal := &wire.Refusal{Kind: wire.RefusalInvalid, Message: message, Ran: wire.RanNo, Daemon: s.Name}
	s.write(ctx, ctx.GetStatusCode(), refusal)
}

func profile(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/debug/pprof/profile":
		pprof.Profile(w, r)
	case "/debug/pprof/trace":
		pprof.Trace(w, r)
	case "/debug/pprof/cmdline":
		pprof.Cmdline(w, r)
	case "/debug/pprof/symbol":
		pprof.Symbol(w, r)
	case "/debug/pprof":
		http.Redirect(w, r, "/debug/pprof/goroutine?debug=1", http.StatusFound)
	default:
		pprof.Index(w, r)
	}
}
