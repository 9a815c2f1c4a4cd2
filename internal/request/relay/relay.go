// Package relay runs one opaque request: it forwards the caller's bytes to one
// target, or to one target of each shard, and returns one complete answer. The
// packages gather and fleet decide which target gets the request, when a second
// attempt is sent and when to stop; this package sends and receives the bytes.
//
// # Usage
//
//	r := &relay.Runner{Pools: pools, Connect: connect, Dialect: dialect, Poison: register, ResponseTimes: timing.New(), Log: log}
//	answer := r.Run(ctx, &relay.Request{ID: id, Method: "GET", URI: "/a/b", Arrived: now}, route)
//
// Cancelling ctx means that the caller has disconnected.
package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/process/crash"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/logger"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/retry"
	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
	"github.com/magnoliarelay/magnoliarelay/internal/process/timing"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Request is one request of a caller; a caller's retry is a request of its own.
type Request struct {
	// ID is chosen by the caller, which chooses a new one for each retry.
	ID     string
	Method string
	Host   string
	// URI is the path and query as received.
	URI    string
	Header http.Header
	Body   []byte
	// Arrived is when the request was read.
	Arrived time.Time
	// Timeout is how long the caller still waits for the answer; zero means that
	// this is unknown.
	Timeout time.Duration
}

// Result says how a request ended.
type Result string

// The results.
const (
	// Passed means that the answer is one target's reply, whatever its status.
	Passed Result = "Passed"
	// Gathered means that the answer merges all shards, Partial that it merges
	// enough of them.
	Gathered Result = "Gathered"
	Partial  Result = "Partial"
	// NotRun means that no target has run the request or will run it.
	NotRun Result = "NotRun"
	// Broken means that the outcome is unknown, or that too few shards answered.
	Broken Result = "Broken"
	// Expired means that the time was up before there was an answer.
	Expired Result = "Expired"
	// NoRoute means that no route matches the request.
	NoRoute Result = "NoRoute"
	// CallerLeft means that the caller disconnected.
	CallerLeft Result = "Left"
)

// Answer is what the caller gets.
type Answer struct {
	Result Result
	// Reply is a target's reply, for Passed.
	Reply *http1.Reply
	// Target has sent Reply.
	Target *fleet.Target
	// Body is the merged body, for Gathered and Partial.
	Body []byte
	// Signatures are the signatures of the parts merged into Body.
	Signatures []string
	// Missing is the number of shards left out.
	Missing int
	// Reason says in a few words why the request ended like this.
	Reason string
	// RetryAfter is how long to wait before a request that was not run is
	// retried.
	RetryAfter time.Duration
	// Outstanding describes the shards left out, for the log.
	Outstanding string
	// ExtraAttempts is the number of attempts beyond the first of each shard.
	ExtraAttempts int
	// Pool is the pool chosen for a request to a single pool.
	Pool string
	// WaitedBefore is how long the caller had waited before this request arrived.
	WaitedBefore time.Duration
}

// Classification is how a dialect classifies a target's reply.
type Classification struct {
	Outcome fleet.Outcome
	// Signature is the target's signature of its reply.
	Signature string
	// Load is the load that the target reports; nil if it reports none.
	Load *wire.Load
	// Leaving is true if the target says that it is shutting down.
	Leaving bool
	// Pause is how long the target wants no further request from this host, at most
	// fleet.MaxPause; zero means that it asks for no pause. InvalidPause is the text
	// of a pause that is not a sensible time, shortened for the log.
	Pause        time.Duration
	InvalidPause string
	// Limit is how many requests a second the target takes from all daemons together, at
	// least fleet.MinLimit; nil means that it names no limit. InvalidLimit is the text of
	// a limit that is no number.
	Limit        *float64
	InvalidLimit string
}

// Dialect encodes requests to targets and interprets their replies.
type Dialect interface {
	http1.Correlator
	// Encode makes the request to a target. Remaining is the time left for it.
	Encode(request *Request, target *fleet.Target, remaining time.Duration) *http.Request
	// Classify classifies a reply.
	Classify(request *Request, reply *http1.Reply) Classification
	// Merge merges the parts of a gather into one body.
	Merge(route *tree.Route, parts [][]byte) []byte
}

// Pools gives access to the targets of each pool; *pools.Pools implements it.
type Pools interface {
	Fleet(name string) *fleet.Fleet
	Budget(name string) *retry.Budget
}

// Sender sends a request to one target and returns the whole reply.
type Sender interface {
	Do(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error)
	// DoOnce is Do for a request that must not be sent again.
	DoOnce(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error)
	// Probe connects to the target to find out whether it still listens.
	Probe(ctx context.Context) error
}

// Runner runs requests. Exported fields are set before Run.
type Runner struct {
	Pools   Pools
	Dialect Dialect
	// Connect returns the connections to a target.
	Connect func(t *fleet.Target) Sender
	Poison  *poison.Register
	// ResponseTimes learns the usual response times of targets.
	ResponseTimes *timing.Tracker
	Log           *logger.Log
	// OnSuspectedCrash, if set, is called when a request may have crashed a target, and
	// when one that was suspected has succeeded.
	OnSuspectedCrash func()
	// OnStalledTarget, if set, is called when a target is late to answer. Since is how
	// long an attempt at the target may take before it is late.
	OnStalledTarget func(pool string, target *fleet.Target, since time.Duration)
	// OnLostAnswer, if set, is called when a target lost the answer to a request that
	// must not be sent again.
	OnLostAnswer func(pool string, target *fleet.Target)
	// Requests and Answers, if set, bound the memory for requests of other daemons. That for
	// callers is bounded by the claim in the context of Run, see package room.
	Requests *room.Room
	Answers  *room.Room
	// RemotePeers, if set, gathers shards through daemons of other regions.
	RemotePeers RemotePeers

	splits         splits
	crashes        crash.Tracker
	attemptIDs     atomic.Uint64
	callerTimeouts callerTimeouts
	roundTrips     roundTrips
}

const (
	// answerMargin is kept between the end of a gather and the caller's
	// deadline, so that the answer can reach the caller in time.
	answerMargin = 15 * time.Millisecond
	// callerRoundTrip is the travel time of a request and its answer; callers
	// are a few milliseconds away.
	callerRoundTrip = 8 * time.Millisecond
	// timerSlack allows for timers that fire late if the daemon has only a small
	// share of a CPU core.
	timerSlack = 8 * time.Millisecond
	// lastAttemptSlack is added to the usual response time to find the latest
	// time at which a hedge can still answer before the partial answer is sent.
	lastAttemptSlack = 6 * time.Millisecond
	// lateAnswerFactor times the latency target is how long after its arrival a
	// late request waits for all shards if enough have answered.
	lateAnswerFactor = 3
	// pauseProbeTime is how long an attempt that is no longer needed may go on,
	// to show when its target answers again after a pause. Pauses are shorter.
	pauseProbeTime = 400 * time.Millisecond
	// pauseProbeFactor is how many times the usual response time a target may
	// take to be probed like this. A slower target is not pausing but
	// overloaded.
	pauseProbeFactor = 2
	// queueTimeDivisor divides the latency target; the result is how long a
	// request may wait for room at a target before it is refused.
	queueTimeDivisor = 4
	// defaultPollInterval is the time between checks for room at full targets.
	defaultPollInterval = 25 * time.Millisecond
	// urgentFactor times the latency target is how long before its deadline a
	// late request stops yielding at the earliest, since it still has to get
	// through a queue.
	urgentFactor = 5
	// minLossLatencyTarget replaces a shorter latency target in the cost of a
	// lost answer. The cost is half the latency target: a request that must not
	// be sent again accepts that much more response time at a target that loses
	// no answers.
	minLossLatencyTarget = 100 * time.Millisecond
	// latePollInterval is the poll interval of requests that are already late.
	latePollInterval = 200 * time.Millisecond
	// retryAfterFull and retryAfterDown are when a caller may retry if all
	// targets are full, or if none is up.
	retryAfterFull = 150 * time.Millisecond
	retryAfterDown = 700 * time.Millisecond
)

// Run carries out the request on a route.
func (r *Runner) Run(ctx context.Context, request *Request, route *tree.Route) *Answer {
	fingerprint := poison.Fingerprint(request.Method, request.Host, request.URI, string(request.Body))
	if remaining, quarantined := r.Poison.Quarantined(request.Arrived, fingerprint); quarantined {
		return &Answer{Result: NotRun, Reason: reasonQuarantined, RetryAfter: remaining}
	}
	poolNames := route.Gather
	pool := ""
	if len(poolNames) == 0 {
		pool = r.splits.next(route)
		poolNames = []string{pool}
	}
	x := r.newExchange(request, route, poolNames, fingerprint, r.newSchedule(request, route))
	answer := x.run(ctx)
	// Attempts that go on keep the exchange, but not what the answer holds.
	x.reply, x.bodies = nil, nil
	answer.Pool, answer.WaitedBefore = pool, x.schedule.spent
	answer.ExtraAttempts = x.gather.Attempts() - x.gather.Sent()
	return answer
}
