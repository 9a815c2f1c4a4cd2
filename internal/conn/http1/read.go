package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/bulk"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/dial"
)

const (
	// headMost bounds the bytes of a reply's head, interim replies included.
	headMost = dial.HeadMost
	// interimMost bounds the interim replies before one reply.
	interimMost = 8
	// framingFactor is how many times longer than its body a reply may be on the
	// wire, since chunks have lines of their own.
	framingFactor = 2
	// growth is by which factor the buffer of a long body grows.
	growth = 1.5
	// bulkMost bounds the long bodies under way of a pool that shares no Bulk.
	bulkMost = 2 * replyMost
)

// errStrays means that too many replies to other requests came first.
var errStrays = errors.New("the replies are to other requests")

// errExcess means that more came than is read of one reply.
var errExcess = errors.New("the reply is longer than is read")

// allowance is a connection of which only so many bytes are read.
type allowance struct {
	net.Conn
	left int
	// moved counts all bytes.
	moved *atomic.Int64
}

// Read reads what is still allowed.
func (a *allowance) Read(data []byte) (int, error) {
	if a.left <= 0 {
		return 0, errExcess
	}
	n, err := a.Conn.Read(data[:min(len(data), a.left)])
	a.left -= n
	a.moved.Add(int64(n))
	return n, err
}

// readHead reads the head of a reply and skips interim ones.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	for range interimMost {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if err := response.Body.Close(); err != nil {
			return nil, err
		}
	}
	return nil, errExcess
}

// readBody reads the whole body. Long ones count against what the process
// spends on them.
func (c *conn) readBody(response *http.Response, shared *bulk.Bulk) ([]byte, error) {
	c.allowance.left = framingFactor * replyMost
	size := response.ContentLength
	if size > replyMost {
		return nil, errExcess
	}
	if size >= 0 && size <= exactMost {
		body := make([]byte, size)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	return readLong(response.Body, shared)
}

// readLong reads a body of unknown or great length.
func readLong(reader io.Reader, shared *bulk.Bulk) ([]byte, error) {
	buffered := bufio.NewReaderSize(reader, exactMost)
	taken := int64(0)
	defer func() { shared.Give(taken) }()
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(exactMost, int(growth*float64(cap(body))))
			if size > framingFactor*replyMost || !shared.Take(int64(size-cap(body))) {
				return nil, errExcess
			}
			taken += int64(size - cap(body))
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := buffered.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > replyMost:
			return nil, errExcess
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
