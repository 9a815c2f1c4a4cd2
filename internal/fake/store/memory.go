package store

import (
	"io"
	"net/http"
	"sync"
)

// Transport is an http.RoundTripper that calls the store's handler without a
// socket, so that tests can run in virtual time.
type Transport struct {
	handler http.Handler
}

// NewTransport returns a transport that calls the store.
func NewTransport(s *Store) *Transport { return &Transport{handler: s.Handler()} }

// RoundTrip runs the handler and returns the response as soon as the handler has
// sent its status.
func (m *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	reader, writer := io.Pipe()
	w := &pipeWriter{pipe: writer, header: http.Header{}, status: make(chan int, 1)}
	go func() {
		defer func() {
			if recover() != nil {
				w.closeBody(io.ErrUnexpectedEOF)
				return
			}
			w.sendStatus(http.StatusOK)
			w.closeBody(nil)
		}()
		m.handler.ServeHTTP(w, request)
	}()
	select {
	case status := <-w.status:
		if status == 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: w.header, Body: reader, Request: request}, nil
	case <-request.Context().Done():
		_ = reader.Close()
		return nil, request.Context().Err()
	}
}

// pipeWriter is the http.ResponseWriter of the handler. It writes the body to a
// pipe.
type pipeWriter struct {
	pipe   *io.PipeWriter
	header http.Header
	once   sync.Once
	status chan int
}

// Header returns the header of the response.
func (w *pipeWriter) Header() http.Header { return w.header }

// WriteHeader sends the status.
func (w *pipeWriter) WriteHeader(status int) { w.sendStatus(status) }

// Write writes a part of the body to the pipe.
func (w *pipeWriter) Write(body []byte) (int, error) {
	w.sendStatus(http.StatusOK)
	return w.pipe.Write(body)
}

// Flush does nothing, because writes aren't buffered.
func (w *pipeWriter) Flush() {}

func (w *pipeWriter) sendStatus(status int) {
	w.once.Do(func() { w.status <- status })
}

// closeBody closes the body. If no status was sent, RoundTrip returns an error.
func (w *pipeWriter) closeBody(err error) {
	w.sendStatus(0)
	_ = w.pipe.CloseWithError(err)
}
