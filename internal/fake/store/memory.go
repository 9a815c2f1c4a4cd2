package store

import (
	"io"
	"net/http"
	"sync"
)

// Memory carries calls to a store without a socket, so that a test can run in
// virtual time.
type Memory struct {
	handler http.Handler
}

// NewMemory returns a transport to the store.
func NewMemory(s *Store) *Memory { return &Memory{handler: s.Handler()} }

// RoundTrip runs the handler and returns its reply once it has begun.
func (m *Memory) RoundTrip(request *http.Request) (*http.Response, error) {
	reader, writer := io.Pipe()
	w := &memoryWriter{pipe: writer, header: http.Header{}, begun: make(chan int, 1)}
	go func() {
		defer func() {
			if recover() != nil {
				w.end(io.ErrUnexpectedEOF)
				return
			}
			w.begin(http.StatusOK)
			w.end(nil)
		}()
		m.handler.ServeHTTP(w, request)
	}()
	select {
	case status := <-w.begun:
		if status == 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: w.header, Body: reader, Request: request}, nil
	case <-request.Context().Done():
		_ = reader.Close()
		return nil, request.Context().Err()
	}
}

// memoryWriter is the handler's end.
type memoryWriter struct {
	pipe   *io.PipeWriter
	header http.Header
	once   sync.Once
	begun  chan int
}

// Header returns the reply's header.
func (w *memoryWriter) Header() http.Header { return w.header }

// WriteHeader begins the reply.
func (w *memoryWriter) WriteHeader(status int) { w.begin(status) }

// Write passes on a part of the body.
func (w *memoryWriter) Write(body []byte) (int, error) {
	w.begin(http.StatusOK)
	return w.pipe.Write(body)
}

// Flush does nothing: every write passes at once.
func (w *memoryWriter) Flush() {}

func (w *memoryWriter) begin(status int) {
	w.once.Do(func() { w.begun <- status })
}

// end closes the body; with an error before it has begun, there is no reply.
func (w *memoryWriter) end(err error) {
	w.begin(0)
	_ = w.pipe.CloseWithError(err)
}
