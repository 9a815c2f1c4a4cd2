package gather

import (
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

const (
	// maxAttempts bounds the attempts for one shard, whatever the settings.
	maxAttempts = 8
	// hedgeBudgetShare is the share of the hedge budget that the hedge delay is
	// chosen to use.
	hedgeBudgetShare = 0.4
	// maxOutstandingShare is the share of outstanding shards above which no shard
	// counts as a straggler: all targets are slow, and hedges would add load.
	maxOutstandingShare = 0.25
	// minStragglerShards is the minimum number of shards for which
	// maxOutstandingShare and maxLateShare apply.
	minStragglerShards = 8
	// maxLateShare is the share of late shards above which no shard counts as a
	// straggler, and lateRecheckInterval the time until the next check.
	maxLateShare        = 0.4
	lateRecheckInterval = 5 * time.Millisecond
	// retryBackoff is the delay before a second attempt at the same target.
	retryBackoff = 20 * time.Millisecond
	// lostFactor is the number of hedge delays after which an attempt is presumed
	// lost, for example on a connection that was cut without notice.
	lostFactor = 10
	// minHedgeDelay limits how often shards are checked for hedges.
	minHedgeDelay = time.Millisecond
	// canaryTimeoutDivisor divides the time until the deadline. After the
	// resulting time the other shards are sent even if no canary has answered.
	canaryTimeoutDivisor = 4
	// canariesPerRound is the number of canaries sent together, and maxCanaries
	// the number after which the gather ends if all its canaries broke.
	canariesPerRound = 2
	maxCanaries      = 4
)

// Targets picks targets. *fleet.Fleet implements it.
type Targets interface {
	Pick(now time.Time, q fleet.Query) fleet.Choice
	HedgeDelay(now time.Time, share float64) time.Duration
	Slowness(shard int) float64
}

// Budget limits extra attempts. *budget.Budget implements it.
type Budget interface {
	Primary(now time.Time, count int)
	Take(now time.Time, share float64) bool
	Refund(now time.Time)
}

// Config configures a Gather.
type Config struct {
	View        *fleet.View
	Targets     Targets
	HedgeBudget Budget
	RetryBudget Budget
	Settings    *tree.Settings
	// Deadline is when the gather ends, whatever is still missing.
	Deadline time.Time
	// Canary makes the gather send to two shards first, and to the others once
	// one of the two has answered.
	Canary bool
	// CanaryShard is the shard at which the choice of shards for canaries starts.
	CanaryShard int
	// ShardBudgets, if set, holds one budget per shard for its extra attempts, for
	// shards that are pools of their own. It replaces HedgeBudget and RetryBudget.
	// Retries after fleet.Draining and fleet.Gone are then charged as well, since
	// the rejected attempts reached the pool.
	ShardBudgets []Budget
	// HedgeDelay, if set, returns the hedge delay for an attempt at a target. It
	// replaces the quantile over all shards.
	HedgeDelay func(shard int, target *fleet.Target) time.Duration
	// NonIdempotent forbids hedges, and forbids retries unless the earlier attempt
	// certainly did not run and will not run later.
	NonIdempotent bool
	// DeferExtras forbids extra attempts until AllowExtras is called, except retries
	// after an attempt that certainly did not run.
	DeferExtras bool
	// Spent is the number of attempts for each shard that an earlier gather of the same
	// request has made, and that may have run.
	Spent int
	// Remote, if set, is true at the index of each shard that another daemon
	// gathers. The caller reports the end of each by EndRemote or FailRemote, and
	// counts their primary attempts for the budgets.
	Remote []bool
}

// Attempt is one sub-request to send.
type Attempt struct {
	ID     uint64
	Shard  int
	Target *fleet.Target
}

// Step is what the caller has to do next. Its slices are reused by the next call.
type Step struct {
	Send []Attempt
	// AwaitRoom lists shards whose targets are all full. The caller calls Freed for
	// each when a target has room.
	AwaitRoom []int
	// Cancel lists attempts whose replies are no longer needed.
	Cancel []uint64
	// NextTick is when the caller must call Tick; zero means never.
	NextTick time.Time
	Done     bool
}

type phase uint8

const (
	idle phase = iota
	inFlight
	awaitingRoom
	backingOff
	answered
	failed
)

type shardState struct {
	phase    phase
	attempts uint8
	notRun   uint8
	inFlight uint8
	sentAt   time.Time
	retryAt  time.Time
	ids      [maxAttempts]uint64
	tried    [maxAttempts]*fleet.Target
	// counted is true once the primary attempt has been counted for the budgets.
	counted bool
	// charged is true if the budget has paid for the next attempt.
	charged bool
}

type attemptState struct {
	shard int
	ended bool
	// charged is true if the budget has paid for the attempt.
	charged bool
}

// Gather is the state of one scatter.
type Gather struct {
	config       Config
	shards       []shardState
	attempts     []attemptState
	step         Step
	began        time.Time
	settled      int
	answered     int
	canaryOnly   bool
	canariesSent int
	avoidDomain  string
	// reserved is true for shards with an extra attempt from ReserveRemote.
	reserved []bool
	// backingOff is the number of shards in phase backingOff.
	backingOff int
	// withheld is the number of attempts that were not sent.
	withheld int
	// nextHedge is the earliest time at which a shard may be due for a hedge.
	nextHedge time.Time
}

// New returns a gather that is started by Begin.
func New(config Config) *Gather {
	shards := config.View.Shards()
	return &Gather{
		config:   config,
		shards:   make([]shardState, shards),
		attempts: make([]attemptState, 0, shards+shards/8+1),
	}
}

// Begin sends the primary attempts, or only canaries with Config.Canary.
func (g *Gather) Begin(now time.Time) *Step {
	g.reset()
	g.began = now
	g.canaryOnly = g.config.Canary && len(g.shards) > 1
	if g.canaryOnly {
		g.sendCanaries(now, g.config.CanaryShard)
	} else {
		g.sendAll(now)
	}
	return g.finish(now)
}

// Ended records the end of an attempt. Success settles the shard; the caller
// must have checked that the reply matches the attempt.
func (g *Gather) Ended(now time.Time, id uint64, outcome fleet.Outcome) *Step {
	g.reset()
	a := &g.attempts[id]
	if a.ended {
		return g.finish(now)
	}
	a.ended = true
	s := &g.shards[a.shard]
	s.inFlight--
	if notRun(outcome) && outcome != fleet.Withheld {
		s.notRun++
	}
	switch {
	case s.phase == answered || s.phase == failed:
	case outcome == fleet.Withheld:
		g.takeBack(now, id)
	case outcome == fleet.Success:
		g.succeed(now, a.shard)
	case s.inFlight > 0:
		// Another attempt may still answer.
	case g.canaryOnly && outcome == fleet.Broken:
		g.handleBrokenCanary(now, a.shard, s.tried[s.attempts-1])
	default:
		g.retry(now, a.shard, outcome)
	}
	return g.finish(now)
}

// Freed records that a target of a shard in Step.AwaitRoom may have room.
func (g *Gather) Freed(now time.Time, shard int) *Step {
	g.reset()
	if g.shards[shard].phase == awaitingRoom {
		g.launch(now, shard, false)
	}
	return g.finish(now)
}

// Tick runs everything that is due: the deadline, the end of the canary phase,
// retries and hedges.
func (g *Gather) Tick(now time.Time) *Step {
	g.reset()
	if !now.Before(g.config.Deadline) {
		g.expire()
		return g.finish(now)
	}
	if g.canaryOnly && !now.Before(g.canaryDeadline()) {
		g.endCanaryPhase(now)
	}
	for shard := range g.shards {
		s := &g.shards[shard]
		if s.phase == backingOff && !now.Before(s.retryAt) {
			g.backingOff--
			g.launch(now, shard, true)
		}
	}
	return g.finish(now)
}

// AllowExtras allows the extra attempts that Config.DeferExtras forbade.
func (g *Gather) AllowExtras(now time.Time) *Step {
	g.reset()
	g.config.DeferExtras = false
	g.nextHedge = time.Time{}
	return g.finish(now)
}

func (g *Gather) reset() {
	g.step.Send = g.step.Send[:0]
	g.step.AwaitRoom = g.step.AwaitRoom[:0]
	g.step.Cancel = g.step.Cancel[:0]
	g.step.NextTick = time.Time{}
}

// finish completes the step: it adds the hedges that are due and sets Done and
// NextTick.
func (g *Gather) finish(now time.Time) *Step {
	g.step.Done = g.settled == len(g.shards)
	if g.step.Done {
		return &g.step
	}
	g.scheduleTick(g.config.Deadline)
	if g.canaryOnly {
		g.scheduleTick(g.canaryDeadline())
	}
	for shard := 0; g.backingOff > 0 && shard < len(g.shards); shard++ {
		if s := &g.shards[shard]; s.phase == backingOff {
			g.scheduleTick(s.retryAt)
		}
	}
	g.hedge(now)
	return &g.step
}

func (g *Gather) scheduleTick(at time.Time) {
	if g.step.NextTick.IsZero() || at.Before(g.step.NextTick) {
		g.step.NextTick = at
	}
}

func (g *Gather) succeed(now time.Time, shard int) {
	s := &g.shards[shard]
	s.phase = answered
	g.answered++
	g.settled++
	g.cancelInFlight(s)
	if g.canaryOnly {
		g.endCanaryPhase(now)
	}
}

func (g *Gather) cancelInFlight(s *shardState) {
	for _, id := range s.ids[:s.attempts] {
		if !g.attempts[id].ended {
			g.step.Cancel = append(g.step.Cancel, id)
		}
	}
}

func (g *Gather) fail(shard int) {
	if g.shards[shard].phase == backingOff {
		g.backingOff--
	}
	g.shards[shard].phase = failed
	g.settled++
}

// expire fails every shard that has not answered.
func (g *Gather) expire() {
	for shard := range g.shards {
		s := &g.shards[shard]
		if s.phase == answered || s.phase == failed {
			continue
		}
		g.cancelInFlight(s)
		g.fail(shard)
	}
}

// sendAll sends the shards that are idle. Those whose canary broke its target have
// had an attempt, so a further one is a retry.
func (g *Gather) sendAll(now time.Time) {
	for shard := range g.shards {
		switch s := &g.shards[shard]; {
		case s.phase != idle || g.remote(shard):
		case s.attempts > 0:
			g.retry(now, shard, fleet.Broken)
		default:
			g.launch(now, shard, false)
		}
	}
}

// launch sends a shard that has no attempt in flight to a target. With allowTried,
// targets that were tried before may be picked.
func (g *Gather) launch(now time.Time, shard int, allowTried bool) {
	s := &g.shards[shard]
	choice := g.config.Targets.Pick(now, fleet.Query{
		View: g.config.View, Shard: shard, Tried: s.tried[:s.attempts], AllowTried: allowTried, AvoidDomain: g.avoidDomain,
	})
	switch choice.Verdict {
	case fleet.Picked:
		if s.attempts == 0 && !s.counted && !g.remote(shard) {
			g.countPrimary(now, shard)
			s.counted = true
		}
		g.send(now, shard, choice.Target)
	case fleet.Busy:
		s.phase = awaitingRoom
		g.step.AwaitRoom = append(g.step.AwaitRoom, shard)
	case fleet.Exhausted:
		s.phase = backingOff
		g.backingOff++
		s.retryAt = now.Add(retryBackoff)
	case fleet.Lost, fleet.OverLimit:
		g.fail(shard)
	}
}

func (g *Gather) send(now time.Time, shard int, target *fleet.Target) {
	s := &g.shards[shard]
	id := uint64(len(g.attempts))
	g.attempts = append(g.attempts, attemptState{shard: shard, charged: s.charged})
	s.charged = false
	s.phase = inFlight
	s.ids[s.attempts] = id
	s.tried[s.attempts] = target
	s.attempts++
	s.inFlight++
	s.sentAt = now
	g.nextHedge = time.Time{}
	g.step.Send = append(g.step.Send, Attempt{ID: id, Shard: shard, Target: target})
}

// takeBack undoes an attempt that was not sent, and sends the shard to another target
// unless a further attempt is in flight. What an extra attempt took from the budget
// serves the one in its place, or is given back.
func (g *Gather) takeBack(now time.Time, id uint64) {
	shard := g.attempts[id].shard
	s := &g.shards[shard]
	at := slices.Index(s.ids[:s.attempts], id)
	copy(s.ids[at:], s.ids[at+1:s.attempts])
	copy(s.tried[at:], s.tried[at+1:s.attempts])
	s.attempts--
	g.withheld++
	g.nextHedge = time.Time{}
	s.charged = g.attempts[id].charged
	if s.inFlight == 0 {
		g.launch(now, shard, false)
	}
	if s.charged && (s.inFlight > 0 || s.phase == failed) {
		s.charged = false
		g.retryBudget(shard).Refund(now)
	}
	if g.canaryOnly && !g.canaryPending() {
		g.endCanaryPhase(now)
	}
}

// mayAttempt reports whether the settings allow the shard one attempt more.
func (g *Gather) mayAttempt(s *shardState) bool {
	if g.config.DeferExtras {
		return s.attempts == 0
	}
	return g.config.Spent+int(s.attempts) < min(g.config.Settings.MaxAttempts, maxAttempts)
}

// retry sends a shard whose attempt failed to another target. The retry is free
// if the failed attempt certainly put no load on its target; otherwise it is
// charged to the retry budget.
func (g *Gather) retry(now time.Time, shard int, outcome fleet.Outcome) {
	s := &g.shards[shard]
	free := outcome == fleet.Refused || g.config.ShardBudgets == nil && (outcome == fleet.Draining || outcome == fleet.Gone)
	attemptsLeft := g.mayAttempt(s) || notRun(outcome) && s.attempts < maxAttempts && g.config.Settings.MaxAttempts > 1
	notRetryable := outcome == fleet.Expired || g.config.NonIdempotent && !notRun(outcome)
	if !attemptsLeft || notRetryable || !free && !g.retryBudget(shard).Take(now, g.config.Settings.RetryBudget) {
		g.giveUp(now, shard)
		return
	}
	s.charged = !free
	g.launch(now, shard, false)
}

// giveUp fails a shard. A canary that failed without breaking its target is no
// evidence against the query, so giveUp ends the canary phase.
func (g *Gather) giveUp(now time.Time, shard int) {
	g.fail(shard)
	if g.canaryOnly {
		g.endCanaryPhase(now)
	}
}

// Sent returns the number of shards that were sent at least once.
func (g *Gather) Sent() int {
	count := 0
	for shard := range g.shards {
		if g.shards[shard].attempts > 0 {
			count++
		}
	}
	return count
}
