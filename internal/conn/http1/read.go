package http1

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/bulk"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/dial"
)

const (
	// maxHeadBytes bounds the head of a reply, including interim (1xx) replies.
	maxHeadBytes = dial.MaxHeadBytes
	// maxInterimReplies bounds the interim replies before the final one.
	maxInterimReplies = 8
	// maxFramingFactor bounds the size of a reply on the wire relative to its body,
	// since each chunk adds a line with its size.
	maxFramingFactor = 2
	// minBodyBuffer is the size of the first buffer for a body of unknown length. The buffer
	// grows by shortGrowthFactor up to maxPreallocatedBytes, then by bufferGrowthFactor.
	minBodyBuffer      = 4 << 10
	shortGrowthFactor  = 4
	bufferGrowthFactor = 1.5
	// defaultBodyBudgetBytes bounds the long bodies being read by a pool without a
	// BodyBudget.
	defaultBodyBudgetBytes = 2 * maxReplyBytes
)

// errMismatchedReplies means that too many replies to other requests came first.
var errMismatchedReplies = errors.New("the replies are to other requests")

// errInvalidStatus means that the status of a reply is below 100, such as 000. It is no
// interim reply, so what follows is not the answer.
var errInvalidStatus = errors.New("the status is below 100")

// errReplyTooLong means that a reply exceeds one of the limits.
var errReplyTooLong = errors.New("the reply is longer than is read")

// errUnneeded means that the caller's request ended before there was room for the reply.
var errUnneeded = errors.New("nobody needs the body")

// limitedConn is a connection from which only a limited number of bytes is read.
type limitedConn struct {
	net.Conn
	remaining int
	// transferredBytes counts the bytes sent and received; connections may share it.
	transferredBytes *atomic.Int64
}

// Read reads at most the remaining bytes.
func (c *limitedConn) Read(data []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errReplyTooLong
	}
	n, err := c.Conn.Read(data[:min(len(data), c.remaining)])
	c.remaining -= n
	c.transferredBytes.Add(int64(n))
	return n, err
}

// readHead reads the head of a reply and skips interim ones.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	for range maxInterimReplies {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusContinue {
			return nil, errInvalidStatus
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if err := response.Body.Close(); err != nil {
			return nil, err
		}
	}
	return nil, errReplyTooLong
}

// readBody reads the whole body. It drops the body if the caller's request has ended: the
// reply still shows that the target answers.
func (c *conn) readBody(response *http.Response, bodyBudget *bulk.Budget) ([]byte, error) {
	c.limited.remaining = maxFramingFactor * maxReplyBytes
	body, err := c.readClaimed(response, bodyBudget)
	if errors.Is(err, errUnneeded) {
		_, err = io.Copy(io.Discard, response.Body)
		return nil, err
	}
	return body, err
}

// readClaimed reads the whole body as there is room for it. Long bodies count against the
// shared budget.
func (c *conn) readClaimed(response *http.Response, bodyBudget *bulk.Budget) ([]byte, error) {
	size := response.ContentLength
	if size > maxReplyBytes {
		return nil, errReplyTooLong
	}
	if size >= 0 {
		// The whole length is claimed at once, since replies that have been read in part would
		// take the room of each other.
		if err := c.awaitRoom(size); err != nil {
			return nil, err
		}
	}
	if size >= 0 && (size <= maxPreallocatedBytes || c.claim != nil) {
		body := make([]byte, size)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return c.readGrowing(response.Body, bodyBudget)
}

// awaitRoom waits until the caller's claim has room for more bytes of the reply. The room
// stays claimed until the end of the caller's request.
func (c *conn) awaitRoom(count int64) error {
	if c.claim == nil || c.claim.Take(time.Now(), count) {
		return nil
	}
	defer c.claim.Wait()()
	for !c.claim.Take(time.Now(), count) {
		switch {
		case c.closed.Load():
			return net.ErrClosed
		case c.claim.Closed():
			return errUnneeded
		case !time.Now().Before(c.deadline):
			return os.ErrDeadlineExceeded
		}
		time.Sleep(roomPollInterval)
	}
	return nil
}

// readGrowing reads a body of unknown or great length into a growing buffer.
func (c *conn) readGrowing(reader io.Reader, bodyBudget *bulk.Budget) ([]byte, error) {
	reserved := int64(0)
	defer func() { bodyBudget.Give(reserved) }()
	var body []byte
	for {
		if len(body) == cap(body) {
			size := grownSize(cap(body))
			if size > maxFramingFactor*maxReplyBytes || !bodyBudget.Take(int64(size-cap(body))) {
				return nil, errReplyTooLong
			}
			reserved += int64(size - cap(body))
			if err := c.awaitRoom(int64(size - cap(body))); err != nil {
				return nil, err
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxReplyBytes:
			return nil, errReplyTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grownSize returns the size of the next buffer for a body.
func grownSize(size int) int {
	if size < maxPreallocatedBytes {
		return max(minBodyBuffer, min(shortGrowthFactor*size, maxPreallocatedBytes))
	}
	return int(bufferGrowthFactor * float64(size))
}
