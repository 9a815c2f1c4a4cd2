// Package relay runs one opaque request: it sends the caller's bytes to one
// target, or to one target of each shard, and returns one whole answer. Which
// target, when a second one, and when to stop are decided by the packages
// gather and fleet; this one moves the bytes.
//
// # Usage
//
//	r := &relay.Runner{Pools: pools, Connect: connect, Dialect: dialect, Poison: register, Tempo: tempo.New(), Log: log}
//	answer := r.Run(ctx, &relay.Request{ID: id, Method: "GET", URI: "/a/b", Arrived: now}, route)
//
// A context that ends stands for a caller that has left.
package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/repeat"
	"github.com/magnoliarelay/magnoliarelay/internal/process/tempo"
	"github.com/magnoliarelay/magnoliarelay/internal/process/trace"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Request is one attempt of a caller.
type Request struct {
	// ID is the caller's, new for each of its attempts.
	ID     string
	Method string
	Host   string
	// URI is the path and query as they arrived.
	URI    string
	Header http.Header
	Body   []byte
	// Arrived is when the request was read.
	Arrived time.Time
	// Patience is how long the caller waits; zero is unknown.
	Patience time.Duration
}

// Result says how a request ended.
type Result string

// The results.
const (
	// Passed is one target's reply, whatever its status.
	Passed Result = "Passed"
	// Gathered is a merge of all shards, Partial one of enough of them.
	Gathered Result = "Gathered"
	Partial  Result = "Partial"
	// NotRun means that no target has run the request or will.
	NotRun Result = "NotRun"
	// Broken means that the outcome is unknown, or that too few shards answered.
	Broken Result = "Broken"
	// Expired means that the time was up.
	Expired Result = "Expired"
	// NoRoute means that no route leads anywhere.
	NoRoute Result = "NoRoute"
	// Left means that the caller went away.
	Left Result = "Left"
)

// Answer is what the caller gets.
type Answer struct {
	Result Result
	// Reply is a target's reply, for Passed.
	Reply *http1.Reply
	// Body is the merged body, for Gathered and Partial.
	Body []byte
	// Signatures are those of the parts in the body.
	Signatures []string
	// Missing is the number of shards left out.
	Missing int
	// Why says in a few words what decided.
	Why string
	// RetryAfter is when a request that was not run may be served.
	RetryAfter time.Duration
	// Outstanding tells what became of the shards left out.
	Outstanding string
	// Extras is the number of attempts beyond the first of each shard.
	Extras int
	// Pool is the pool that was chosen for a request to one pool.
	Pool string
	// Spent is how long the caller had waited before its request came here.
	Spent time.Duration
}

// Judgement is what a dialect makes of a target's reply.
type Judgement struct {
	Outcome fleet.Outcome
	// Signature is the target's signature of its reply.
	Signature string
	// Load is the target's word on its load; nil if it says none.
	Load *wire.Load
}

// Dialect writes what targets read and reads what they write.
type Dialect interface {
	http1.Marks
	// Encode makes the request to a target. Left is the time that remains.
	Encode(request *Request, target *fleet.Target, left time.Duration) *http.Request
	// Judge reads a reply.
	Judge(request *Request, reply *http1.Reply) Judgement
	// Merge makes one body of the parts of a gather.
	Merge(route *tree.Route, parts [][]byte) []byte
}

// Pools is what is known of the targets; *pools.Pools is one.
type Pools interface {
	Fleet(name string) *fleet.Fleet
	Budget(name string) *repeat.Budget
}

// Sender sends a request to one target and returns the whole reply.
type Sender interface {
	Do(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error)
	// DoOnce is Do for a request that must not be sent again.
	DoOnce(ctx context.Context, request *http.Request, deadline time.Time) (*http1.Reply, error)
}

// Runner runs requests. Exported fields are set before Run.
type Runner struct {
	Pools   Pools
	Dialect Dialect
	// Connect returns the connections to a target.
	Connect func(t *fleet.Target) Sender
	Poison  *poison.Register
	// Tempo knows how long answers usually take.
	Tempo *tempo.Tempo
	Log   *trace.Log
	// Suspect, if set, is called when a request may have crashed a target.
	Suspect func()
	// Stalled, if set, is told of a target that is late to answer.
	Stalled func(pool string, target *fleet.Target, since time.Duration)
	// Lost, if set, is told of a target that lost the answer to a request which
	// must not be sent again.
	Lost func(pool string, target *fleet.Target)
	// Far, if set, gathers shards through daemons of other regions.
	Far Far

	splits   splits
	crashes  crashes
	patience patience
	ways     ways
}

const (
	// answerMargin is kept between the end of a gather and the end of the
	// caller's time, for the answer's way back.
	answerMargin = 15 * time.Millisecond
	// callerTravel is the way of a request and of its answer; callers are a few
	// milliseconds away.
	callerTravel = 8 * time.Millisecond
	// timingSlack is kept for timers that fire late on a small share of a core.
	timingSlack = 8 * time.Millisecond
	// chanceSlack is kept for a last attempt beyond the time that it usually takes.
	chanceSlack = 6 * time.Millisecond
	// patienceFactor is how many latency targets a late answer waits for more
	// shards when it has enough but not all.
	patienceFactor = 3
	// watchTime is how long an attempt that is no longer needed may go on to tell
	// when its target answers again; pauses are shorter.
	watchTime = 400 * time.Millisecond
	// watchFactor is how much slower than usual a target may be for that; one
	// that is slower is not pausing but short of room.
	watchFactor = 2
	// queueShare is the part of the latency target that a request may wait for
	// room at a target before it is refused.
	queueShare = 4
	// waitInterval is the time between looks for room at full targets.
	waitInterval = 25 * time.Millisecond
	// urgentFactor is how many latency targets before its end a late request no
	// longer yields: it has to get through a queue too.
	urgentFactor = 5
	// lossLeast is the least latency target of which half is what a lost answer
	// costs: a request that can not be sent again rather takes so much longer.
	lossLeast = 100 * time.Millisecond
	// lateInterval is that of requests which are late already.
	lateInterval = 200 * time.Millisecond
	// retryBusy and retryDown are when a caller may come back if all targets are
	// full, or if none is up.
	retryBusy = 150 * time.Millisecond
	retryDown = 700 * time.Millisecond
)

// Run carries out the request on a route.
func (r *Runner) Run(ctx context.Context, request *Request, route *tree.Route) *Answer {
	fingerprint := poison.Fingerprint(request.Method, request.Host, request.URI, string(request.Body))
	if left, held := r.Poison.Quarantined(request.Arrived, fingerprint); held {
		return &Answer{Result: NotRun, Why: "the request is held back: targets crashed while they ran it", RetryAfter: left}
	}
	names := route.Gather
	pool := ""
	if len(names) == 0 {
		pool = r.splits.next(route)
		names = []string{pool}
	}
	x := r.exchange(request, route, names, fingerprint, r.schedule(request, route))
	answer := x.run(ctx)
	answer.Pool, answer.Spent = pool, x.times.spent
	answer.Extras = x.gather.Attempts() - x.gather.Sent()
	return answer
}

// crashes remembers which request each target broke on, until the target shows
// whether it crashed.
type crashes struct {
	mu     sync.Mutex
	broken map[string]brokenRequest
}

type brokenRequest struct {
	fingerprint uint64
	at          time.Time
}

// crashWindow is how soon after a broken connection a refused one shows that
// the target went down with it, and crashesMost bounds what is remembered.
const (
	crashWindow = 3 * time.Second
	crashesMost = 1024
)

// note records that a connection broke while the target ran a request.
func (c *crashes) note(now time.Time, target string, fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken == nil || len(c.broken) >= crashesMost {
		c.broken = map[string]brokenRequest{}
	}
	c.broken[target] = brokenRequest{fingerprint: fingerprint, at: now}
}

// down returns the request that the target broke on just before it went down.
func (c *crashes) down(now time.Time, target string) (fingerprint uint64, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, found := c.broken[target]
	delete(c.broken, target)
	return b.fingerprint, found && now.Sub(b.at) < crashWindow
}

// up forgets what the target broke on, since it answers.
func (c *crashes) up(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.broken, target)
}
