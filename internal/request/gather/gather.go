package gather

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

const (
	// mostAttempts bounds the attempts for one shard, whatever the settings.
	mostAttempts = 8
	// hedgeShare is the part of the hedge budget that the delay aims to use.
	hedgeShare = 0.4
	// stragglerShare is the share of shards outstanding above which a slow
	// shard is no straggler: everything is slow, and hedges would add load.
	stragglerShare = 0.25
	// stragglerLeast is the number of shards below which that test says nothing.
	stragglerLeast = 8
	// crowdShare is the share of shards that, late at once, are no stragglers,
	// and crowdPause the time until that is looked at again.
	crowdShare = 0.4
	crowdPause = 5 * time.Millisecond
	// retryPause is the time before a target is tried a second time.
	retryPause = 20 * time.Millisecond
	// lostFactor is how many hedge delays an attempt may take before it is
	// presumed lost, as on a connection that is cut without notice.
	lostFactor = 10
	// leastDelay keeps hedge checks apart.
	leastDelay = time.Millisecond
	// canaryPatience is the part of the deadline after which a canary that
	// neither answered nor broke is trusted.
	canaryPatience = 4
	// canariesAtOnce is the number of canaries sent together, and canariesMost
	// the number after which a request whose canaries break is given up.
	canariesAtOnce = 2
	canariesMost   = 4
)

// Targets picks targets; *fleet.Fleet is one.
type Targets interface {
	Pick(now time.Time, q fleet.Query) fleet.Choice
	HedgeDelay(now time.Time, share float64) time.Duration
	Slowness(shard int) float64
}

// Budget limits extra attempts; *budget.Budget is one.
type Budget interface {
	Primary(now time.Time, count int)
	Take(now time.Time, share float64) bool
	Refund(now time.Time)
}

// Config is set before New.
type Config struct {
	View     *fleet.View
	Targets  Targets
	Hedges   Budget
	Retries  Budget
	Settings *tree.Settings
	// Deadline ends the gather.
	Deadline time.Time
	// Canary sends to two shards first, and to the rest once one has answered.
	Canary bool
	// CanaryShard is where the search for the canaries' shards starts.
	CanaryShard int
	// Pools, if set, are the budgets for extra attempts at each shard, in place
	// of Hedges and Retries: shards that are pools of their own have one each.
	// Then an attempt that its target turned away is paid for as well.
	Pools []Budget
	// Delay, if set, is how long after its send an attempt at a target counts
	// as late. It replaces the quantile over all shards.
	Delay func(shard int, target *fleet.Target) time.Duration
	// Once forbids a second attempt unless the first is known not to have run.
	Once bool
	// Held forbids second attempts for a shard until Release, but for those after
	// one that certainly has not run.
	Held bool
	// Skip, if set, lists shards that the caller gathers in another way. Each is
	// settled by Skipped. The caller counts their first attempts.
	Skip []bool
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
	// Wait lists shards to report by Freed once a target has room.
	Wait []int
	// Cancel lists attempts whose replies are no longer needed.
	Cancel []uint64
	// Next is when Tick is due; zero is never.
	Next time.Time
	Done bool
}

type phase uint8

const (
	idle phase = iota
	flying
	waiting
	pausing
	answered
	failed
)

type shardState struct {
	phase    phase
	attempts uint8
	flying   uint8
	sent     time.Time
	resume   time.Time
	ids      [mostAttempts]uint64
	tried    [mostAttempts]*fleet.Target
}

type attemptState struct {
	shard int
	ended bool
}

// Gather is the state of one scatter.
type Gather struct {
	config   Config
	shards   []shardState
	attempts []attemptState
	step     Step
	began    time.Time
	settled  int
	answered int
	canary   bool
	canaries int
	avoid    string
	// pausing counts the shards in that phase.
	pausing int
	// nextHedge is when a shard may next be due for a hedge.
	nextHedge time.Time
}

// New returns a gather that has not begun.
func New(config Config) *Gather {
	shards := config.View.Shards()
	return &Gather{
		config:   config,
		shards:   make([]shardState, shards),
		attempts: make([]attemptState, 0, shards+shards/8+1),
	}
}

// Begin sends the first attempts.
func (g *Gather) Begin(now time.Time) *Step {
	g.reset()
	g.began = now
	g.canary = g.config.Canary && len(g.shards) > 1
	if g.canary {
		g.sendCanaries(now, g.config.CanaryShard)
	} else {
		g.sendAll(now)
	}
	return g.finish(now)
}

// Ended takes the end of an attempt. A Success counts for its shard; the
// caller has checked that the reply matches the attempt.
func (g *Gather) Ended(now time.Time, id uint64, outcome fleet.Outcome) *Step {
	g.reset()
	a := &g.attempts[id]
	if a.ended {
		return g.finish(now)
	}
	a.ended = true
	s := &g.shards[a.shard]
	s.flying--
	switch {
	case s.phase == answered || s.phase == failed:
	case outcome == fleet.Success:
		g.succeed(now, a.shard)
	case s.flying > 0:
		// Another attempt may still answer.
	case g.canary && outcome == fleet.Broken:
		g.breakCanary(now, a.shard, s.tried[s.attempts-1])
	default:
		g.retry(now, a.shard, outcome)
	}
	return g.finish(now)
}

// Freed tells that a target of a waiting shard may have room.
func (g *Gather) Freed(now time.Time, shard int) *Step {
	g.reset()
	if g.shards[shard].phase == waiting {
		g.launch(now, shard, false)
	}
	return g.finish(now)
}

// Tick does what has come due.
func (g *Gather) Tick(now time.Time) *Step {
	g.reset()
	if !now.Before(g.config.Deadline) {
		g.expire()
		return g.finish(now)
	}
	if g.canary && !now.Before(g.canaryEnd()) {
		g.openAll(now)
	}
	for shard := range g.shards {
		s := &g.shards[shard]
		if s.phase == pausing && !now.Before(s.resume) {
			g.pausing--
			g.launch(now, shard, true)
		}
	}
	return g.finish(now)
}

// Release allows second attempts that were held.
func (g *Gather) Release(now time.Time) *Step {
	g.reset()
	g.config.Held = false
	g.nextHedge = time.Time{}
	return g.finish(now)
}

func (g *Gather) reset() {
	g.step.Send = g.step.Send[:0]
	g.step.Wait = g.step.Wait[:0]
	g.step.Cancel = g.step.Cancel[:0]
	g.step.Next = time.Time{}
}

// finish hedges what is due and works out when to be called again.
func (g *Gather) finish(now time.Time) *Step {
	g.step.Done = g.settled == len(g.shards)
	if g.step.Done {
		return &g.step
	}
	g.due(g.config.Deadline)
	if g.canary {
		g.due(g.canaryEnd())
	}
	for shard := 0; g.pausing > 0 && shard < len(g.shards); shard++ {
		if s := &g.shards[shard]; s.phase == pausing {
			g.due(s.resume)
		}
	}
	g.hedge(now)
	return &g.step
}

func (g *Gather) due(at time.Time) {
	if g.step.Next.IsZero() || at.Before(g.step.Next) {
		g.step.Next = at
	}
}

func (g *Gather) succeed(now time.Time, shard int) {
	s := &g.shards[shard]
	s.phase = answered
	g.answered++
	g.settled++
	g.cancelRest(s)
	if g.canary {
		g.openAll(now)
	}
}

func (g *Gather) cancelRest(s *shardState) {
	for _, id := range s.ids[:s.attempts] {
		if !g.attempts[id].ended {
			g.step.Cancel = append(g.step.Cancel, id)
		}
	}
}

func (g *Gather) fail(shard int) {
	if g.shards[shard].phase == pausing {
		g.pausing--
	}
	g.shards[shard].phase = failed
	g.settled++
}

// expire gives up every shard that has not answered.
func (g *Gather) expire() {
	for shard := range g.shards {
		s := &g.shards[shard]
		if s.phase == answered || s.phase == failed {
			continue
		}
		g.cancelRest(s)
		g.fail(shard)
	}
}

func (g *Gather) sendAll(now time.Time) {
	for shard := range g.shards {
		if g.shards[shard].phase == idle && !g.skipped(shard) {
			g.launch(now, shard, false)
		}
	}
}

// launch picks a target for a shard that has no attempt in flight.
func (g *Gather) launch(now time.Time, shard int, again bool) {
	s := &g.shards[shard]
	choice := g.config.Targets.Pick(now, fleet.Query{
		View: g.config.View, Shard: shard, Tried: s.tried[:s.attempts], AllowTried: again, AvoidDomain: g.avoid,
	})
	switch choice.Verdict {
	case fleet.Picked:
		if s.attempts == 0 && !g.skipped(shard) {
			g.primary(now, shard)
		}
		g.send(now, shard, choice.Target)
	case fleet.Busy:
		s.phase = waiting
		g.step.Wait = append(g.step.Wait, shard)
	case fleet.Exhausted:
		s.phase = pausing
		g.pausing++
		s.resume = now.Add(retryPause)
	case fleet.Lost:
		g.fail(shard)
	}
}

func (g *Gather) send(now time.Time, shard int, target *fleet.Target) {
	s := &g.shards[shard]
	id := uint64(len(g.attempts))
	g.attempts = append(g.attempts, attemptState{shard: shard})
	s.phase = flying
	s.ids[s.attempts] = id
	s.tried[s.attempts] = target
	s.attempts++
	s.flying++
	s.sent = now
	g.nextHedge = time.Time{}
	g.step.Send = append(g.step.Send, Attempt{ID: id, Shard: shard, Target: target})
}

// mayAttempt reports whether the settings allow the shard one attempt more.
func (g *Gather) mayAttempt(s *shardState) bool {
	if g.config.Held {
		return s.attempts == 0
	}
	return int(s.attempts) < min(g.config.Settings.MaxAttempts, mostAttempts)
}

// retry sends a failed shard elsewhere. Attempts that certainly put no load on
// a target are free; the others come out of the retry budget.
func (g *Gather) retry(now time.Time, shard int, outcome fleet.Outcome) {
	s := &g.shards[shard]
	free := outcome == fleet.Refused || g.config.Pools == nil && (outcome == fleet.Draining || outcome == fleet.Gone)
	most := g.mayAttempt(s) || notRun(outcome) && s.attempts < mostAttempts && g.config.Settings.MaxAttempts > 1
	barred := outcome == fleet.Expired || g.config.Once && !notRun(outcome)
	if !most || barred || !free && !g.retries(shard).Take(now, g.config.Settings.RetryBudget) {
		g.giveUp(now, shard)
		return
	}
	g.launch(now, shard, false)
}

// giveUp fails a shard. A canary that fails without breaking its target says
// nothing against the query, so the others go ahead.
func (g *Gather) giveUp(now time.Time, shard int) {
	g.fail(shard)
	if g.canary {
		g.openAll(now)
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
