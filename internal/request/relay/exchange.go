package relay

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/process/retry"
	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
	"github.com/magnoliarelay/magnoliarelay/internal/request/gather"
	"github.com/magnoliarelay/magnoliarelay/internal/request/inbox"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// event is the end of an attempt, room at a target of a waiting shard, or a stage
// of a gather through a peer.
type event struct {
	roomFreed bool
	shard     int
	attempt   uint64
	target    *fleet.Target
	outcome   fleet.Outcome
	reply     *http1.Reply
	signature string
	// remote is the end of a gather through a peer; accepted is a call that a
	// peer has accepted.
	remote   *remoteResult
	accepted *remoteCall
	// confirmed means that the asking daemon has received this one's acceptance,
	// so extra attempts are allowed here.
	confirmed bool
}

// exchange is one request in progress.
type exchange struct {
	runner      *Runner
	request     *Request
	route       *tree.Route
	poolNames   []string
	fingerprint uint64
	group       *fleet.Group
	budgets     []*retry.Budget
	gather      *gather.Gather
	inbox       *inbox.Inbox[event]
	cancelWaits map[int]func()
	schedule    schedule

	mu       mutex.Mutex
	inFlight map[uint64]*inFlightAttempt

	bodies         [][]byte
	signatures     []string
	sent           bool
	outcomeUnknown bool
	// withheld is true if an attempt was not sent since the request is quarantined.
	withheld bool
	// noticeAt is when peers are told that an attempt that can't be made again waits
	// for its reply; zero means never.
	noticeAt time.Time
	// lastPoll is when waiting shards last checked for room.
	lastPoll time.Time
	// unsettled is the number of attempts whose end has not been processed yet.
	unsettled int
	// reply is the answer to a request to one pool: a success, or else the
	// newest failure of a target.
	reply *http1.Reply
	// repliedBy is the target that has sent reply.
	repliedBy   *fleet.Target
	remoteCalls []*remoteCall
	// claim is what the replies take of the memory for answers.
	claim *room.Claim
}

func (r *Runner) newExchange(request *Request, route *tree.Route, poolNames []string, fingerprint uint64, times schedule) *exchange {
	fleets := make([]*fleet.Fleet, len(poolNames))
	budgets := make([]*retry.Budget, len(poolNames))
	shardBudgets := make([]gather.Budget, len(poolNames))
	for i, name := range poolNames {
		fleets[i] = r.Pools.Fleet(name)
		budgets[i] = r.Pools.Budget(name)
		shardBudgets[i] = budgets[i]
		if times.assisting {
			shardBudgets[i] = uncountedBudget{budgets[i]}
		}
	}
	x := &exchange{
		runner: r, request: request, route: route, poolNames: poolNames, fingerprint: fingerprint,
		group: fleet.NewGroup(fleets), budgets: budgets, inbox: inbox.New[event](), cancelWaits: map[int]func(){},
		inFlight: map[uint64]*inFlightAttempt{}, schedule: times,
	}
	x.group.LateAfter, x.group.Rank, x.group.Draw = x.lateAfter, route.Priority, rand.Float64()
	x.group.LowPriority, x.group.UsefulUntil, x.group.RetryCost = x.yields, x.usefulUntil, x.retryCost
	if !route.Idempotent {
		x.group.LostAnswerCost = max(route.LatencyTarget, minLossLatencyTarget) / 2
	}
	settings := *tree.Default()
	settings.MaxAttempts = route.MaxAttempts
	config := gather.Config{
		View: x.group.View, Targets: x.group, ShardBudgets: shardBudgets, Settings: &settings,
		Deadline: x.schedule.deadline, NonIdempotent: !route.Idempotent,
		HedgeDelay: x.hedgeDelay, DeferExtras: times.assisting,
	}
	x.planRemote(&config)
	x.gather = gather.New(config)
	return x
}

// usefulUntil returns when a partial answer is sent, since replies after that are
// of no use. It returns zero if every reply may be of use: if the answer needs all
// shards, or if that time has passed and no answer has been sent.
func (x *exchange) usefulUntil(now time.Time) time.Time {
	if !x.isGather() || !now.Before(x.schedule.partialAt) || !x.schedule.assisting && x.route.LeastCoverage >= 1 {
		return time.Time{}
	}
	return x.schedule.partialAt
}

// retryCost returns the time that a retry for the shard is assumed to cost. A query
// whose retry the budget doesn't allow may miss its latency target, so the cost rises
// to that as the budget is spent.
func (x *exchange) retryCost(now time.Time, shard int) time.Duration {
	return time.Duration(x.budgets[shard].SpentShare(now) * float64(x.schedule.partialAt.Sub(x.request.Arrived)))
}

// lateAfter returns how long an attempt at the target may take before it is
// late.
func (x *exchange) lateAfter(t *fleet.Target) time.Duration {
	return x.runner.ResponseTimes.HedgeDelay(x.route.Name, t.Region, t.Local)
}

// hedgeDelay returns the time from an attempt to its hedge. The hedge is sent when
// the attempt is late, or earlier if only then another target can still answer
// before the partial answer is sent.
func (x *exchange) hedgeDelay(shard int, t *fleet.Target) time.Duration {
	lateAfter := x.lateAfter(t)
	fastestOther := time.Duration(0)
	for _, r := range x.group.View.Replicas[shard] {
		if usual := x.runner.ResponseTimes.Median(x.route.Name, r.Region, r.Local); r != t && (fastestOther == 0 || usual < fastestOther) {
			fastestOther = usual
		}
	}
	if !x.isGather() || fastestOther == 0 {
		return lateAfter
	}
	sent := x.gather.SentAt(shard)
	latestHedge := x.schedule.partialAt.Sub(sent) - fastestOther - lastAttemptSlack
	if lateAfter > latestHedge && x.enoughAnswered() && time.Now().After(sent.Add(latestHedge+2*lastAttemptSlack)) {
		// The partial answer would not wait for the hedge.
		return max(lateAfter, x.schedule.partialAt.Sub(sent))
	}
	return min(lateAfter, max(latestHedge, x.runner.ResponseTimes.Median(x.route.Name, t.Region, t.Local)+lastAttemptSlack))
}

// enoughAnswered reports whether enough shards have answered for an answer.
func (x *exchange) enoughAnswered() bool {
	answered := x.gather.Answered()
	return answered > 0 && float64(answered) >= x.route.LeastCoverage*float64(len(x.poolNames))
}

// tooLate reports whether a new attempt for the shard could not answer before the
// partial answer is sent. After the latency target no attempt is too late.
func (x *exchange) tooLate(now time.Time, shard int) bool {
	for _, t := range x.group.View.Replicas[shard] {
		if now.Add(x.runner.ResponseTimes.Median(x.route.Name, t.Region, t.Local)).Before(x.schedule.partialAt) {
			return false
		}
	}
	return now.Before(x.request.Arrived.Add(x.route.LatencyTarget))
}

// pollInterval is the time between checks for room.
func (x *exchange) pollInterval(now time.Time) time.Duration {
	if now.After(x.schedule.partialAt) {
		return latePollInterval
	}
	return defaultPollInterval
}

// pollWaiting checks for room again for the shards that wait for it.
func (x *exchange) pollWaiting(now time.Time) {
	if now.Sub(x.lastPoll) < x.pollInterval(now) {
		return
	}
	x.lastPoll = now
	for _, shard := range slices.Sorted(maps.Keys(x.cancelWaits)) {
		x.cancelWaits[shard]()
		delete(x.cancelWaits, shard)
		x.apply(x.gather.Freed(now, shard))
	}
}

// isGather reports whether the route merges shards.
func (x *exchange) isGather() bool { return len(x.route.Gather) > 0 }

// run drives the request until there is an answer.
func (x *exchange) run(ctx context.Context) *Answer {
	x.claim = room.From(ctx)
	if answer := x.refuseEarly(); answer != nil {
		return answer
	}
	defer x.release()
	if ctx.Err() != nil {
		return x.interruptedAnswer(ctx, nil)
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var events []event
	step := x.gather.Begin(time.Now())
	x.startRemote()
	for {
		x.apply(step)
		if answer := x.tryAnswer(time.Now(), step.Done); answer != nil {
			return answer
		}
		if answer := x.quarantineAnswer(time.Now()); answer != nil {
			return answer
		}
		timer.Reset(time.Until(x.nextWake(step.NextTick)))
		select {
		case <-x.inbox.Signal:
			events = x.inbox.Take(events)
			step = x.handle(events)
		case <-timer.C:
			step = x.tick(time.Now())
		case <-ctx.Done():
			answer := x.interruptedAnswer(ctx, events)
			x.cancelAll()
			x.cancelRemote()
			return answer
		}
	}
}

// reasonDown is the reason of a refusal since too few pools can serve.
const reasonDown = "too few pools have a target that is up"

// refuseEarly refuses a request that cannot be served because too few shards
// have a target that is up.
func (x *exchange) refuseEarly() *Answer {
	now := time.Now()
	up := x.group.AvailableShards(now)
	needed := 1.0
	if x.isGather() {
		needed = x.route.LeastCoverage
	}
	if x.schedule.assisting || up > 0 && float64(up) >= needed*float64(len(x.poolNames)) {
		return nil
	}
	return &Answer{
		Result: NotRun, Reason: reasonDown, RetryAfter: x.retryAfter(now, retryAfterDown), Missing: len(x.poolNames) - up,
	}
}

// retryAfter returns when a caller may retry: when enough targets return, if pauses
// that targets have asked for are all that the request lacks, or else the usual time.
// Callers that are refused together get different times.
func (x *exchange) retryAfter(now time.Time, usual time.Duration) time.Duration {
	needed := 1
	if x.isGather() {
		needed = max(1, int(math.Ceil(x.route.LeastCoverage*float64(len(x.poolNames)))))
	}
	if in, ok := x.group.RetryAfter(now, needed); ok {
		return in
	}
	return usual
}

// nextWake is when the loop has to run again: at the time that the gather asks
// for, or earlier if an answer may be due by then.
func (x *exchange) nextWake(at time.Time) time.Time {
	now := time.Now()
	if at.IsZero() {
		at = x.schedule.deadline
	}
	for _, other := range [...]time.Time{x.schedule.partialAt, x.schedule.lateAt, x.schedule.queueUntil, x.noticeAt} {
		if other.After(now) && other.Before(at) {
			at = other
		}
	}
	if len(x.cancelWaits) > 0 {
		// A target can get room without an event. Requests that can still meet
		// the latency target check for room more often than late ones.
		if nextPoll := now.Add(x.pollInterval(now)); nextPoll.Before(at) {
			at = nextPoll
		}
	}
	return x.nextGiveUp(at)
}

// handle processes events in order. It applies all steps but the last, which it
// returns.
func (x *exchange) handle(events []event) *gather.Step {
	var step *gather.Step
	for i := range events {
		if step != nil {
			x.apply(step)
		}
		now := time.Now()
		e := &events[i]
		switch {
		case e.accepted != nil:
			step = x.acceptRemote(now, e.accepted)
		case e.remote != nil:
			step = x.endRemote(now, e.remote)
		case e.confirmed:
			step = x.gather.AllowExtras(now)
		case e.roomFreed:
			delete(x.cancelWaits, e.shard)
			step = x.gather.Freed(now, e.shard)
		default:
			step = x.attemptEnded(now, e)
		}
	}
	if step == nil {
		step = x.gather.Tick(time.Now())
	}
	return step
}

func (x *exchange) attemptEnded(now time.Time, e *event) *gather.Step {
	x.unsettled--
	answeredBefore := x.gather.Answered()
	step := x.gather.Ended(now, e.attempt, e.outcome)
	switch e.outcome {
	case fleet.Success:
		if x.gather.Answered() > answeredBefore {
			x.bodies = append(x.bodies, e.reply.Body)
			x.signatures = append(x.signatures, e.signature)
			if !x.isGather() {
				x.reply, x.repliedBy = e.reply, e.target
			}
		}
	case fleet.Failed:
		x.outcomeUnknown = true
		if x.gather.Answered() == 0 {
			x.reply, x.repliedBy = e.reply, e.target
		}
	case fleet.Broken, fleet.Crowded, fleet.Corrupt, fleet.Expired, fleet.Cancelled:
		x.outcomeUnknown = true
	case fleet.Withheld:
		x.sent = x.gather.Sent() > 0
	default:
	}
	return step
}
