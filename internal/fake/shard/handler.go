package shard

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const maxRequestBytes = 1 << 20

func (s *Searcher) search(w http.ResponseWriter, r *http.Request) {
	s.increment(&s.counts.Requests)
	echo, err := parseEcho(r.Header.Get(wire.HeaderEcho))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(wire.HeaderEcho, r.Header.Get(wire.HeaderEcho))
	var request wire.ShardRequest
	if err := decodeBody(r, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.OnQuery != nil {
		s.OnQuery(request.Query)
	}
	if s.refuseIfBusy(w) {
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if !s.acquireSlot(ctx) {
		s.increment(&s.counts.Abandoned)
		return
	}
	defer s.releaseSlot()
	if !s.simulateWork(ctx, r) {
		s.increment(&s.counts.Abandoned)
		return
	}
	if s.isCrashQuery(request.Query) {
		s.Crash()
		return
	}
	index := s.findIndex(echo.Version, echo.Shard)
	if index == nil {
		http.Error(w, "no such version or shard", http.StatusGone)
		return
	}
	hits, more := index.Search(echo.Shard, &request)
	s.answer(w, &wire.ShardReply{Echo: echo, Hits: hits, More: more, Load: s.load()})
}

func (s *Searcher) execute(w http.ResponseWriter, r *http.Request) {
	s.increment(&s.counts.Requests)
	var order wire.ExecuteOrder
	if err := decodeBody(r, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.refuseIfBusy(w) {
		return
	}
	if !s.acquireSlot(r.Context()) {
		return
	}
	defer s.releaseSlot()
	if time.Now().UnixMilli() > order.NotAfterUnixMillis {
		http.Error(w, "too late", http.StatusTooManyRequests)
		return
	}
	if s.isCrashQuery(order.Command) {
		s.Crash()
		return
	}
	s.mu.Lock()
	s.runs[order.Key]++
	number := len(s.runs)
	lost := s.behaviour.DropReplies
	s.mu.Unlock()
	time.Sleep(s.serviceTime())
	if lost {
		panic(http.ErrAbortHandler)
	}
	reply(w, &wire.ExecuteReply{Key: order.Key, Result: fmt.Sprintf("%s: lot %s/%06d", order.Command, s.Address(), number)})
}

func (s *Searcher) status(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	status := wire.TargetStatus{
		Incarnation: s.address + "/" + strconv.FormatUint(s.incarnation, 10),
		Slots:       s.Slots,
		Connections: s.Connections,
	}
	for i := range s.indexes {
		status.Indexes = append(status.Indexes, s.indexes[i].index)
	}
	s.mu.Unlock()
	status.Load = s.load()
	reply(w, &status)
}

// refuseIfBusy refuses the request if the searcher drains or sheds load, and
// reports whether it did.
func (s *Searcher) refuseIfBusy(w http.ResponseWriter) bool {
	s.mu.Lock()
	draining, shedAll := s.draining, s.behaviour.ShedAll
	if draining {
		s.counts.WhileDraining++
	}
	s.mu.Unlock()
	if draining {
		w.Header().Set("Connection", "close")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return true
	}
	if shedAll || s.QueueLimit > 0 && s.queued.Load() >= int64(s.QueueLimit) {
		s.increment(&s.counts.Shed)
		http.Error(w, "overloaded", http.StatusTooManyRequests)
		return true
	}
	return false
}

// acquireSlot waits for a slot and reports whether it got one.
func (s *Searcher) acquireSlot(ctx context.Context) bool {
	s.mu.Lock()
	slots := s.slots
	s.mu.Unlock()
	select {
	case slots <- struct{}{}:
		s.inFlight.Add(1)
		return true
	default:
	}
	s.increment(&s.counts.Queued)
	s.queued.Add(1)
	defer s.queued.Add(-1)
	select {
	case slots <- struct{}{}:
		s.inFlight.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Searcher) releaseSlot() {
	s.mu.Lock()
	slots := s.slots
	s.mu.Unlock()
	s.inFlight.Add(-1)
	select {
	case <-slots:
	default:
		// A restart replaced the slots.
	}
}

// simulateWork sleeps for the service time of the request, and for the connect
// cost if the connection is new. It returns false if the context ends first.
func (s *Searcher) simulateWork(ctx context.Context, r *http.Request) bool {
	wait := s.serviceTime()
	if seen, ok := r.Context().Value(connKey{}).(*atomic.Bool); ok && !seen.Swap(true) {
		wait += s.ConnectCost
	}
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	micros, err := strconv.ParseInt(r.Header.Get(wire.HeaderTimeout), 10, 64)
	if err != nil || micros <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(micros)*time.Microsecond)
}

// parseEcho reads "request/attempt/shard/version".
func parseEcho(text string) (wire.Echo, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 4 {
		return wire.Echo{}, fmt.Errorf("header %s has %d parts, not 4", wire.HeaderEcho, len(parts))
	}
	attempt, err1 := strconv.ParseUint(parts[1], 10, 64)
	shard, err2 := strconv.Atoi(parts[2])
	version, err3 := strconv.ParseUint(parts[3], 10, 64)
	if err1 != nil || err2 != nil || err3 != nil || shard < 0 {
		return wire.Echo{}, fmt.Errorf("header %s is not request/attempt/shard/version", wire.HeaderEcho)
	}
	return wire.Echo{Request: parts[0], Attempt: attempt, Shard: shard, Version: version}, nil
}

func decodeBody(r *http.Request, value any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return err
	}
	return codec.Decode(body, value)
}

func reply(w http.ResponseWriter, value any) {
	body, err := codec.Encode(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// If the write fails, the client sees a lost connection.
	_, _ = w.Write(body)
}
