// Package store implements a fake of the platform's key-value service: a subset
// of the etcd v3 JSON gateway with compare-and-swap, leases and watches. It counts
// calls, limits their rate, and can be down, slow, or drop the reply to a write
// that took effect. It can also be restored from a snapshot.
//
// # Usage
//
//	s := &store.Store{}
//	err := s.Start("127.0.0.1:0")
//	s.SetFaults(store.Faults{LoseReplies: 1})
//	snapshot := s.Snapshot()
//	s.Restore(snapshot) // what was written since is gone, and revisions are given out again
package store

import (
	"cmp"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/etcd"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

// Faults are the faults that a test can inject.
type Faults struct {
	// Down refuses every call and breaks the watches.
	Down bool
	// Delay is added to each call.
	Delay time.Duration
	// LoseReplies is the number of following writes whose replies are dropped.
	LoseReplies int
}

// Store is a fake store. Exported fields must be set before Start.
type Store struct {
	// CallsPerSecond is the rate above which calls are refused; zero means no limit.
	CallsPerSecond float64

	mu              mutex.Mutex
	faults          Faults
	revision        int64
	compactRevision int64
	keys            map[string]etcd.KeyValue
	log             []etcd.Event
	leaseExpiry     map[int64]time.Time
	leaseTTLs       map[int64]time.Duration
	changed         chan struct{}
	calls           map[string]int64
	limiter         *rate.Limiter
	// restores is the number of restores. It determines the IDs of the cluster and of its
	// member, and ends the watches of before.
	restores uint64
	server   *http.Server
	address  string
}

// Start listens and serves. After a Stop, Start serves the same keys again.
func (s *Store) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.server = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second}
	s.address = listener.Addr().String()
	server := s.server
	// Serve always returns an error when the server is closed.
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Handler returns the HTTP handler of the gateway, which Start serves.
func (s *Store) Handler() http.Handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		s.keys = map[string]etcd.KeyValue{}
		s.leaseExpiry = map[int64]time.Time{}
		s.leaseTTLs = map[int64]time.Duration{}
		s.calls = map[string]int64{}
		s.changed = make(chan struct{})
		s.revision = 1
	}
	if s.CallsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(s.CallsPerSecond), int(s.CallsPerSecond))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", handle(s, "range", s.rangeKeys))
	mux.HandleFunc("POST /v3/kv/txn", handle(s, "txn", s.transact))
	mux.HandleFunc("POST /v3/lease/grant", handle(s, "grant", s.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", handle(s, "keepalive", s.keepAlive))
	mux.HandleFunc("POST /v3/watch", s.watch)
	return mux
}

// URL returns the base URL.
func (s *Store) URL() string { return "http://" + s.address }

// Address returns the address that the store listens on.
func (s *Store) Address() string { return s.address }

// Stop closes the server and keeps the keys.
func (s *Store) Stop() { _ = s.server.Close() }

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// Calls returns the number of calls by kind; an idle watch counts as a call of
// kind "waiting" once a second.
func (s *Store) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Compact discards the event log up to the current revision.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactRevision = s.revision
	s.log = nil
}

// wakeWatches makes the watches look for new events and faults.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// admit counts a call, applies the faults that precede its effect and reports
// whether the call may proceed.
func (s *Store) admit(w http.ResponseWriter, name string) bool {
	s.mu.Lock()
	s.calls[name]++
	faults, limiter := s.faults, s.limiter
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	switch {
	case faults.Down:
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	case limiter != nil && !limiter.Allow():
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return false
	}
	return true
}

// handle decodes a call, applies it and writes its reply.
func handle[Q, R any](s *Store, name string, apply func(*Q) (R, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Q
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !s.admit(w, name) {
			return
		}
		s.mu.Lock()
		response, wrote := apply(&request)
		dropReply := wrote && s.faults.LoseReplies > 0
		if dropReply {
			s.faults.LoseReplies--
		}
		s.mu.Unlock()
		if dropReply {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		// If the write fails, the client sees it.
		_ = json.NewEncoder(w).Encode(response)
	}
}

func (s *Store) rangeKeys(q *etcd.RangeRequest) (etcd.RangeResponse, bool) {
	s.expire()
	response := etcd.RangeResponse{Header: s.header()}
	for key, kv := range s.keys {
		inRange := len(q.RangeEnd) > 0 && key >= string(q.Key) && key < string(q.RangeEnd)
		if key == string(q.Key) || inRange {
			response.Kvs = append(response.Kvs, kv)
		}
	}
	slices.SortFunc(response.Kvs, func(a, b etcd.KeyValue) int { return cmp.Compare(string(a.Key), string(b.Key)) })
	return response, false
}

func (s *Store) transact(q *etcd.TxnRequest) (etcd.TxnResponse, bool) {
	s.expire()
	response := etcd.TxnResponse{Succeeded: true}
	for _, c := range q.Compare {
		if s.keys[string(c.Key)].ModRevision != c.ModRevision {
			response.Succeeded = false
		}
	}
	operations := q.Success
	if !response.Succeeded {
		operations = q.Failure
	}
	wrote := false
	for _, o := range operations {
		if o.Put != nil || o.Delete != nil {
			wrote = true
		}
	}
	if wrote {
		s.revision++
	}
	for _, o := range operations {
		response.Responses = append(response.Responses, s.applyOperation(o))
	}
	if wrote {
		s.wakeWatches()
	}
	response.Header = s.header()
	return response, wrote
}

func (s *Store) applyOperation(o etcd.Operation) etcd.OperationResponse {
	switch {
	case o.Put != nil:
		old := s.keys[string(o.Put.Key)]
		kv := etcd.KeyValue{Key: o.Put.Key, Value: o.Put.Value, ModRevision: s.revision, Version: old.Version + 1, Lease: o.Put.Lease}
		s.keys[string(o.Put.Key)] = kv
		s.log = append(s.log, etcd.Event{Kv: kv})
	case o.Delete != nil:
		s.remove(string(o.Delete.Key))
	case o.Range != nil:
		response, _ := s.rangeKeys(o.Range)
		return etcd.OperationResponse{Range: &response}
	}
	return etcd.OperationResponse{}
}

func (s *Store) remove(key string) {
	if _, exists := s.keys[key]; !exists {
		return
	}
	delete(s.keys, key)
	s.log = append(s.log, etcd.Event{Type: "DELETE", Kv: etcd.KeyValue{Key: []byte(key), ModRevision: s.revision}})
}

// expire removes the keys of expired leases.
func (s *Store) expire() {
	now := time.Now()
	for id, end := range s.leaseExpiry {
		if now.Before(end) {
			continue
		}
		delete(s.leaseExpiry, id)
		s.revision++
		for key, kv := range s.keys {
			if kv.Lease == id {
				s.remove(key)
			}
		}
		s.wakeWatches()
	}
}

func (s *Store) grant(q *etcd.GrantRequest) (etcd.Lease, bool) {
	s.revision++
	ttl := time.Duration(q.TTL) * time.Second
	s.leaseExpiry[s.revision] = time.Now().Add(ttl)
	s.leaseTTLs[s.revision] = ttl
	return etcd.Lease{ID: s.revision, TTL: q.TTL}, true
}

func (s *Store) keepAlive(q *etcd.Lease) (etcd.KeepAliveResponse, bool) {
	s.expire()
	var response etcd.KeepAliveResponse
	response.Result.ID = q.ID
	if _, alive := s.leaseExpiry[q.ID]; alive {
		s.leaseExpiry[q.ID] = time.Now().Add(s.leaseTTLs[q.ID])
		response.Result.TTL = int64(s.leaseTTLs[q.ID].Seconds())
	}
	return response, false
}

func (s *Store) header() etcd.Header {
	return etcd.Header{ClusterID: 1 + s.restores, MemberID: 101 + s.restores, Revision: s.revision}
}

// watch streams the changes of a key.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	var request etcd.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.admit(w, "watch") {
		return
	}
	encoder := json.NewEncoder(w)
	flusher, _ := w.(http.Flusher)
	send := func(response *etcd.WatchResponse) bool {
		err := encoder.Encode(response)
		flusher.Flush()
		return err == nil
	}
	s.mu.Lock()
	next := request.Create.StartRevision
	if next == 0 {
		next = s.revision + 1
	}
	compacted := next <= s.compactRevision
	restores := s.restores
	var created etcd.WatchResponse
	created.Result.Header = s.header()
	s.mu.Unlock()
	created.Result.Created = true
	created.Result.Canceled = compacted
	if compacted {
		created.Result.CompactRevision = s.compactRevision
	}
	if !send(&created) || compacted {
		return
	}
	for {
		events, changed, ended := s.eventsSince(&request, restores, &next)
		if ended {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			var response etcd.WatchResponse
			response.Result.Events = events
			if !send(&response) {
				return
			}
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Second):
			s.mu.Lock()
			s.calls["waiting"]++
			s.mu.Unlock()
		}
	}
}

// eventsSince returns the events of the watched key since revision next, and
// advances next past the current revision. A watch from a later revision waits for it.
// It reports whether the watch, which began after the given number of restores, has ended.
func (s *Store) eventsSince(request *etcd.WatchRequest, restores uint64, next *int64) (events []etcd.Event, changed <-chan struct{}, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.log {
		if e.Kv.ModRevision >= *next && string(e.Kv.Key) == string(request.Create.Key) {
			events = append(events, e)
		}
	}
	*next = max(*next, s.revision+1)
	return events, s.changed, s.faults.Down || s.restores != restores
}
