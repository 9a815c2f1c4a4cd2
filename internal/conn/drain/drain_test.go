package drain_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/drain"
)

// server serves requests that take a while, or until they are interrupted.
type server struct {
	drain.Drain
	address string
	work    time.Duration
	// deaf handlers go on when they are interrupted.
	deaf   bool
	served atomic.Int64
}

func start(t *testing.T, s *server) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	web := &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: time.Second}
	s.Attach(web, listener)
	go func() { _ = web.Serve(listener) }()
	t.Cleanup(func() { _ = web.Close() })
	return s
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	end, accepted := s.Begin("r")
	defer end()
	if s.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if !accepted {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	done := r.Context().Done()
	if s.deaf {
		done = nil
	}
	select {
	case <-time.After(s.work):
		s.served.Add(1)
	case <-done:
		if errors.Is(context.Cause(r.Context()), drain.ErrStopping) {
			w.WriteHeader(http.StatusBadGateway)
		}
	}
}

// connection is a caller's open connection.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *connection {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}
}

// get sends a request and returns the status of its answer; zero if there is none.
func (c *connection) get() int {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: d\r\n\r\n"); err != nil {
		return 0
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// stop stops the server and returns its error and how long it took.
func stop(s *server, limit time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	began := time.Now()
	err := s.Stop(ctx)
	return time.Since(began), err
}

// slack is the time that a busy machine may take for a step.
const slack = 2 * time.Second

func TestStopFinishesRequestsInFlight(t *testing.T) {
	s := start(t, &server{work: 400 * time.Millisecond})
	status := make(chan int, 1)
	caller := dial(t, s.address)
	go func() { status <- caller.get() }()
	for s.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := stop(s, 10*time.Second); err != nil {
		t.Error(err)
	}
	if got := <-status; got != http.StatusOK {
		t.Errorf("status %d", got)
	}
}

// Guards against a stop that waits for callers to go away and then cuts their requests.
func TestStopRefusesCallersThatStay(t *testing.T) {
	s := start(t, &server{work: 100 * time.Millisecond})
	results := make(chan int, 1000)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 4 {
		go func() {
			for ctx.Err() == nil {
				conn, err := net.Dial("tcp", s.address)
				if err != nil {
					return
				}
				results <- (&connection{Conn: conn, reader: bufio.NewReader(conn)}).get()
				_ = conn.Close()
			}
		}()
	}
	took, err := stop(s, 2*time.Second)
	if err != nil || took > 2*time.Second+slack {
		t.Errorf("stop took %v: %v", took, err)
	}
	cancel()
	for range len(results) {
		if got := <-results; got != http.StatusOK && got != http.StatusServiceUnavailable {
			t.Errorf("status %d", got)
		}
	}
}

// Guards against connections without a request that hold up a stop.
func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	s := start(t, &server{})
	dial(t, s.address)
	used := dial(t, s.address)
	if got := used.get(); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	if took, err := stop(s, 20*time.Second); err != nil || took > slack {
		t.Errorf("stop took %v: %v", took, err)
	}
}

// Guards against a cut where an answer is still possible: at the end of its time a stop
// interrupts requests, and their callers get an answer.
func TestStopAnswersRequestsThatTakeTooLong(t *testing.T) {
	s := start(t, &server{work: time.Hour})
	status := make(chan int, 1)
	caller := dial(t, s.address)
	go func() { status <- caller.get() }()
	for s.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	took, err := stop(s, 200*time.Millisecond)
	var interrupted *drain.Error
	if !errors.As(err, &interrupted) || interrupted.Kind != drain.KindInterrupted || s.Interrupted() != 1 || took > slack {
		t.Errorf("stop took %v, interrupted %d: %v", took, s.Interrupted(), err)
	}
	if got := <-status; got != http.StatusBadGateway {
		t.Errorf("status %d", got)
	}
}

// A handler that does not heed the interruption does not hold up the stop.
func TestStopDoesNotWaitForDeafHandlers(t *testing.T) {
	s := start(t, &server{work: 5 * time.Second, deaf: true})
	caller := dial(t, s.address)
	go caller.get()
	for s.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	if took, err := stop(s, 200*time.Millisecond); err == nil || took > 200*time.Millisecond+drain.AnswerTime+slack {
		t.Errorf("stop took %v: %v", took, err)
	}
}

// A request on an open connection that arrives while others finish is refused at once.
func TestLateRequestIsRefused(t *testing.T) {
	s := start(t, &server{work: time.Second})
	first, late := dial(t, s.address), dial(t, s.address)
	status := make(chan int, 1)
	go func() { status <- first.get() }()
	for s.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	done := make(chan error, 1)
	go func() {
		_, err := stop(s, 1200*time.Millisecond)
		done <- err
	}()
	time.Sleep(800 * time.Millisecond)
	if got := late.get(); got != http.StatusServiceUnavailable {
		t.Errorf("late request: status %d", got)
	}
	if conn, err := net.DialTimeout("tcp", s.address, time.Second); err == nil {
		_ = conn.Close()
		t.Error("a new connection was accepted")
	}
	if got := <-status; got != http.StatusOK {
		t.Errorf("first request: status %d", got)
	}
	if err := <-done; err != nil || s.served.Load() != 1 {
		t.Errorf("stop: %v, served %d", err, s.served.Load())
	}
}

// pipes is a listener whose connections have no buffers.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	// delay is how long a connection waits to be accepted.
	delay time.Duration
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		select {
		case <-time.After(p.delay):
			return conn, nil
		case <-p.closed:
			_ = conn.Close()
			return nil, net.ErrClosed
		}
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (*pipes) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against an answer that is cut while it is being written, although there is time
// left: a caller may read slowly.
func TestStopWaitsUntilAnswersAreWritten(t *testing.T) {
	s := &server{}
	listener := &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
	web := &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: time.Second}
	s.Attach(web, listener)
	go func() { _ = web.Serve(listener) }()
	client, conn := net.Pipe()
	listener.conns <- conn
	caller := &connection{Conn: client, reader: bufio.NewReader(client)}
	if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: d\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for s.served.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	done := make(chan error, 1)
	go func() {
		_, err := stop(s, 10*time.Second)
		done <- err
	}()
	time.Sleep(3 * drain.AnswerTime)
	response, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("status %d, %v", response.StatusCode, err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a stop that takes a time in which its process got no processor for one
// without requests, and closes the listener while connections wait to be accepted.
func TestStopAcceptsConnectionsThatWait(t *testing.T) {
	s := &server{}
	listener := &pipes{conns: make(chan net.Conn), closed: make(chan struct{}), delay: 30 * time.Millisecond}
	web := &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: time.Second}
	s.Attach(web, listener)
	go func() { _ = web.Serve(listener) }()
	client, conn := net.Pipe()
	listener.conns <- conn
	status := make(chan int, 1)
	go func() { status <- (&connection{Conn: client, reader: bufio.NewReader(client)}).get() }()
	if _, err := stop(s, 10*time.Second); err != nil {
		t.Error(err)
	}
	if got := <-status; got != http.StatusOK {
		t.Errorf("status %d", got)
	}
}
