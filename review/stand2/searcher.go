//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// searcher is a stand-in for one searcher. Its exported fields are set before start.
type searcher struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Queue   int
	Work    time.Duration
	// Behave, if set, is asked before a request runs and may answer it instead; it returns
	// true if it has.
	Behave func(s *searcher, w http.ResponseWriter, r *http.Request) bool

	address string
	born    int64
	server  *http.Server
	slots   chan struct{}
	running atomic.Int64
	waiting atomic.Int64
	served  atomic.Int64
	once    sync.Once
}

func (s *searcher) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.born = listener.Addr().String(), time.Now().UnixMilli()
	s.slots = make(chan struct{}, s.Slots)
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

func (s *searcher) stop() { s.once.Do(func() { _ = s.server.Close() }) }

// entry is the searcher's registration in the store.
func (s *searcher) entry(state string) []byte {
	return fmt.Appendf(nil, entryFormat,
		s.Service, s.address, s.Zone, s.Slots, state, s.born)
}

// notRun answers that the request has not run.
func (s *searcher) notRun(w http.ResponseWriter, r *http.Request, status int) {
	s.head(w, r)
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

func (s *searcher) head(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerLoad, fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), s.Slots))
}

func (s *searcher) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(headerOwnID, s.ID)
		return
	}
	if expected := r.Header.Get(headerInstance); expected != "" && expected != s.ID {
		s.notRun(w, r, http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get(headerID) == "" {
		s.notRun(w, r, http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if s.Behave != nil && s.Behave(s, w, r) {
		return
	}
	if !s.enter(w, r) {
		return
	}
	s.running.Add(1)
	defer func() {
		s.running.Add(-1)
		<-s.slots
	}()
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		return
	}
	s.succeed(w, r)
}

// enter waits for a slot. It returns false if the request has been rejected or dropped.
func (s *searcher) enter(w http.ResponseWriter, r *http.Request) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if s.waiting.Add(1) > int64(s.Queue) {
		s.waiting.Add(-1)
		s.notRun(w, r, http.StatusServiceUnavailable)
		return false
	}
	defer s.waiting.Add(-1)
	millis, _ := strconv.Atoi(r.Header.Get(headerDeadline))
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-timer.C:
		s.notRun(w, r, http.StatusServiceUnavailable)
	case <-r.Context().Done():
	}
	return false
}

func (s *searcher) succeed(w http.ResponseWriter, r *http.Request) {
	s.head(w, r)
	body := s.records(3)
	w.Header().Set(headerSignature, s.signature(r.Header.Get(headerID)))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body)
	s.served.Add(1)
}

func (s *searcher) signature(id string) string { return s.ID + "." + id }

// records returns records of 16 bytes.
func (s *searcher) records(count int) []byte {
	var body []byte
	for i := range count {
		body = fmt.Appendf(body, "%-14.14s%02d", s.ID, i)
	}
	return body
}
