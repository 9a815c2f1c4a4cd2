package relay

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/request/gather"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// Assist gathers some shards for another daemon, until the context ends. An
// empty reply means that the request could not be read. Until confirmed is
// closed, the asker may turn elsewhere and make attempts of its own: each shard
// then gets only one here.
func (r *Runner) Assist(ctx context.Context, body []byte, confirmed <-chan struct{}) []byte {
	now := time.Now()
	var q farRequest
	if err := codec.Decode(body, &q); err != nil || len(q.Pools) == 0 || q.MaxAttempts < 1 {
		r.Log.State("a peer's request can not be read", "error", err)
		return nil
	}
	x := r.assist(now, &q)
	if ctx.Err() != nil {
		// The asker has turned elsewhere.
		return nil
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-confirmed:
			x.inbox.Put(event{confirmed: true})
		case <-done:
		}
	}()
	x.run(ctx)
	x.logAssist(ctx, confirmed)
	reply := &farReply{Signatures: x.signatures, Missing: x.gather.Missing(), TookMicros: time.Since(now).Microseconds()}
	for _, shard := range reply.Missing {
		reply.Used = append(reply.Used, x.gather.Used(shard))
	}
	if len(x.bodies) > 0 {
		reply.Body = r.Dialect.Merge(x.route, x.bodies)
	}
	data, err := codec.Encode(reply)
	if err != nil {
		r.Log.Failure(q.ID, "a reply to a peer can not be written", "error", err)
		return nil
	}
	return data
}

// logAssist tells how many attempts a shard has had here. Those of an asker that
// has turned elsewhere come on top.
func (x *exchange) logAssist(ctx context.Context, confirmed <-chan struct{}) {
	most, known := 0, false
	for shard := range x.poolNames {
		most = max(most, x.gather.Used(shard))
	}
	select {
	case <-confirmed:
		known = true
	default:
	}
	x.runner.Log.Request(x.request.ID, "gathered for a peer", "shards", len(x.poolNames), "answered", x.gather.Answered(), "confirmed", known,
		"abandoned", ctx.Err() != nil, "attempts", x.gather.Attempts(), "mostForOne", most, "most", x.route.MaxAttempts,
		"tookMillis", time.Since(x.request.Arrived).Milliseconds())
}

// assist makes the exchange for a peer's request. Its first attempts were
// counted by the daemon that the request came to.
func (r *Runner) assist(now time.Time, q *farRequest) *exchange {
	left := time.Duration(q.LeftMillis) * time.Millisecond
	soon := now.Add(min(time.Duration(q.SoonMillis)*time.Millisecond, left))
	request := &Request{
		ID: q.ID, Method: q.Method, Host: q.Host, URI: q.URI, Header: q.Header, Body: q.Body, Arrived: now, Patience: left,
	}
	route := &tree.Route{
		Name: q.Route, Idempotent: true, Gather: q.Pools, Merge: tree.MergeGreatest, Top: q.Top,
		MaxAttempts: q.MaxAttempts, Priority: q.Priority, LeastCoverage: q.Least,
	}
	fingerprint := poison.Fingerprint(q.Method, q.Host, q.URI, string(q.Body))
	late := now.Add(min(time.Duration(q.LateMillis)*time.Millisecond, left))
	times := schedule{deadline: now.Add(left), partialAt: soon, lateAt: late, queueUntil: soon, assisting: true, targetAt: now.Add(left)}
	if q.YieldMillis > 0 {
		times.targetAt, times.urgentAt = now, now.Add(time.Duration(q.YieldMillis)*time.Millisecond)
	}
	return r.newExchange(request, route, q.Pools, fingerprint, times)
}

// borrowed is a budget whose requests are counted by another daemon.
type borrowed struct{ gather.Budget }

// Primary counts nothing.
func (borrowed) Primary(time.Time, int) {}

// ways knows the time there and back between this daemon and each region.
type ways struct {
	mu      sync.Mutex
	regions map[string]time.Duration
}

// wayWeight is the weight of a new measurement.
const wayWeight = 0.2

// observe takes how long a reply took beyond the peer's own work.
func (w *ways) observe(region string, way time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.regions == nil {
		w.regions = map[string]time.Duration{}
	}
	old, known := w.regions[region]
	if !known {
		old = way
	}
	w.regions[region] = old + time.Duration(wayWeight*float64(way-old))
}

func (w *ways) to(region string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if way, known := w.regions[region]; known {
		return way
	}
	return wayGuess
}
