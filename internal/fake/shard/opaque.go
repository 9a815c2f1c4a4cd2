package shard

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// RecordBytes is the length of a record of an opaque answer, and
// recordsPerAnswer the number of records in an answer.
const (
	RecordBytes      = 16
	recordsPerAnswer = 8
)

// opaque answers a GET request with records that depend on the service and the
// path, and any other request with its method, its path and the size of its body.
func (s *Searcher) opaque(w http.ResponseWriter, r *http.Request) {
	s.increment(&s.counts.Requests)
	id := r.Header.Get(wire.HeaderRequest)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
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
	if s.refuseIfBusy(w) || !s.acquireSlot(ctx) {
		return
	}
	header.Del(wire.HeaderNotRun)
	defer s.releaseSlot()
	if !s.simulateWork(ctx, r) {
		s.increment(&s.counts.Abandoned)
		return
	}
	if s.isCrashQuery(r.URL.Path) {
		s.Crash()
		return
	}
	s.mu.Lock()
	s.runs[id]++
	lost := s.behaviour.DropReplies
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	answer := Records(s.Service, r.URL.Path)
	if r.Method != http.MethodGet {
		answer = fmt.Appendf(nil, "%s %s: done once, %d bytes", r.Method, r.URL.Path, len(body))
	}
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	// If the write fails, the client sees a lost connection.
	_, _ = w.Write(answer)
}

// Records returns the records with which searchers of a service answer a GET
// request for a path.
func Records(service, path string) []byte {
	var records []byte
	for number := range recordsPerAnswer {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", service, path, number))
		records = append(records, sum[:RecordBytes]...)
	}
	return records
}
