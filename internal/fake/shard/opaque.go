package shard

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// RecordBytes is the length of a record of an opaque answer, and recordsEach
// the number in one.
const (
	RecordBytes = 16
	recordsEach = 8
)

// opaque answers any request: a GET with records that depend on the searcher
// and the path, anything else with a note of what it has done, once.
func (s *Searcher) opaque(w http.ResponseWriter, r *http.Request) {
	s.count(&s.counts.Requests)
	id := r.Header.Get(wire.HeaderRequest)
	body, err := io.ReadAll(io.LimitReader(r.Body, mostRequestBytes))
	if err != nil {
		return
	}
	header := w.Header()
	header.Set(wire.HeaderRequest, id)
	header.Set(wire.HeaderServedBy, s.Address())
	load := s.load()
	header.Set(wire.HeaderLoad, fmt.Sprintf("%d,%d", load.InFlight, load.Queued))
	ctx, cancel := requestContext(r)
	defer cancel()
	header.Set(wire.HeaderNotRun, "true")
	if s.refuses(w) || !s.enter(ctx) {
		return
	}
	header.Del(wire.HeaderNotRun)
	defer s.leave()
	if !s.work(ctx, r) {
		s.count(&s.counts.Abandoned)
		return
	}
	if s.crashes(r.URL.Path) {
		s.Crash()
		return
	}
	s.mu.Lock()
	s.runs[id]++
	lost := s.behaviour.ResultLost
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	answer := Records(s.Service, r.URL.Path)
	if r.Method != http.MethodGet {
		answer = fmt.Appendf(nil, "%s %s: done once, %d bytes", r.Method, r.URL.Path, len(body))
	}
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	// A failed write is the caller's loss, who sees it as a lost connection.
	_, _ = w.Write(answer)
}

// Records returns the records that searchers of a service answer a path with.
func Records(service, path string) []byte {
	var records []byte
	for number := range recordsEach {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", service, path, number))
		records = append(records, sum[:RecordBytes]...)
	}
	return records
}
