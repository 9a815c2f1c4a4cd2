// Package http1 sends HTTP/1.1 requests to one target over pooled connections.
// Unlike http.Transport it never sends a request twice by itself, reports
// whether a failed request was sent at all, and never takes unexpected bytes on
// a connection for a reply.
//
// # Usage
//
//	p := &http1.Pool{Address: "10.0.0.7:8080"}
//	reply, err := p.Do(ctx, request, deadline)
//	var e *http1.Error
//	if errors.As(err, &e) && e.Kind == http1.KindNotSent {
//		// the target has not received the request
//	}
//
// When the context ends, the pool closes the connection in use, so that the target
// can stop its work on the request.
package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/bulk"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	// KindNotSent means that no byte of the request left this host, or that the
	// target refused the connection.
	KindNotSent Kind = "NotSent"
	// KindWithheld means that the gate kept the request back, so that no byte of it
	// left this host.
	KindWithheld Kind = "Withheld"
	// KindBroken means that the connection ended before a whole reply; the
	// request may have run.
	KindBroken Kind = "Broken"
	// KindReset means that a new connection was reset before any byte of a reply,
	// as when the target is at its connection limit; the request may have run.
	KindReset Kind = "Reset"
	// KindExpired means that the deadline passed; the request may have run.
	KindExpired Kind = "Expired"
	// KindCorrupt means that the received bytes are not a valid HTTP/1.1 reply.
	KindCorrupt Kind = "Corrupt"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	// readBufferBytes fits the head and body of a typical reply.
	readBufferBytes = 2 << 10
	// writeBufferBytes fits a typical request, so that it leaves in one packet.
	writeBufferBytes = 4 << 10
	// maxReplyBytes bounds the body of a reply.
	maxReplyBytes = 8 << 20
	// maxPreallocatedBytes is the Content-Length up to which the buffer for a body
	// is allocated before the body arrives: a reply may announce more than it has.
	maxPreallocatedBytes = 64 << 10
	// maxInlineBodyBytes is the size up to which a body is written before the reply
	// is read; it fits the TCP windows of a connection.
	maxInlineBodyBytes = 8 << 10
	// idleMargin is subtracted from the target's idle timeout, so that the target
	// does not close a connection on which a request is being sent.
	idleMargin = time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the target sends
	// no Keep-Alive timeout.
	defaultIdleTimeout = 30 * time.Second
	// maxUnsafeIdle is how long a connection may have been idle to be used for a
	// request that must not be sent again.
	maxUnsafeIdle = 100 * time.Millisecond
	// resetMargin is added to twice the connect time to get the time within which a
	// target at its connection limit resets a new connection.
	resetMargin = 3 * time.Millisecond
	// maxMismatchedReplies bounds the replies to other requests that are skipped
	// before the expected one.
	maxMismatchedReplies = 3
	// roomPollInterval is the time between attempts to find room for a reply.
	roomPollInterval = 10 * time.Millisecond
	// probeTimeout bounds a probe; a target that takes longer has not refused it.
	probeTimeout = time.Second
	// minIdleTimeout is used if the target closes idle connections within a second.
	minIdleTimeout = 300 * time.Millisecond
)

// Reply is a complete reply.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// conn is one connection; it serves one request at a time.
type conn struct {
	net.Conn
	// limited is the source of reader.
	limited   *limitedConn
	reader    *bufio.Reader
	expiresAt time.Time
	idleSince time.Time
	// used is true after the first reply.
	used bool
	// requestID is that of the last request.
	requestID string
	// connectTime is how long it took to open the connection.
	connectTime time.Duration
	// claim, if set, bounds the bodies of the replies to the current request, which is
	// given up at deadline.
	claim    *room.Claim
	deadline time.Time
	closed   atomic.Bool
}

// mayBeOverConnectionLimit reports whether the target may have reset the
// connection because it is at its connection limit: the connection is new, and the
// reset came within twice the connect time plus resetMargin.
func (c *conn) mayBeOverConnectionLimit(took time.Duration) bool {
	return !c.used && took <= 2*c.connectTime+resetMargin
}

func newConn(raw net.Conn, transferredBytes *atomic.Int64) *conn {
	if transferredBytes == nil {
		transferredBytes = &atomic.Int64{}
	}
	limited := &limitedConn{Conn: raw, transferredBytes: transferredBytes}
	return &conn{Conn: raw, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes)}
}

// close closes the connection; an error needs no handling.
func (c *conn) close() {
	c.closed.Store(true)
	_ = c.Close()
}

// isQuiet reports whether nothing has arrived on an idle connection: neither
// the end of the stream nor unexpected bytes.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	nothingArrived := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingArrived = failed == syscall.EAGAIN || failed == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && nothingArrived
}

// exchange sends one request and reads its reply; keep reports whether the
// connection may be used again.
func (c *conn) exchange(request *http.Request, deadline time.Time, p *Pool) (reply *Reply, keep bool, err error) {
	if err := c.SetDeadline(deadline); err != nil {
		return nil, false, &Error{Op: "send", Kind: KindNotSent, Err: err}
	}
	c.deadline = deadline
	began := time.Now()
	out := c.send(request)
	if err := out.localError(); err != nil {
		return nil, false, c.failure("send", out.sentBytes == 0, err)
	}
	mismatched := 0
	c.limited.remaining = maxHeadBytes
	if _, err := c.reader.Peek(1); err != nil {
		return nil, false, c.failureBeforeReply(out, err, time.Since(began))
	}
	for range maxMismatchedReplies + 1 {
		if reply, keep, err = c.receive(request, out, p.bodyBudget()); err != nil {
			return nil, false, c.failure("receive", false, err)
		}
		if !p.isMismatched(c, reply) {
			break
		}
		mismatched++
		c.limited.remaining = maxHeadBytes
	}
	if mismatched > maxMismatchedReplies {
		return nil, false, &Error{Op: "receive", Kind: KindCorrupt, Err: errMismatchedReplies}
	}
	return reply, keep && mismatched == 0 && out.isWhole(), nil
}

// receive reads one reply; keep reports whether the connection may carry another.
func (c *conn) receive(request *http.Request, out *outgoing, bodyBudget *bulk.Budget) (reply *Reply, keep bool, err error) {
	response, err := c.readHead(request)
	if err != nil {
		return nil, false, err
	}
	defer func() {
		// Keep Close from reading the rest of the body; its error has no meaning here.
		c.limited.remaining = 0
		_ = response.Body.Close()
	}()
	c.used = true
	// A reply to HEAD states the length that a reply to GET would have, and ends with its
	// head. http.ReadResponse handles the statuses without a body.
	bodiless := request.Method == http.MethodHead
	var body []byte
	if !bodiless {
		if body, err = c.readBody(response, bodyBudget); err != nil {
			return nil, false, err
		}
	}
	reply = &Reply{Status: response.StatusCode, Header: response.Header, Body: body}
	framed := bodiless || response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !framed {
		// The body ends with the stream, or was cut by a reset.
		if err := out.endError(); err != nil {
			return nil, false, err
		}
	}
	keep = framed && !response.Close && c.reader.Buffered() == 0
	c.expiresAt = time.Now().Add(idleTimeout(response.Header.Get("Keep-Alive")))
	return reply, keep, nil
}

// failureBeforeReply returns the failure of an exchange whose connection ended before the
// first byte of a reply.
func (c *conn) failureBeforeReply(out *outgoing, err error, took time.Duration) error {
	notSent := false
	if errors.Is(err, io.EOF) {
		if lost := out.endError(); lost != nil {
			err = lost
		}
		notSent = out.sentBytes == 0
	}
	if !notSent && c.mayBeOverConnectionLimit(took) && errors.Is(err, syscall.ECONNRESET) {
		return &Error{Op: "receive", Kind: KindReset, Err: err}
	}
	return c.failure("receive", notSent, err)
}

func (c *conn) failure(op string, notSent bool, err error) error {
	kind := KindCorrupt
	var network net.Error
	switch {
	case notSent:
		kind = KindNotSent
	case errors.As(err, &network) && network.Timeout():
		kind = KindExpired
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed),
		errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.As(err, &network):
		kind = KindBroken
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

// idleTimeout returns how long an idle connection may be kept, given the value of
// the target's Keep-Alive header, such as "timeout=5, max=100".
func idleTimeout(value string) time.Duration {
	for _, parameter := range strings.Split(value, ",") {
		name, seconds, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		count, err := strconv.Atoi(strings.TrimSpace(seconds))
		if err != nil || count < 0 {
			continue
		}
		return max(time.Duration(count)*time.Second-idleMargin, minIdleTimeout)
	}
	return defaultIdleTimeout
}
