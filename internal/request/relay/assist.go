package relay

import (
	"context"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
	"github.com/magnoliarelay/magnoliarelay/internal/request/gather"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// Assist gathers some shards for another daemon, until ctx ends. An empty reply
// means that there is no result, as when the request cannot be decoded. Until
// confirmed is closed, the asking daemon may give up on this one and make
// attempts of its own, so each shard gets only one attempt here.
func (r *Runner) Assist(ctx context.Context, body []byte, confirmed <-chan struct{}) []byte {
	now := time.Now()
	var remote remoteRequest
	if err := codec.DecodeBytes(body, &remote); err != nil || len(remote.Pools) == 0 || remote.MaxAttempts < 1 {
		r.Log.State("cannot decode a peer's gather request", "error", err)
		return nil
	}
	if r.Requests != nil {
		request, answer := r.Requests.Open(func() {}), r.Answers.Open(func() {})
		defer request.Close()
		defer answer.Close()
		if !request.Take(now, int64(len(body))) {
			return r.refuseAssist(&remote)
		}
		ctx = room.With(ctx, answer)
	}
	x := r.newAssistExchange(now, &remote)
	if ctx.Err() != nil {
		// The asking daemon has given up on this one.
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
	reply := &remoteReply{
		Signatures: x.signatures, Missing: x.gather.Missing(), TookMicros: time.Since(now).Microseconds(),
		Suspects: r.Poison.Suspects(time.Now(), x.fingerprint),
	}
	for _, shard := range reply.Missing {
		reply.Used = append(reply.Used, x.gather.ShardAttempts(shard))
	}
	if len(x.bodies) > 0 {
		reply.Body = r.Dialect.Merge(x.route, x.bodies)
	}
	data, err := codec.Encode(reply)
	if err != nil {
		r.Log.Failure(remote.ID, "cannot encode a gather reply to a peer", "error", err)
		return nil
	}
	return data
}

// refuseAssist returns the reply to a request for which there is no memory: that all shards
// are missing and have had no attempt here, so that the asking daemon makes its own.
func (r *Runner) refuseAssist(remote *remoteRequest) []byte {
	reply := &remoteReply{Used: make([]int, len(remote.Pools))}
	for shard := range remote.Pools {
		reply.Missing = append(reply.Missing, shard)
	}
	r.Log.Failure(remote.ID, "no memory to gather for a peer", "shards", len(remote.Pools))
	data, err := codec.Encode(reply)
	if err != nil {
		r.Log.Failure(remote.ID, "cannot encode a gather reply to a peer", "error", err)
		return nil
	}
	return data
}

// logAssist logs how many attempts the shards have had here. An asking daemon
// that has given up on this one makes further attempts of its own.
func (x *exchange) logAssist(ctx context.Context, confirmed <-chan struct{}) {
	maxUsed, isConfirmed := 0, false
	for shard := range x.poolNames {
		maxUsed = max(maxUsed, x.gather.ShardAttempts(shard))
	}
	select {
	case <-confirmed:
		isConfirmed = true
	default:
	}
	x.runner.Log.Request(x.request.ID, "gathered for a peer", "shards", len(x.poolNames), "answered", x.gather.Answered(), "confirmed", isConfirmed,
		"abandoned", ctx.Err() != nil, "attempts", x.gather.Attempts(), "mostForOne", maxUsed, "most", x.route.MaxAttempts,
		"tookMillis", time.Since(x.request.Arrived).Milliseconds())
}

// newAssistExchange makes the exchange for a peer's request. The daemon that
// received the caller's request counts its primary attempts.
func (r *Runner) newAssistExchange(now time.Time, remote *remoteRequest) *exchange {
	remaining := time.Duration(remote.LeftMillis) * time.Millisecond
	request := &Request{
		ID: remote.ID, Method: remote.Method, Host: remote.Host, URI: remote.URI, Header: remote.Header, Body: remote.Body, Arrived: now, Timeout: remaining,
	}
	route := &tree.Route{
		Name: remote.Route, Idempotent: true, Gather: remote.Pools, Merge: tree.MergeGreatest, Top: remote.Top,
		MaxAttempts: remote.MaxAttempts, Priority: remote.Priority, LeastCoverage: remote.Least,
	}
	fingerprint := poison.Fingerprint(remote.Method, remote.Host, remote.URI, string(remote.Body))
	x := r.newExchange(request, route, remote.Pools, fingerprint, assistSchedule(now, remote))
	if len(remote.Granted) == len(remote.Pools) {
		x.group.Granted = func(shard int) string { return remote.Granted[shard] }
	}
	return x
}

// uncountedBudget is a budget whose primary attempts another daemon counts.
type uncountedBudget struct{ gather.Budget }

// Primary counts nothing.
func (uncountedBudget) Primary(time.Time, int) {}

// assistSchedule computes the times at which a gather for another daemon ends. It
// yields from the time at which it replies if it has enough shards, or at once if the
// request is late already.
func assistSchedule(now time.Time, remote *remoteRequest) schedule {
	remaining := time.Duration(remote.LeftMillis) * time.Millisecond
	after := func(millis int64) time.Time { return now.Add(min(time.Duration(millis)*time.Millisecond, remaining)) }
	partialAt := after(remote.SoonMillis)
	times := schedule{
		deadline: now.Add(remaining), partialAt: partialAt, lateAt: after(remote.LateMillis), queueUntil: partialAt, assisting: true,
		yieldFrom: partialAt, urgentAt: partialAt.Add(now.Add(remaining).Sub(partialAt) / 2),
	}
	if remote.YieldMillis > 0 {
		times.yieldFrom, times.urgentAt = now, after(remote.YieldMillis)
	}
	return times
}

// roundTrips estimates the round trip between this daemon and each region.
type roundTrips struct {
	mu      mutex.Mutex
	regions map[string]time.Duration
}

// roundTripWeight is the weight of a new measurement in the estimate.
const roundTripWeight = 0.2

// observe records a round trip: the time until the reply, less the time that the
// peer worked on it.
func (t *roundTrips) observe(region string, roundTrip time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.regions == nil {
		t.regions = map[string]time.Duration{}
	}
	old, known := t.regions[region]
	if !known {
		old = roundTrip
	}
	t.regions[region] = old + time.Duration(roundTripWeight*float64(roundTrip-old))
}

func (t *roundTrips) estimate(region string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if roundTrip, known := t.regions[region]; known {
		return roundTrip
	}
	return defaultRoundTrip
}
