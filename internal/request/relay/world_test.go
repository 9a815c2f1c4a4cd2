package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/pools"
	"github.com/magnoliarelay/magnoliarelay/internal/process/repeat"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/process/share"
	"github.com/magnoliarelay/magnoliarelay/internal/process/tempo"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// machine is a target in virtual time: slots, a queue of bounded length, and a
// speed. It is used inside synctest only.
type machine struct {
	id    string
	slots chan struct{}
	// queue bounds the requests that wait.
	queue int

	mu      sync.Mutex
	waiting int
	runs    map[string]int
	// factor slows the machine down; dark swallows requests; lose is the share
	// of requests whose answer is lost after they ran.
	factor float64
	dark   bool
	lose   float64
	random *rand.Rand
}

// patienceOfTown is how long callers wait.
const patienceOfTown = 4 * time.Second

const (
	headerID     = "Id"
	headerQueued = "Queued"
	headerWork   = "Work"
)

func (m *machine) set(change func(m *machine)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

// Do runs a request for the time that its header asks for.
func (m *machine) Do(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	m.mu.Lock()
	if queue := m.queue; !m.dark && m.waiting >= queue {
		m.mu.Unlock()
		return &http1.Reply{Status: http.StatusServiceUnavailable, Header: http.Header{headerQueued: {strconv.Itoa(queue)}}}, nil
	}
	m.waiting++
	m.mu.Unlock()
	err := m.run(ctx, request)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil && m.random.Float64() < m.lose {
		return nil, &http1.Error{Op: "receive", Kind: http1.KindBroken, Err: syscall.ECONNRESET}
	}
	if err != nil {
		return nil, err
	}
	header := http.Header{headerQueued: {strconv.Itoa(m.waiting)}}
	return &http1.Reply{Status: http.StatusOK, Header: header, Body: []byte(m.id)}, nil
}

// DoOnce is Do: machines have no connections.
func (m *machine) DoOnce(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error) {
	return m.Do(ctx, request, deadline)
}

func (m *machine) run(ctx context.Context, request *http.Request) error {
	select {
	case m.slots <- struct{}{}:
	case <-ctx.Done():
		m.set(func(m *machine) { m.waiting-- })
		return &http1.Error{Op: "receive", Kind: http1.KindExpired, Err: ctx.Err()}
	}
	defer func() { <-m.slots }()
	m.mu.Lock()
	m.waiting--
	dark, factor := m.dark, m.factor
	m.runs[request.Header.Get(headerID)]++
	m.mu.Unlock()
	work, err := time.ParseDuration(request.Header.Get(headerWork))
	if err != nil {
		return err
	}
	timer := time.NewTimer(time.Duration(factor * float64(work)))
	defer timer.Stop()
	if dark {
		timer.Stop()
	}
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &http1.Error{Op: "receive", Kind: http1.KindExpired, Err: ctx.Err()}
	}
}

// plain is the dialect of machines.
type plain struct{}

func (plain) Encode(request *Request, _ *fleet.Target, _ time.Duration) *http.Request {
	return &http.Request{Header: request.Header}
}

func (plain) OfRequest(request *http.Request) string { return request.Header.Get(headerID) }

func (plain) OfReply(*http1.Reply) string { return "" }

func (plain) Judge(_ *Request, reply *http1.Reply) Judgement {
	queued, err := strconv.Atoi(reply.Header.Get(headerQueued))
	load := &wire.Load{Queued: queued}
	switch {
	case err != nil:
		return Judgement{Outcome: fleet.Corrupt}
	case reply.Status != http.StatusOK:
		return Judgement{Outcome: fleet.Shed, Load: load}
	}
	return Judgement{Outcome: fleet.Success, Signature: string(reply.Body), Load: load}
}

func (plain) Merge(_ *tree.Route, parts [][]byte) []byte {
	return binary.BigEndian.AppendUint32(nil, uint32(len(parts)))
}

// town is some daemons over pools of machines, in virtual time.
type town struct {
	daemons  []*Runner
	machines map[string][]*machine
	byID     map[string]*machine
	entries  map[string][]roster.Entry
	random   *rand.Rand

	mu      sync.Mutex
	ended   []ending
	pending sync.WaitGroup
	count   int
}

// ending is how one request ended.
type ending struct {
	route   *tree.Route
	late    bool
	answer  *Answer
	took    time.Duration
	arrived time.Time
}

// newTown makes pools of machines that all daemons use alike.
func newTown(t *testing.T, daemons, replicas, slots int, names ...string) *town {
	t.Helper()
	w := &town{
		machines: map[string][]*machine{}, byID: map[string]*machine{}, entries: map[string][]roster.Entry{},
		random: rand.New(rand.NewPCG(1, 2)),
	}
	for _, name := range names {
		for replica := range replicas {
			id := fmt.Sprintf("%s-%d", name, replica)
			m := &machine{
				id: id, slots: make(chan struct{}, slots), queue: 12, factor: 1, runs: map[string]int{},
				random: rand.New(rand.NewPCG(uint64(replica), 3)),
			}
			w.byID[id] = m
			w.machines[name] = append(w.machines[name], m)
			w.entries[name] = append(w.entries[name], roster.Entry{ID: id, Pool: name, Address: id, DataCentre: "here", Slots: slots, Revision: 1})
		}
	}
	for range daemons {
		w.addDaemon("here", daemons)
	}
	return w
}

// addDaemon adds a daemon in a region, which shares the targets with others.
func (w *town) addDaemon(region string, sharers int) *Runner {
	known := &pools.Pools{
		Daemon: strconv.Itoa(len(w.daemons)), Region: region, RegionOf: func(dataCentre string) string { return dataCentre },
		Terms: repeat.Terms{Ratio: 0.2, Slack: 56, Window: 10 * time.Second},
	}
	known.SetSharers(sharers, sharers, share.Kept/float64(sharers))
	for name := range w.entries {
		known.Configure(&tree.Routes{Pools: map[string]tree.Pool{name: {Name: name, Connections: 26}}})
		known.Register(time.Now(), name, w.entries[name])
	}
	r := &Runner{
		Pools: known, Dialect: plain{}, Poison: poison.New(), Tempo: tempo.New(),
		Connect: func(target *fleet.Target) Sender { return w.byID[target.ID] },
	}
	w.daemons = append(w.daemons, r)
	return r
}

// ask sends one request to a random daemon. Late is one that its caller has
// sent before, with less time left.
func (w *town) ask(route *tree.Route, work, left time.Duration, late bool) {
	runner := w.daemons[w.random.IntN(len(w.daemons))]
	w.count++
	id := strconv.Itoa(w.count)
	request := &Request{
		ID: id, Method: http.MethodGet, URI: "/" + id, Header: http.Header{headerID: {id}, headerWork: {work.String()}},
		Arrived: time.Now(), Patience: left,
	}
	w.pending.Go(func() {
		ctx, cancel := context.WithTimeoutCause(context.Background(), left, errors.New("the caller's time is up"))
		defer cancel()
		answer := runner.Run(ctx, request, route)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ended = append(w.ended, ending{route: route, late: late, answer: answer, took: time.Since(request.Arrived), arrived: request.Arrived})
	})
}

// offer sends requests at a steady rate with exponential gaps for some time.
func (w *town) offer(route *tree.Route, work time.Duration, perSecond float64, lasts time.Duration) {
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		w.ask(route, work, patienceOfTown, false)
		time.Sleep(time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

// settle waits for all answers, and for attempts that go on without need.
func (w *town) settle() {
	w.pending.Wait()
	time.Sleep(time.Minute)
}

// shareInTime is the share of requests that match and were answered within the
// latency target, all shards or enough of them.
func (w *town) shareInTime(match func(e *ending) bool) (share float64, count int) {
	inTime := 0
	for i := range w.ended {
		e := &w.ended[i]
		if !match(e) {
			continue
		}
		count++
		served := e.answer.Result == Gathered || e.answer.Result == Partial || e.answer.Result == Passed
		if served && e.took <= e.route.LatencyTarget {
			inTime++
		}
	}
	return float64(inTime) / float64(max(count, 1)), count
}
