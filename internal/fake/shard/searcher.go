package shard

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/corpus"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// CrashQuery is the text that crashes a searcher if a query contains it and
// Behaviour.CrashWord is empty.
const CrashQuery = "crash-the-target"

// Behaviour holds the parameters that a test may change while the searcher runs.
type Behaviour struct {
	// Median and Spread are the parameters of the log-normal service time.
	Median time.Duration
	Spread float64
	// StragglerShare of requests take StragglerFactor times longer.
	StragglerShare  float64
	StragglerFactor float64
	// Slowness multiplies every service time; zero means 1.
	Slowness float64
	// ColdFor is the time after the start during which service times are longer:
	// by ColdFactor at first, then falling linearly to normal.
	ColdFor    time.Duration
	ColdFactor float64
	// ShedAll makes the searcher refuse every request as overloaded.
	ShedAll bool
	// Report, if set, replaces the load that the searcher reports.
	Report *wire.Load
	// ReportLag delays the load reports.
	ReportLag time.Duration
	// CrashWord crashes the searcher when a query contains it.
	CrashWord string
	// DropReplies closes the connection without a reply after a command or an
	// opaque request has run.
	DropReplies bool
	// WrongVersionShare of replies name another index version than the requested one.
	WrongVersionShare float64
	// SwappedShare of replies are replaced by the reply to an earlier request.
	SwappedShare float64
	// TruncatedShare of replies are cut off after half of the body.
	TruncatedShare float64
	// DuplicatedShare of replies are sent twice.
	DuplicatedShare float64
}

// Counts are a searcher's counters.
type Counts struct {
	Requests           int64
	Queued             int64
	RefusedConnections int64
	Shed               int64
	Abandoned          int64
	Connections        int64
	Crashes            int64
	// WhileDraining counts requests that arrived while draining.
	WhileDraining int64
}

// Searcher is a fake searcher. Exported fields must be set before Start.
type Searcher struct {
	Service     string
	Slots       int
	Connections int
	// QueueLimit is the number of queued requests at which the searcher sheds
	// load; zero means no limit.
	QueueLimit  int
	ConnectCost time.Duration
	// Seed is the seed of the random service times.
	Seed uint64
	// OnQuery, if set, is called with the text of each search that arrives.
	OnQuery func(query string)

	mu            mutex.Mutex
	behaviour     Behaviour
	random        *rand.Rand
	indexes       []heldIndex
	server        *http.Server
	address       string
	started       time.Time
	incarnation   uint64
	generation    uint64
	open          map[net.Conn]struct{}
	draining      bool
	runs          map[string]int
	loadHistory   []loadReport
	previousReply []byte

	slots    chan struct{}
	inFlight atomic.Int64
	queued   atomic.Int64
	counts   Counts
}

type heldIndex struct {
	corpus *corpus.Corpus
	index  wire.Index
}

type loadReport struct {
	at   time.Time
	load wire.Load
}

type connKey struct{}

// UpdateBehaviour calls change with the behaviour, under the lock.
func (s *Searcher) UpdateBehaviour(change func(*Behaviour)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.behaviour)
}

// Hold adds shards of an index version.
func (s *Searcher) Hold(c *corpus.Corpus, version uint64, shardCount int, shards []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := wire.Index{Service: s.Service, Version: version, ShardCount: shardCount, Shards: shards}
	s.indexes = append(s.indexes, heldIndex{corpus: c, index: index})
	s.generation++
}

// Drop removes an index version.
func (s *Searcher) Drop(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.indexes[:0:0]
	for _, h := range s.indexes {
		if h.index.Version != version {
			kept = append(kept, h)
		}
	}
	s.indexes = kept
	s.generation++
}

// Address returns the address that the searcher listens on.
func (s *Searcher) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Start listens and serves. Each Start begins a new incarnation.
func (s *Searcher) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = listener.Addr().String()
	s.started = time.Now()
	s.incarnation++
	s.draining = false
	s.open = map[net.Conn]struct{}{}
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(s.Seed, 1))
		s.runs = map[string]int{}
	}
	s.slots = make(chan struct{}, max(s.Slots, 1))
	s.inFlight.Store(0)
	s.queued.Store(0)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /search", s.search)
	mux.HandleFunc("POST /execute", s.execute)
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("/", s.opaque)
	s.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 10 * time.Second,
		ConnState:         s.connState,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, new(atomic.Bool))
		},
	}
	server := s.server
	// Serve always returns an error when the server is closed.
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *Searcher) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.counts.Connections++
		if s.Connections > 0 && len(s.open) >= s.Connections {
			s.counts.RefusedConnections++
			_ = conn.Close()
			return
		}
		s.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, conn)
	default:
	}
}

// Stop stops the searcher immediately.
func (s *Searcher) Stop() {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Crash stops the searcher immediately and counts a crash.
func (s *Searcher) Crash() {
	s.mu.Lock()
	s.counts.Crashes++
	s.mu.Unlock()
	s.Stop()
}

// Drain makes the searcher refuse new requests; those in flight finish.
func (s *Searcher) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Counts returns the searcher's counters.
func (s *Searcher) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Runs returns how often the command of each idempotency key, or the opaque
// request of each ID, ran.
func (s *Searcher) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, count := range s.runs {
		runs[key] = count
	}
	return runs
}

func (s *Searcher) increment(counter *int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
}

// serviceTime draws a random service time for one request.
func (s *Searcher) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.behaviour
	seconds := b.Median.Seconds() * math.Exp(b.Spread*s.random.NormFloat64())
	if b.StragglerShare > 0 && s.random.Float64() < b.StragglerShare {
		seconds *= b.StragglerFactor
	}
	if b.Slowness > 0 {
		seconds *= b.Slowness
	}
	if age := time.Since(s.started); age < b.ColdFor {
		left := 1 - age.Seconds()/b.ColdFor.Seconds()
		seconds *= 1 + (b.ColdFactor-1)*left
	}
	return time.Duration(seconds * float64(time.Second))
}

// isCrashQuery reports whether the query crashes the searcher.
func (s *Searcher) isCrashQuery(query string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	word := s.behaviour.CrashWord
	if word == "" {
		word = CrashQuery
	}
	return strings.Contains(query, word)
}

func (s *Searcher) findIndex(version uint64, shard int) *corpus.Index {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.indexes {
		h := &s.indexes[i]
		if h.index.Version != version || shard >= h.index.ShardCount {
			continue
		}
		for _, held := range h.index.Shards {
			if held == shard {
				return h.corpus.Index(version, h.index.ShardCount)
			}
		}
	}
	return nil
}

// load returns the load to report, which the behaviour can delay or replace.
func (s *Searcher) load() wire.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	load := wire.Load{InFlight: int(s.inFlight.Load()), Queued: int(s.queued.Load()), Draining: s.draining, Generation: s.generation}
	b := &s.behaviour
	if b.Report != nil {
		return *b.Report
	}
	if b.ReportLag == 0 {
		return load
	}
	s.loadHistory = append(s.loadHistory, loadReport{at: now, load: load})
	for len(s.loadHistory) > 1 && now.Sub(s.loadHistory[1].at) >= b.ReportLag {
		s.loadHistory = s.loadHistory[1:]
	}
	return s.loadHistory[0].load
}
