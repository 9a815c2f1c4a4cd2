package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/request/gather"
	"github.com/magnoliarelay/magnoliarelay/internal/request/inbox"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// event is the end of an attempt, or room at a target of a waiting shard.
type event struct {
	freed   bool
	shard   int
	attempt uint64
	target  *fleet.Target
	outcome fleet.Outcome
	reply   *http1.Reply
	mark    string
	// far is the end of a gather through another daemon; accepted is one that
	// has begun.
	far      *farEnd
	accepted *farCall
	// confirmed is that the daemon for which this one gathers knows that it does.
	confirmed bool
}

// schedule is when a request ends one way or another.
type schedule struct {
	// end is when the caller's time or the route's is up.
	end time.Time
	// partial is when an answer with enough shards goes out, and late when one
	// that is late does.
	partial time.Time
	late    time.Time
	// spent is how long the caller had waited before.
	spent time.Duration
	// aim is when the latency target passes, counted from the caller's first
	// attempt. From then on, until urgent, the request yields to others.
	aim    time.Time
	urgent time.Time
	// queue is until when the request may wait for room before its first attempt.
	queue time.Time
	// assisting is true for shards gathered for another daemon.
	assisting bool
}

// exchange is one request under way.
type exchange struct {
	runner      *Runner
	request     *Request
	route       *tree.Route
	names       []string
	fingerprint uint64
	group       *fleet.Group
	gather      *gather.Gather
	inbox       *inbox.Inbox[event]
	waits       map[int]func()
	times       schedule

	mu      sync.Mutex
	cancels map[uint64]*underway

	bodies     [][]byte
	signatures []string
	sent       bool
	unknown    bool
	// looked is when shards that wait last looked for room.
	looked time.Time
	// unsettled is the number of attempts whose end has not been taken yet.
	unsettled int
	// reply is what a request to one pool is answered with: a success, or else
	// the newest failure of a target.
	reply *http1.Reply
	fars  []*farCall
}

func (r *Runner) exchange(request *Request, route *tree.Route, names []string, fingerprint uint64, times schedule) *exchange {
	fleets := make([]*fleet.Fleet, len(names))
	budgets := make([]gather.Budget, len(names))
	for i, name := range names {
		fleets[i] = r.Pools.Fleet(name)
		budgets[i] = r.Pools.Budget(name)
		if times.assisting {
			budgets[i] = borrowed{budgets[i]}
		}
	}
	x := &exchange{
		runner: r, request: request, route: route, names: names, fingerprint: fingerprint,
		group: fleet.NewGroup(fleets), inbox: inbox.New[event](), waits: map[int]func(){},
		cancels: map[uint64]*underway{}, times: times,
	}
	x.group.LateAfter = x.late
	x.group.Yields, x.group.UsefulBy = x.yields, x.usefulBy
	if !route.Idempotent {
		x.group.LossCost = max(route.LatencyTarget, minLossLatencyTarget) / 2
	}
	settings := *tree.Default()
	settings.MaxAttempts = route.MaxAttempts
	config := gather.Config{
		View: x.group.View, Targets: x.group, Pools: budgets, Settings: &settings,
		Deadline: x.times.end, Once: !route.Idempotent,
		Delay: x.delay, Held: times.assisting,
	}
	x.planFar(&config)
	x.gather = gather.New(config)
	return x
}

// schedule works out the times at which the request ends.
func (r *Runner) schedule(request *Request, route *tree.Route) schedule {
	patience := route.Timeout
	if request.Patience > 0 {
		patience = min(patience, max(request.Patience-answerMargin, request.Patience/2))
	}
	spent := r.callerTimeouts.spent(request.Arrived, route.Name, request.Patience)
	margin := callerRoundTrip + timerSlack + min(spent, wayMost)
	target := route.LatencyTarget
	if target == 0 {
		target = patience
	}
	queue := request.Arrived.Add(target / queueTimeDivisor)
	if len(route.Gather) > 0 && spent > target {
		// It is late already and yields: it waits as long as that.
		queue = request.Arrived.Add(max(patience-urgentFactor*target, target/queueTimeDivisor))
	}
	return schedule{
		spent:   spent,
		aim:     request.Arrived.Add(target - spent),
		urgent:  request.Arrived.Add(patience - urgentFactor*target),
		end:     request.Arrived.Add(patience),
		partial: request.Arrived.Add(max(target-margin, target/2)),
		late:    request.Arrived.Add(min(lateAnswerFactor*target, patience*3/4)),
		queue:   queue,
	}
}

// yields reports whether the request is late already, so that others which can
// still be in time go first.
func (x *exchange) yields(now time.Time) bool { return x.yieldsFor(now) > 0 }

// yieldsFor is for how long it does so: not to the end of its time.
func (x *exchange) yieldsFor(now time.Time) time.Duration {
	if !x.gathers() || now.Before(x.times.aim) {
		return 0
	}
	return max(0, x.times.urgent.Sub(now))
}

// usefulBy is when the answer in part goes out, if it may miss shards: what
// comes later is not waited for. Zero means that every answer is of use.
func (x *exchange) usefulBy(now time.Time) time.Time {
	if !x.gathers() || !now.Before(x.times.partial) || !x.times.assisting && x.route.LeastCoverage >= 1 {
		return time.Time{}
	}
	return x.times.partial
}

// late is how long after its send an attempt at the target counts as late.
func (x *exchange) late(t *fleet.Target) time.Duration {
	return x.runner.Tempo.Late(x.route.Name, t.Region, t.Near)
}

// delay is how long after its send an attempt gets company: when it is late, or
// earlier, as long as another target can still answer before the request ends
// with what it has.
func (x *exchange) delay(shard int, t *fleet.Target) time.Duration {
	late := x.late(t)
	other := time.Duration(0)
	for _, r := range x.group.View.Replicas[shard] {
		if usual := x.runner.Tempo.Usual(x.route.Name, r.Region, r.Near); r != t && (other == 0 || usual < other) {
			other = usual
		}
	}
	if !x.gathers() || other == 0 {
		return late
	}
	sent := x.gather.SentAt(shard)
	last := x.times.partial.Sub(sent) - other - lastAttemptSlack
	if late > last && x.enough() && time.Now().After(sent.Add(last+2*lastAttemptSlack)) {
		// No answer to it could be waited for.
		return max(late, x.times.partial.Sub(sent))
	}
	return min(late, max(last, x.runner.Tempo.Usual(x.route.Name, t.Region, t.Near)+lastAttemptSlack))
}

// enough reports whether the shards that have answered make an answer.
func (x *exchange) enough() bool {
	answered := x.gather.Answered()
	return answered > 0 && float64(answered) >= x.route.LeastCoverage*float64(len(x.names))
}

// tooLate reports whether an attempt for a shard could not answer before the
// answer in part goes out.
func (x *exchange) tooLate(now time.Time, shard int) bool {
	for _, t := range x.group.View.Replicas[shard] {
		if now.Add(x.runner.Tempo.Usual(x.route.Name, t.Region, t.Near)).Before(x.times.partial) {
			return false
		}
	}
	return now.Before(x.request.Arrived.Add(x.route.LatencyTarget))
}

// lookInterval is the time between looks for room.
func (x *exchange) lookInterval(now time.Time) time.Duration {
	if now.After(x.times.partial) {
		return latePollInterval
	}
	return defaultPollInterval
}

// retryWaiting looks for room again for the shards that wait for it.
func (x *exchange) retryWaiting(now time.Time) {
	if now.Sub(x.looked) < x.lookInterval(now) {
		return
	}
	x.looked = now
	for _, shard := range slices.Sorted(maps.Keys(x.waits)) {
		x.waits[shard]()
		delete(x.waits, shard)
		x.carryOut(x.gather.Freed(now, shard))
	}
}

// gathers reports whether the route merges shards.
func (x *exchange) gathers() bool { return len(x.route.Gather) > 0 }

// run drives the request until there is an answer.
func (x *exchange) run(ctx context.Context) *Answer {
	if answer := x.refuse(); answer != nil {
		return answer
	}
	defer x.release()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var events []event
	step := x.gather.Begin(time.Now())
	x.callFar()
	for {
		x.carryOut(step)
		if answer := x.conclude(time.Now(), step.Done); answer != nil {
			return answer
		}
		timer.Reset(time.Until(x.next(step.Next)))
		select {
		case <-x.inbox.Signal:
			events = x.inbox.Take(events)
			step = x.handle(events)
		case <-timer.C:
			step = x.tick(time.Now())
		case <-ctx.Done():
			x.cancelAll()
			x.endFars()
			return &Answer{Result: Left, Why: "the caller went away"}
		}
	}
}

// refuse answers at once what can not be served: too few shards have a target.
func (x *exchange) refuse() *Answer {
	now := time.Now()
	up := x.group.Up(now)
	needed := 1.0
	if x.gathers() {
		needed = x.route.LeastCoverage
	}
	if x.times.assisting || up > 0 && float64(up) >= needed*float64(len(x.names)) {
		return nil
	}
	return &Answer{Result: NotRun, Why: "too few pools have a target that is up", RetryAfter: retryAfterDown, Missing: len(x.names) - up}
}

// next is when to look again: what the gather asks for, or the times at which
// an answer may go out.
func (x *exchange) next(at time.Time) time.Time {
	now := time.Now()
	if at.IsZero() {
		at = x.times.end
	}
	for _, other := range [...]time.Time{x.times.partial, x.times.late, x.times.queue} {
		if other.After(now) && other.Before(at) {
			at = other
		}
	}
	if len(x.waits) > 0 {
		// Room also comes with time alone. Those that can still be in time go first.
		if soon := now.Add(x.lookInterval(now)); soon.Before(at) {
			at = soon
		}
	}
	return x.waitFar(at)
}

// handle takes events in order. All steps but the last are carried out here.
func (x *exchange) handle(events []event) *gather.Step {
	var step *gather.Step
	for i := range events {
		if step != nil {
			x.carryOut(step)
		}
		now := time.Now()
		e := &events[i]
		switch {
		case e.accepted != nil:
			step = x.acceptFar(now, e.accepted)
		case e.far != nil:
			step = x.endFar(now, e.far)
		case e.confirmed:
			step = x.gather.Release(now)
		case e.freed:
			delete(x.waits, e.shard)
			step = x.gather.Freed(now, e.shard)
		default:
			step = x.ended(now, e)
		}
	}
	if step == nil {
		step = x.gather.Tick(time.Now())
	}
	return step
}

func (x *exchange) ended(now time.Time, e *event) *gather.Step {
	x.unsettled--
	before := x.gather.Answered()
	step := x.gather.Ended(now, e.attempt, e.outcome)
	switch e.outcome {
	case fleet.Success:
		if x.gather.Answered() > before {
			x.bodies = append(x.bodies, e.reply.Body)
			x.signatures = append(x.signatures, e.mark)
			if !x.gathers() {
				x.reply = e.reply
			}
		}
	case fleet.Failed:
		x.unknown = true
		if x.gather.Answered() == 0 {
			x.reply = e.reply
		}
	case fleet.Broken, fleet.Crowded, fleet.Corrupt, fleet.Expired, fleet.Cancelled:
		x.unknown = true
	default:
	}
	return step
}
