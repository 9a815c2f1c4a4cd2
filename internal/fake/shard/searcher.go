package shard

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/corpus"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// CrashQuery is the text that crashes a searcher that runs a query with it.
const CrashQuery = "crash-the-target"

// Behaviour is what a test may change while the searcher runs.
type Behaviour struct {
	// Median and Spread shape the log-normal service time.
	Median time.Duration
	Spread float64
	// StragglerShare of requests take StragglerFactor times longer.
	StragglerShare  float64
	StragglerFactor float64
	// Slowness multiplies every service time; zero means 1.
	Slowness float64
	// ColdFor is how long after its start the searcher is up to ColdFactor
	// times slower.
	ColdFor    time.Duration
	ColdFactor float64
	// ShedAll refuses every request as overloaded.
	ShedAll bool
	// Report, if set, replaces the load that the searcher reports.
	Report *wire.Load
	// ReportLag delays the load reports.
	ReportLag time.Duration
	// CrashWord crashes the searcher when a query holds it.
	CrashWord string
	// ResultLost drops the connection after an order has taken effect.
	ResultLost bool
	// FalseShare of replies claim another version than asked.
	FalseShare float64
	// CrossedShare of replies are those of an earlier request.
	CrossedShare float64
	// TruncatedShare of replies end in the middle.
	TruncatedShare float64
	// DuplicatedShare of replies are sent twice.
	DuplicatedShare float64
}

// Counts is a searcher's own record of what reached it.
type Counts struct {
	Requests        int64
	OverSlots       int64
	OverConnections int64
	Shed            int64
	Abandoned       int64
	Connections     int64
	Crashes         int64
	// AfterLeaving counts requests that arrived while draining.
	AfterLeaving int64
}

// Searcher is one stand-in searcher. Exported fields are set before Start.
type Searcher struct {
	Service     string
	Slots       int
	Connections int
	// QueueLimit is the number of waiting requests above which it sheds.
	QueueLimit  int
	ConnectCost time.Duration
	// Seed makes the service times repeatable.
	Seed uint64

	mu          sync.Mutex
	behaviour   Behaviour
	random      *rand.Rand
	indexes     []held
	server      *http.Server
	address     string
	started     time.Time
	incarnation uint64
	generation  uint64
	open        map[net.Conn]struct{}
	draining    bool
	runs        map[string]int
	lagged      []laggedLoad
	earlier     []byte

	slots    chan struct{}
	inFlight atomic.Int64
	queued   atomic.Int64
	counts   Counts
}

type held struct {
	corpus *corpus.Corpus
	index  wire.Index
}

type laggedLoad struct {
	at   time.Time
	load wire.Load
}

type connKey struct{}

// Behave changes the behaviour.
func (s *Searcher) Behave(change func(*Behaviour)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.behaviour)
}

// Hold adds shards of an index version.
func (s *Searcher) Hold(c *corpus.Corpus, version uint64, shardCount int, shards []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := wire.Index{Service: s.Service, Version: version, ShardCount: shardCount, Shards: shards}
	s.indexes = append(s.indexes, held{corpus: c, index: index})
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

// Address returns the address it listens on.
func (s *Searcher) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Start listens and serves. A second Start is a new incarnation.
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
	// Serve ends with an error when the server is closed, as it is meant to.
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
			s.counts.OverConnections++
			_ = conn.Close()
			return
		}
		s.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, conn)
	default:
	}
}

// Stop ends the searcher at once.
func (s *Searcher) Stop() {
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Crash ends the searcher as a crash does and counts it.
func (s *Searcher) Crash() {
	s.mu.Lock()
	s.counts.Crashes++
	s.mu.Unlock()
	s.Stop()
}

// Drain refuses new work and lets the rest finish.
func (s *Searcher) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Counts returns the searcher's record.
func (s *Searcher) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Runs returns how often each non-idempotent key took effect.
func (s *Searcher) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, count := range s.runs {
		runs[key] = count
	}
	return runs
}

func (s *Searcher) count(at *int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*at++
}

// serviceTime draws the time that one request takes.
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

// crashes reports whether the query crashes the searcher.
func (s *Searcher) crashes(query string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	word := s.behaviour.CrashWord
	if word == "" {
		word = CrashQuery
	}
	return strings.Contains(query, word)
}

func (s *Searcher) find(version uint64, shard int) *corpus.Index {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.indexes {
		h := &s.indexes[i]
		if h.index.Version != version || shard >= h.index.ShardCount {
			continue
		}
		for _, own := range h.index.Shards {
			if own == shard {
				return h.corpus.Index(version, h.index.ShardCount)
			}
		}
	}
	return nil
}

// load is the report that goes with replies: true, lagging or false.
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
	s.lagged = append(s.lagged, laggedLoad{at: now, load: load})
	for len(s.lagged) > 1 && now.Sub(s.lagged[1].at) >= b.ReportLag {
		s.lagged = s.lagged[1:]
	}
	return s.lagged[0].load
}
