// Package intake reads the body of a request, within a size, a time and the room that the
// process has for its clients.
//
// # Usage
//
//	r := &intake.Reader{MaxBytes: 256 << 10, Timeout: 10 * time.Second, Take: conn.Take}
//	body, err := r.Read(w, request)
//	var e *intake.Error
//	if errors.As(err, &e) && e.Kind == intake.KindNoRoom {
//		// refuse the request; it may be retried
//	}
package intake

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	// KindTooLarge means that the body has more than MaxBytes.
	KindTooLarge Kind = "TooLarge"
	// KindNoRoom means that there is no room for the body at present.
	KindNoRoom Kind = "NoRoom"
	// KindUnreadable means that the body ended early, is malformed or did not arrive in time.
	KindUnreadable Kind = "Unreadable"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	// minBufferBytes is the size of the first buffer. The buffer grows with what has
	// arrived, since a client may announce more than it sends.
	minBufferBytes   = 4 << 10
	bufferGrowFactor = 4
	// discardTimeout is how long the rest of a refused body is read, so that the client can
	// read the refusal: closing a connection with unread bytes resets it.
	discardTimeout = 250 * time.Millisecond
)

// Reader reads bodies. Exported fields are set before Read.
type Reader struct {
	MaxBytes int64
	// Timeout bounds the time for the whole body.
	Timeout time.Duration
	// Take claims room for bytes of the body and reports whether there is any. The claim
	// ends with the request.
	Take func(count int64) bool
}

// Read reads the whole body. After an error, the connection must be closed.
func (r *Reader) Read(w http.ResponseWriter, request *http.Request) ([]byte, error) {
	if request.Body == nil || request.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	// If the deadline cannot be set, the connection is broken, and so is the next read.
	_ = controller.SetReadDeadline(time.Now().Add(r.Timeout))
	body, err := r.readWhole(request)
	if err != nil {
		Discard(w)
		return nil, err
	}
	// Clear the deadline, which would otherwise end a later request on the connection.
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// Discard prepares the refusal of a request whose body has not been read.
func Discard(w http.ResponseWriter) {
	// If the deadline cannot be set, the connection is broken.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
}

func (r *Reader) readWhole(request *http.Request) ([]byte, error) {
	// One byte more shows that a body is too large, or that it has ended.
	maxBytes := r.MaxBytes + 1
	if request.ContentLength > r.MaxBytes {
		return nil, &Error{Op: "read the body", Kind: KindTooLarge}
	}
	if request.ContentLength > 0 {
		maxBytes = request.ContentLength + 1
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(minBufferBytes, bufferGrowFactor*int64(cap(body))), maxBytes)
			if !r.Take(size - int64(cap(body))) {
				return nil, &Error{Op: "read the body", Kind: KindNoRoom}
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > r.MaxBytes:
			return nil, &Error{Op: "read the body", Kind: KindTooLarge}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, &Error{Op: "read the body", Kind: KindUnreadable, Err: err}
		}
	}
}
