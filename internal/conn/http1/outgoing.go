package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/pass"
)

// outgoing is a request that is being written to a target.
type outgoing struct {
	conn net.Conn
	// transferredBytes counts the bytes sent and received; connections may share it.
	transferredBytes *atomic.Int64
	// ended is closed when nothing more is written; the fields below are then set.
	ended     chan struct{}
	sentBytes int
	err       error
	// connError is the error of the connection that caused err, if it was one. net/http
	// doesn't wrap it.
	connError error
}

// send writes a request, one with a long body in the background: a target may reply
// before it has read that.
func (c *conn) send(request *http.Request) *outgoing {
	o := &outgoing{conn: c.Conn, transferredBytes: c.limited.transferredBytes, ended: make(chan struct{})}
	if request.ContentLength > maxInlineBodyBytes {
		go o.run(request)
	} else {
		o.run(request)
	}
	return o
}

func (o *outgoing) run(request *http.Request) {
	defer close(o.ended)
	o.err = writeRequest(o, request)
}

// Write writes a part of the request.
func (o *outgoing) Write(data []byte) (int, error) {
	n, err := o.conn.Write(data)
	o.sentBytes += n
	o.transferredBytes.Add(int64(n))
	if err != nil && o.connError == nil {
		o.connError = err
	}
	return n, err
}

// hasEnded reports whether nothing more is written.
func (o *outgoing) hasEnded() bool {
	select {
	case <-o.ended:
		return true
	default:
		return false
	}
}

// isWhole reports whether the whole request has been written.
func (o *outgoing) isWhole() bool { return o.hasEnded() && o.err == nil }

// localError returns the error of a request that has failed and can't be replied to: no
// byte of it was sent, or the connection is not the cause.
func (o *outgoing) localError() error {
	if !o.hasEnded() || o.sentBytes > 0 && o.connError != nil {
		return nil
	}
	return o.err
}

// endError ends the writing after the reader has seen the end of the stream. It returns the
// error that the connection ended with, or nil if the target ended the stream: the system
// reports an error of a connection once, and if the writer gets it, the reader sees an end.
func (o *outgoing) endError() error {
	// This fails only if the connection is closed, which ends the writing too.
	_ = o.conn.SetWriteDeadline(time.Unix(1, 0))
	<-o.ended
	switch {
	case errors.Is(o.connError, os.ErrDeadlineExceeded):
		// The writer has not met an error of the connection.
		return nil
	case errors.Is(o.connError, syscall.EPIPE):
		// The connection was reset after the target had ended the stream.
		return nil
	}
	return o.connError
}

// writerPool holds the buffers for writing requests.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

func writeRequest(out io.Writer, request *http.Request) error {
	w := writerPool.Get().(*bufio.Writer)
	defer func() {
		w.Reset(nil)
		writerPool.Put(w)
	}()
	w.Reset(out)
	if err := pass.Write(w, request); err != nil {
		return err
	}
	return w.Flush()
}
