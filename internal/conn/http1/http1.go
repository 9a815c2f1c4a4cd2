// Package http1 sends HTTP/1.1 requests to one target over connections that it
// keeps. Unlike http.Transport it never sends a request twice by itself, tells
// whether a request that failed was sent at all, and never gives bytes that
// belong to no request to anyone.
//
// # Usage
//
//	p := &http1.Pool{Address: "10.0.0.7:8080"}
//	reply, err := p.Do(ctx, request, deadline)
//	var e *http1.Error
//	if errors.As(err, &e) && e.Kind == http1.KindNotSent {
//		// the target has not seen the request
//	}
//
// A context that ends closes the connection in use, which tells the target to
// stop.
package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/bulk"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	// KindNotSent means that no byte of the request left this host, or that the
	// connection was refused.
	KindNotSent Kind = "NotSent"
	// KindBroken means that the connection ended before a whole reply; the
	// request may have run.
	KindBroken Kind = "Broken"
	// KindReset means that a new connection ended before any byte of a reply, as
	// when the target has more connections than it takes; the request may have run.
	KindReset Kind = "Reset"
	// KindExpired means that the time was up; the request may have run.
	KindExpired Kind = "Expired"
	// KindCorrupt means that what came was no reply of the protocol.
	KindCorrupt Kind = "Corrupt"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	// readBuffer fits the head and body of a usual reply.
	readBuffer = 2 << 10
	// writeBuffer fits a usual request, so that it leaves in one packet.
	writeBuffer = 4 << 10
	// replyMost bounds the body of a reply.
	replyMost = 8 << 20
	// exactMost is the length up to which a body's buffer is made before the
	// body has come: a reply may announce more than it has.
	exactMost = 64 << 10
	// inlineBody is the size up to which a body is written before the reply is
	// read; it fits the windows of a connection.
	inlineBody = 8 << 10
	// idleMargin is how long before the target closes an idle connection it is
	// no longer used.
	idleMargin = time.Second
	// idleMost is how long an idle connection is kept when the target does not say.
	idleMost = 30 * time.Second
	// restMost is how long a connection may have rested that carries a request which
	// must not be sent again.
	restMost = 100 * time.Millisecond
	// resetSlack is how much later than the way there and back the reset of a new
	// connection may come that a target has no room for.
	resetSlack = 3 * time.Millisecond
	// straysMost is how many replies to other requests are skipped before one.
	straysMost = 3
	// idleSoonest is the idle time of a target that closes within a second.
	idleSoonest = 300 * time.Millisecond
)

// Reply is a whole reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// conn is one connection; it serves one request at a time.
type conn struct {
	net.Conn
	// allowance is what reader reads from.
	allowance *allowance
	reader    *bufio.Reader
	expire    time.Time
	// rests is since when the connection is idle.
	rests time.Time
	// used is true after the first reply.
	used bool
	// mark is that of the last request.
	mark string
	// opening is how long it took to open.
	opening time.Duration
}

// crowded reports whether the target may have reset the connection because it has
// too many: it is new, and the reset came as soon as one can.
func (c *conn) crowded(took time.Duration) bool {
	return !c.used && took <= 2*c.opening+resetSlack
}

func newConn(raw net.Conn, moved *atomic.Int64) *conn {
	if moved == nil {
		moved = &atomic.Int64{}
	}
	limited := &allowance{Conn: raw, moved: moved}
	return &conn{Conn: raw, allowance: limited, reader: bufio.NewReaderSize(limited, readBuffer)}
}

// close ends a connection; an error leaves nothing to do.
func (c *conn) close() { _ = c.Close() }

// quiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failed == syscall.EAGAIN || failed == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// counter counts the bytes that left for the target.
type counter struct {
	net.Conn
	sent  int
	moved *atomic.Int64
}

func (w *counter) Write(data []byte) (int, error) {
	n, err := w.Conn.Write(data)
	w.sent += n
	w.moved.Add(int64(n))
	return n, err
}

// exchange sends one request and reads its reply. Keep reports whether the
// connection may be used again.
func (c *conn) exchange(request *http.Request, deadline time.Time, p *Pool) (reply *Reply, keep bool, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return nil, false, &Error{Op: "send", Kind: KindNotSent, Err: err}
	}
	out := &counter{Conn: c.Conn, moved: c.allowance.moved}
	written := make(chan error, 1)
	strays := 0
	if request.ContentLength > inlineBody {
		// A target may reply before it has read a long body.
		go func() { written <- write(out, request) }()
	} else if err := write(out, request); err != nil {
		return nil, false, c.failure("send", out.sent == 0, err)
	} else {
		written <- nil
	}
	c.allowance.left = headMost
	sent := time.Now()
	if _, err := c.reader.Peek(1); err != nil && c.crowded(time.Since(sent)) && errors.Is(err, syscall.ECONNRESET) {
		return nil, false, &Error{Op: "receive", Kind: KindReset, Err: err}
	}
	for range straysMost + 1 {
		if reply, keep, err = c.receive(request, p.bulk()); err != nil {
			return nil, false, c.failure("receive", false, err)
		}
		if !p.stray(c, reply) {
			break
		}
		strays++
		c.allowance.left = headMost
	}
	if strays > straysMost {
		return nil, false, &Error{Op: "receive", Kind: KindCorrupt, Err: errStrays}
	}
	select {
	case err := <-written:
		keep = keep && err == nil && strays == 0
	default:
		keep = false
	}
	return reply, keep, nil
}

// receive reads one reply. Keep reports whether another may follow on the connection.
func (c *conn) receive(request *http.Request, shared *bulk.Bulk) (reply *Reply, keep bool, err error) {
	response, err := c.readHead(request)
	if err != nil {
		return nil, false, err
	}
	defer func() {
		// What is left of a body is not read; closing has nothing to report then.
		c.allowance.left = 0
		_ = response.Body.Close()
	}()
	c.used = true
	body, err := c.readBody(response, shared)
	if err != nil {
		return nil, false, err
	}
	reply = &Reply{Status: response.StatusCode, Header: response.Header, Body: body}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	keep = framed && !response.Close && c.reader.Buffered() == 0
	c.expire = time.Now().Add(idleTime(response.Header.Get("Keep-Alive")))
	return reply, keep, nil
}

// writers are the buffers of requests that are being written.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

func write(out io.Writer, request *http.Request) error {
	w := writers.Get().(*bufio.Writer)
	defer func() {
		w.Reset(nil)
		writers.Put(w)
	}()
	w.Reset(out)
	if err := request.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

func (c *conn) failure(op string, unsent bool, err error) error {
	kind := KindCorrupt
	var network net.Error
	switch {
	case unsent:
		kind = KindNotSent
	case errors.As(err, &network) && network.Timeout():
		kind = KindExpired
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed),
		errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.As(err, &network):
		kind = KindBroken
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

// idleTime reads how long the target keeps an idle connection from the value
// of Keep-Alive, such as "timeout=5, max=100".
func idleTime(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		name, seconds, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		count, err := strconv.Atoi(strings.TrimSpace(seconds))
		if err != nil || count < 0 {
			continue
		}
		return max(time.Duration(count)*time.Second-idleMargin, idleSoonest)
	}
	return idleMost
}
