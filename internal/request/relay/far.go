package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/request/gather"
)

// Far reaches daemons of other regions. One message there and back for all
// shards that only other regions serve costs a fraction of the bytes of a
// request to each.
type Far interface {
	// Peer returns a daemon of the region that serves, or false.
	Peer(region string) (peer string, found bool)
	// Ask sends a message and waits for the reply. Accepted is called as soon as
	// the peer says that it has the message, and reports whether the reply is still
	// wanted; only then the peer may make second attempts. A context that ends
	// makes the peer stop its work.
	Ask(ctx context.Context, peer string, body []byte, accepted func() bool) ([]byte, error)
	// Failed tells that a peer did not answer in time.
	Failed(peer string)
}

const (
	// farLeast is the number of shards from which a peer is asked; for fewer,
	// direct requests cost no more.
	farLeast = 2
	// farBodyMost bounds the body that is sent through a peer.
	farBodyMost = 16 << 10
	// farSlack is added to the way to a peer and back, after which it should have
	// accepted, and to the time at which its reply is due.
	farSlack = 20 * time.Millisecond
	// wayGuess is the way to a peer and back when it is not known yet.
	wayGuess = 45 * time.Millisecond
)

// farRequest asks a peer to gather some shards.
type farRequest struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Route  string
	Method string
	Host   string
	URI    string
	Header http.Header
	Body   []byte
	Pools  []string
	// LeftMillis is the time in which the whole request ends, SoonMillis that in
	// which what has come is wanted if it is enough, and LateMillis if it is not.
	LeftMillis int64
	SoonMillis int64
	LateMillis int64
	// Least is the share of these shards that is enough.
	Least float64
	// YieldMillis is for how long a late request leaves room for others.
	YieldMillis int64
	Top         int
	MaxAttempts int
	Priority    int
}

// farReply is what a peer has gathered.
type farReply struct {
	_          struct{} `cbor:",toarray"`
	Signatures []string
	// Missing are the indexes of pools without an answer, and Used the attempts
	// that each of them has had.
	Missing []int
	Used    []int
	Body    []byte
	// TookMicros is the time that the peer took.
	TookMicros int64
}

// farCall is one request to a peer.
type farCall struct {
	region string
	peer   string
	shards []int
	cancel context.CancelFunc
	sent   time.Time
	// giveUp is when the shards are asked directly.
	giveUp time.Time
	// state tells whether the peer may have used every attempt.
	state atomic.Int32
	// known is true once the request knows that the peer has the message.
	known bool
	ended bool
}

// The states of a farCall.
const (
	// farPending is one whose peer has not said that it has the message: it makes
	// one attempt for each shard at most.
	farPending int32 = iota
	// farAccepted is one whose peer may make every attempt.
	farAccepted
	// farAbandoned is one whose shards are asked for directly, before its peer
	// was allowed more than one attempt.
	farAbandoned
)

// farEnd is the end of a call to a peer.
type farEnd struct {
	call  *farCall
	reply *farReply
	err   error
}

// planFar chooses the shards that daemons of other regions gather: those with
// no target near that is in good health.
func (x *exchange) planFar(config *gather.Config) {
	if x.runner.Far == nil || x.schedule.assisting || !x.isGather() || len(x.request.Body) > farBodyMost {
		return
	}
	now := time.Now()
	byRegion := map[string][]int{}
	for shard := range x.poolNames {
		if region, far := x.group.FarRegions(now, shard); far {
			for _, r := range region {
				byRegion[r] = append(byRegion[r], shard)
			}
		}
	}
	taken := make([]bool, len(x.poolNames))
	for len(byRegion) > 0 {
		region := largest(byRegion)
		shards := untaken(byRegion[region], taken)
		delete(byRegion, region)
		if len(shards) < farLeast {
			continue
		}
		peer, found := x.runner.Far.Peer(region)
		if !found {
			continue
		}
		for _, shard := range shards {
			taken[shard] = true
		}
		x.remoteCalls = append(x.remoteCalls, &farCall{region: region, peer: peer, shards: shards})
	}
	if len(x.remoteCalls) > 0 {
		config.Skip = taken
	}
}

// largest returns the region with most shards, the first by name of equals.
func largest(byRegion map[string][]int) string {
	best := ""
	for region, shards := range byRegion {
		if best == "" || len(shards) > len(byRegion[best]) || len(shards) == len(byRegion[best]) && region < best {
			best = region
		}
	}
	return best
}

func untaken(shards []int, taken []bool) []int {
	var left []int
	for _, shard := range shards {
		if !taken[shard] {
			left = append(left, shard)
		}
	}
	return left
}

// callFar sends the requests to peers. Their first attempts count here, since
// here the request came in.
func (x *exchange) callFar() {
	now := time.Now()
	for _, call := range x.remoteCalls {
		x.sent = true
		call.sent = now
		call.giveUp = now.Add(x.runner.roundTrips.estimate(call.region) + farSlack)
		for _, shard := range call.shards {
			x.runner.Pools.Budget(x.poolNames[shard]).Primary(now, 1)
		}
		var ctx context.Context
		ctx, call.cancel = context.WithDeadline(context.Background(), x.schedule.deadline)
		go x.askFar(ctx, call)
	}
}

func (x *exchange) askFar(ctx context.Context, call *farCall) {
	end := &farEnd{call: call}
	pools := make([]string, len(call.shards))
	for i, shard := range call.shards {
		pools[i] = x.poolNames[shard]
	}
	body, err := codec.Encode(&farRequest{
		ID: x.request.ID, Route: x.route.Name, Method: x.request.Method, Host: x.request.Host, URI: x.request.URI,
		Header: x.request.Header, Body: x.request.Body, Pools: pools,
		LeftMillis: x.schedule.deadline.Sub(call.sent).Milliseconds(), SoonMillis: x.millisAt(call, x.schedule.partialAt),
		LateMillis: x.millisAt(call, x.farLate()), Least: x.leastOf(call),
		YieldMillis: x.yieldTime(call.sent).Milliseconds(), Top: x.route.Top, MaxAttempts: x.route.MaxAttempts, Priority: x.route.Priority,
	})
	if err == nil {
		var reply []byte
		accepted := func() bool {
			if !call.state.CompareAndSwap(farPending, farAccepted) {
				return false
			}
			x.inbox.Put(event{accepted: call})
			return true
		}
		if reply, err = x.runner.Far.Ask(ctx, call.peer, body, accepted); err == nil {
			end.reply = &farReply{}
			err = codec.Decode(reply, end.reply)
		}
	}
	end.err = err
	if err == nil {
		x.runner.roundTrips.observe(call.region, time.Since(call.sent)-time.Duration(end.reply.TookMicros)*time.Microsecond)
	}
	x.inbox.Put(event{remote: end})
}

// farLate is until when a peer that lacks too many shards goes on: a late answer
// is better than none.
func (x *exchange) farLate() time.Time {
	late := x.schedule.partialAt.Add(x.route.LatencyTarget)
	if x.schedule.lateAt.Before(late) {
		return x.schedule.lateAt
	}
	return late
}

// leastOf is the share of a call's shards that makes an answer, if all others come.
func (x *exchange) leastOf(call *farCall) float64 {
	needed := x.route.LeastCoverage*float64(len(x.poolNames)) - float64(len(x.poolNames)-len(call.shards))
	return max(0, needed) / float64(len(call.shards))
}

// millisAt is the time that a peer has from the call on until its reply would
// be here at a moment.
func (x *exchange) millisAt(call *farCall, at time.Time) int64 {
	return max(0, at.Sub(call.sent)-x.runner.roundTrips.estimate(call.region)).Milliseconds()
}

// acceptFar waits longer for a peer that has the message: until its reply is
// due, with what it has by then.
func (x *exchange) acceptFar(now time.Time, call *farCall) *gather.Step {
	call.known = true
	call.giveUp = x.farLate().Add(farSlack)
	if !call.giveUp.After(now) {
		call.giveUp = now.Add(x.runner.roundTrips.estimate(call.region) + farSlack)
	}
	return x.gather.Tick(now)
}

// endFar takes what a peer has gathered. Shards that it lacks are asked for
// directly, and so are all when it does not answer.
func (x *exchange) endFar(now time.Time, end *farEnd) *gather.Step {
	call := end.call
	if call.ended {
		return x.gather.Tick(now)
	}
	call.ended = true
	call.cancel()
	if end.err != nil || !end.reply.valid(len(call.shards)) {
		used := 1
		if !call.state.CompareAndSwap(farPending, farAbandoned) {
			used = x.route.MaxAttempts
		}
		x.runner.Log.Failure(x.request.ID, "a peer did not gather", "peer", call.peer, "region", call.region,
			"shards", len(call.shards), "used", used, "most", x.route.MaxAttempts,
			"tookMillis", now.Sub(call.sent).Milliseconds(), "error", end.err)
		x.runner.Far.Failed(call.peer)
		return x.direct(now, call, call.shards, func(int) int { return used })
	}
	missing := make([]int, 0, len(end.reply.Missing))
	lacks := map[int]bool{}
	for _, index := range end.reply.Missing {
		lacks[index] = true
		missing = append(missing, call.shards[index])
	}
	step := x.gather.Tick(now)
	if len(missing) < len(call.shards) {
		x.bodies = append(x.bodies, end.reply.Body)
		x.signatures = append(x.signatures, end.reply.Signatures...)
	}
	for index, shard := range call.shards {
		if !lacks[index] {
			x.apply(step)
			step = x.gather.Skipped(now, shard, true, 0, nil)
		}
	}
	if len(missing) == 0 {
		return step
	}
	x.apply(step)
	if x.enoughAnswered() && x.tooLate(now, missing[0]) {
		return x.drop(now, missing)
	}
	return x.direct(now, call, missing, func(index int) int { return end.reply.Used[index] })
}

// drop leaves out shards that can no longer answer in time.
func (x *exchange) drop(now time.Time, shards []int) *gather.Step {
	step := x.gather.Tick(now)
	for _, shard := range shards {
		x.apply(step)
		step = x.gather.Drop(now, shard)
	}
	return step
}

// valid reports whether the reply tells of each pool once.
func (r *farReply) valid(pools int) bool {
	seen := map[int]bool{}
	for _, index := range r.Missing {
		if index < 0 || index >= pools || seen[index] {
			return false
		}
		seen[index] = true
	}
	return len(r.Signatures)+len(r.Missing) == pools && len(r.Used) == len(r.Missing)
}

// direct sends shards of a call to targets, elsewhere than where the peer has
// probably tried, with what is left of their attempts.
func (x *exchange) direct(now time.Time, call *farCall, shards []int, used func(index int) int) *gather.Step {
	x.outcomeUnknown = true
	step := x.gather.Tick(now)
	for index, shard := range shards {
		x.apply(step)
		step = x.gather.Skipped(now, shard, false, used(index), x.group.In(shard, call.region))
	}
	return step
}

// tick does what has come due: peers that are late are given up.
func (x *exchange) tick(now time.Time) *gather.Step {
	for _, call := range x.remoteCalls {
		if !call.ended && !now.Before(call.giveUp) {
			if !call.known && call.state.Load() == farAccepted {
				// The event is on its way here.
				continue
			}
			x.apply(x.endFar(now, &farEnd{call: call, err: errLate}))
		}
	}
	x.pollWaiting(now)
	return x.gather.Tick(now)
}

// Kind classifies an Error.
type Kind string

// KindLate means that a peer did not answer in the usual time.
const KindLate Kind = "Late"

// Error is the error of this package.
type Error = fault.Error[Kind]

var errLate = &Error{Op: "ask a peer", Kind: KindLate}

// waitFar is when the next peer is given up.
func (x *exchange) waitFar(at time.Time) time.Time {
	for _, call := range x.remoteCalls {
		if !call.ended && call.giveUp.Before(at) {
			at = call.giveUp
		}
	}
	return at
}

// endFars stops the work of peers that is no longer needed.
func (x *exchange) endFars() {
	for _, call := range x.remoteCalls {
		if call.cancel != nil {
			call.cancel()
		}
	}
}
