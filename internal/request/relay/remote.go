package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/request/gather"
)

// RemotePeers reaches daemons of other regions. One message each way for all
// shards that only other regions serve takes a fraction of the bytes of a
// request for each shard.
type RemotePeers interface {
	// Peer returns a daemon of the region that is serving, or false.
	Peer(region string) (peer string, found bool)
	// Ask sends a message and waits for the reply. It calls accepted as soon as
	// the peer accepts the message; accepted reports whether the caller of Ask
	// still needs the reply, and only then may the peer make extra attempts.
	// When ctx ends, the peer stops its work.
	Ask(ctx context.Context, peer string, body []byte, accepted func() bool) ([]byte, error)
	// Failed reports that a peer did not return a valid reply in time.
	Failed(peer string)
}

const (
	// minRemoteShards is the minimum number of shards for which a peer is asked;
	// for fewer, direct requests cost no more.
	minRemoteShards = 2
	// maxRemoteBody bounds the size of a request body that is sent through a
	// peer.
	maxRemoteBody = 16 << 10
	// remoteSlack is added to the round trip within which a peer should accept a
	// request, and to the time at which its reply is due.
	remoteSlack = 20 * time.Millisecond
	// defaultRoundTrip is the round trip assumed until one is measured.
	defaultRoundTrip = 45 * time.Millisecond
)

// remoteCall is one request to a peer.
type remoteCall struct {
	region string
	peer   string
	shards []int
	// granted holds for each shard the target that this daemon has taken a token for.
	granted []string
	cancel  context.CancelFunc
	sent    time.Time
	// giveUpAt is when the exchange stops waiting for the peer and sends the
	// shards directly.
	giveUpAt time.Time
	// state tells whether the peer may have used all attempts.
	state atomic.Int32
	// acceptSeen is true once the exchange has processed the peer's acceptance.
	acceptSeen bool
	// reported is true once other requests avoid the peer.
	reported bool
	ended    bool
}

// The states of a remoteCall.
const (
	// callPending means that the peer has not accepted the message, so it makes
	// at most one attempt for each shard.
	callPending int32 = iota
	// callAccepted means that the peer may make all attempts.
	callAccepted
	// callAbandoned means that the exchange sends the shards directly, before
	// the peer was allowed more than one attempt.
	callAbandoned
)

// remoteResult is the end of a call to a peer.
type remoteResult struct {
	call  *remoteCall
	reply *remoteReply
	err   error
}

// planRemote chooses the shards that daemons of other regions gather: those
// without a healthy target in the local region.
func (x *exchange) planRemote(config *gather.Config) {
	if x.runner.RemotePeers == nil || x.schedule.assisting || !x.isGather() || len(x.request.Body) > maxRemoteBody {
		return
	}
	now := time.Now()
	byRegion := map[string][]int{}
	for shard := range x.poolNames {
		if regions, remote := x.group.RemoteRegions(now, shard); remote {
			for _, r := range regions {
				byRegion[r] = append(byRegion[r], shard)
			}
		}
	}
	taken := make([]bool, len(x.poolNames))
	for len(byRegion) > 0 {
		region := largest(byRegion)
		shards := untaken(byRegion[region], taken)
		delete(byRegion, region)
		if len(shards) < minRemoteShards {
			continue
		}
		peer, found := x.runner.RemotePeers.Peer(region)
		if !found {
			continue
		}
		shards, granted := x.group.Grant(now, shards, region)
		if len(shards) == 0 {
			continue
		}
		for _, shard := range shards {
			taken[shard] = true
		}
		x.remoteCalls = append(x.remoteCalls, &remoteCall{region: region, peer: peer, shards: shards, granted: granted})
	}
	if len(x.remoteCalls) > 0 {
		config.Remote = taken
	}
}

// largest returns the region with the most shards, the first by name if several
// have as many.
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
	var rest []int
	for _, shard := range shards {
		if !taken[shard] {
			rest = append(rest, shard)
		}
	}
	return rest
}

// startRemote sends the requests to peers. This daemon counts their primary
// attempts, since it received the caller's request.
func (x *exchange) startRemote() {
	now := time.Now()
	for _, call := range x.remoteCalls {
		x.sent = true
		call.sent = now
		call.giveUpAt = now.Add(x.runner.roundTrips.estimate(call.region) + remoteSlack)
		for _, shard := range call.shards {
			x.runner.Pools.Budget(x.poolNames[shard]).Primary(now, 1)
		}
		var ctx context.Context
		ctx, call.cancel = context.WithDeadline(context.Background(), x.schedule.deadline)
		go x.askPeer(ctx, call)
	}
}

func (x *exchange) askPeer(ctx context.Context, call *remoteCall) {
	result := &remoteResult{call: call}
	pools := make([]string, len(call.shards))
	for i, shard := range call.shards {
		pools[i] = x.poolNames[shard]
	}
	body, err := codec.Encode(&remoteRequest{
		ID: x.request.ID, Route: x.route.Name, Method: x.request.Method, Host: x.request.Host, URI: x.request.URI,
		Header: x.request.Header, Body: x.request.Body, Pools: pools,
		LeftMillis: x.schedule.deadline.Sub(call.sent).Milliseconds(), SoonMillis: x.millisUntil(call, x.schedule.partialAt),
		LateMillis: x.millisUntil(call, x.remoteLateAt()), Least: x.minCoverage(call),
		YieldMillis: x.yieldTime(call.sent).Milliseconds(), Top: x.route.Top, MaxAttempts: x.route.MaxAttempts, Priority: x.route.Priority,
		Granted: call.granted,
	})
	if err == nil {
		var reply []byte
		accepted := func() bool {
			if !call.state.CompareAndSwap(callPending, callAccepted) {
				return false
			}
			x.inbox.Put(event{accepted: call})
			return true
		}
		if reply, err = x.runner.RemotePeers.Ask(ctx, call.peer, body, accepted); err == nil {
			result.reply = &remoteReply{}
			err = codec.DecodeBytes(reply, result.reply)
		}
	}
	result.err = err
	if err == nil {
		x.runner.roundTrips.observe(call.region, time.Since(call.sent)-time.Duration(result.reply.TookMicros)*time.Microsecond)
	}
	x.inbox.Put(event{remote: result})
}

// remoteLateAt is when a peer that still lacks too many shards replies. Until then
// it goes on, since a late answer is better than none.
func (x *exchange) remoteLateAt() time.Time {
	lateAt := x.schedule.partialAt.Add(x.route.LatencyTarget)
	if x.schedule.lateAt.Before(lateAt) {
		return x.schedule.lateAt
	}
	return lateAt
}

// minCoverage is the share of a call's shards needed for an answer if all other
// shards answer.
func (x *exchange) minCoverage(call *remoteCall) float64 {
	needed := x.route.LeastCoverage*float64(len(x.poolNames)) - float64(len(x.poolNames)-len(call.shards))
	return max(0, needed) / float64(len(call.shards))
}

// millisUntil returns how many milliseconds after the call was sent the peer must
// reply for its reply to arrive here at the given time.
func (x *exchange) millisUntil(call *remoteCall, at time.Time) int64 {
	return max(0, at.Sub(call.sent)-x.runner.roundTrips.estimate(call.region)).Milliseconds()
}

// acceptRemote extends the wait for a peer that has accepted a call until its
// reply is due. The peer replies by then, even if some shards have not answered.
func (x *exchange) acceptRemote(now time.Time, call *remoteCall) *gather.Step {
	call.acceptSeen = true
	call.giveUpAt = x.remoteLateAt().Add(remoteSlack)
	if !call.giveUpAt.After(now) {
		call.giveUpAt = now.Add(x.runner.roundTrips.estimate(call.region) + remoteSlack)
	}
	return x.gather.Tick(now)
}

// endRemote processes a peer's reply. It sends the shards that the reply lacks
// directly unless it is too late for them. It sends all shards directly if the
// peer returned no valid reply.
func (x *exchange) endRemote(now time.Time, result *remoteResult) *gather.Step {
	call := result.call
	if call.ended {
		return x.gather.Tick(now)
	}
	call.ended = true
	call.cancel()
	if result.err != nil || !result.reply.valid(len(call.shards)) {
		used := 1
		if !call.state.CompareAndSwap(callPending, callAbandoned) && call.state.Load() == callAccepted {
			used = x.route.MaxAttempts
		}
		x.runner.Log.Failure(x.request.ID, "a peer did not gather", "peer", call.peer, "region", call.region,
			"shards", len(call.shards), "used", used, "most", x.route.MaxAttempts,
			"tookMillis", now.Sub(call.sent).Milliseconds(), "error", result.err)
		x.reportPeer(call)
		return x.sendDirect(now, call, call.shards, func(int) int { return used })
	}
	x.runner.Poison.Merge(now, result.reply.Suspects)
	missing := make([]int, 0, len(result.reply.Missing))
	isMissing := map[int]bool{}
	for _, index := range result.reply.Missing {
		isMissing[index] = true
		missing = append(missing, call.shards[index])
	}
	step := x.gather.Tick(now)
	if len(missing) < len(call.shards) {
		x.bodies = append(x.bodies, result.reply.Body)
		x.signatures = append(x.signatures, result.reply.Signatures...)
	}
	for index, shard := range call.shards {
		if !isMissing[index] {
			x.apply(step)
			step = x.gather.EndRemote(now, shard, true, 0, nil)
		}
	}
	if len(missing) == 0 {
		return step
	}
	x.apply(step)
	if x.enoughAnswered() && x.tooLate(now, missing[0]) {
		return x.dropShards(now, missing)
	}
	return x.sendDirect(now, call, missing, func(index int) int { return result.reply.Used[index] })
}

// dropShards leaves out shards that can no longer answer in time.
func (x *exchange) dropShards(now time.Time, shards []int) *gather.Step {
	step := x.gather.Tick(now)
	for _, shard := range shards {
		x.apply(step)
		step = x.gather.FailRemote(now, shard)
	}
	return step
}

// sendDirect sends shards of a call to targets, within the attempts that remain
// for them. It avoids the targets that the peer has probably tried.
func (x *exchange) sendDirect(now time.Time, call *remoteCall, shards []int, used func(index int) int) *gather.Step {
	x.outcomeUnknown = true
	step := x.gather.Tick(now)
	for index, shard := range shards {
		x.apply(step)
		step = x.gather.EndRemote(now, shard, false, used(index), x.group.TargetIn(shard, call.region))
	}
	return step
}

// tick runs what is due: it gives up on peers that are late and checks for room.
func (x *exchange) tick(now time.Time) *gather.Step {
	for _, call := range x.remoteCalls {
		if call.ended || now.Before(call.giveUpAt) {
			continue
		}
		if call.acceptSeen || x.abandon(now, call) {
			x.apply(x.endRemote(now, &remoteResult{call: call, err: errPeerLate}))
		}
	}
	x.pollWaiting(now)
	x.reportWait(now)
	return x.gather.Tick(now)
}

// abandon gives up on a peer that has not accepted a call in time, if its shards can be
// sent directly: if the extra attempts that this takes are allowed. Otherwise the shards
// would fail while the peer may still answer, so it is given up on only when its reply
// would be due.
func (x *exchange) abandon(now time.Time, call *remoteCall) bool {
	if call.state.Load() == callAccepted {
		// The acceptance is still in the inbox.
		return false
	}
	reserved := x.gather.ReserveRemote(now, call.shards)
	if last := x.remoteLateAt().Add(remoteSlack); !reserved && now.Before(last) {
		x.reportPeer(call)
		call.giveUpAt = now.Add(x.runner.roundTrips.estimate(call.region) + remoteSlack)
		if last.Before(call.giveUpAt) {
			call.giveUpAt = last
		}
		return false
	}
	if call.state.CompareAndSwap(callPending, callAbandoned) {
		return true
	}
	if reserved {
		x.gather.ReleaseRemote(now, call.shards)
	}
	return false
}

// reportPeer makes other requests avoid the peer of a call for a while.
func (x *exchange) reportPeer(call *remoteCall) {
	if !call.reported {
		call.reported = true
		x.runner.RemotePeers.Failed(call.peer)
	}
}

// Kind classifies an Error.
type Kind string

// KindLate means that a peer did not accept a call or reply in time.
const KindLate Kind = "Late"

// Error is the error of this package.
type Error = fault.Error[Kind]

var errPeerLate = &Error{Op: "ask a peer", Kind: KindLate}

// nextGiveUp returns the next giveUpAt of the calls, or at if that is earlier.
func (x *exchange) nextGiveUp(at time.Time) time.Time {
	for _, call := range x.remoteCalls {
		if !call.ended && call.giveUpAt.Before(at) {
			at = call.giveUpAt
		}
	}
	return at
}

// cancelRemote stops work of peers that is no longer needed.
func (x *exchange) cancelRemote() {
	for _, call := range x.remoteCalls {
		if call.cancel != nil {
			call.cancel()
		}
	}
}
