package gather

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
)

const (
	// attemptCases is the number of gathers that are played.
	attemptCases = 4000
	// maxEvents is the number of events after which a gather is at its deadline.
	maxEvents = 400
)

var outcomes = []fleet.Outcome{
	fleet.Success, fleet.Refused, fleet.Draining, fleet.Gone, fleet.Shed,
	fleet.Broken, fleet.Crowded, fleet.Corrupt, fleet.Failed, fleet.Expired, fleet.Cancelled,
}

// spendingBudget counts what is taken from it.
type spendingBudget struct {
	fakeBudget
	taken int
}

func (b *spendingBudget) Take(now time.Time, share float64) bool {
	taken := b.fakeBudget.Take(now, share)
	if taken {
		b.taken++
	}
	return taken
}

func (b *spendingBudget) Refund(now time.Time) {
	b.fakeBudget.Refund(now)
	b.taken--
}

// play is one gather with random events.
type play struct {
	*fixture
	random *rand.Rand
	now    time.Time
	// limit is the number of attempts for a shard that may run, and extras is false as
	// long as only one may.
	limit  int
	extras bool
	budget *spendingBudget
	// free is the number of attempts that may be replaced at no charge.
	free     int
	ended    []uint64
	inFlight []Attempt
	waiting  []int
	remote   []int
	// mayHaveRun holds for each shard the number of attempts, but for those that were
	// reported as not run. Sent holds the number of all attempts.
	mayHaveRun []int
	sent       []int
	problem    string
}

func newPlay(seed uint64) *play {
	p := &play{random: rand.New(rand.NewPCG(seed, 1)), now: start, budget: &spendingBudget{}}
	shards := 1 + p.random.IntN(12)
	p.fixture = newFixture(shards, 1+p.random.IntN(5), false)
	p.mayHaveRun, p.sent = make([]int, shards), make([]int, shards)
	p.limit = 1 + p.random.IntN(4)
	p.settings.MaxAttempts, p.settings.ExtraLoad = p.limit, p.random.Float64()
	p.budget.remaining = p.random.IntN(2 * shards)
	config := p.gather.config
	config.HedgeBudget, config.RetryBudget = p.budget, p.budget
	config.Canary, config.CanaryShard = p.random.IntN(3) == 0, p.random.IntN(shards)
	if p.random.IntN(2) == 0 {
		config.ShardBudgets = make([]Budget, shards)
		for i := range config.ShardBudgets {
			config.ShardBudgets[i] = p.budget
		}
		config.HedgeDelay = func(int, *fleet.Target) time.Duration { return delay }
	}
	switch p.random.IntN(4) {
	case 0:
		config.NonIdempotent, p.limit = true, 1
	case 1:
		config.DeferExtras = true
	case 3:
		config.Spent = p.random.IntN(p.limit)
		p.limit -= config.Spent
	case 2:
		config.Canary, config.Remote = false, make([]bool, shards)
		for shard := range shards {
			if config.Remote[shard] = p.random.IntN(2) == 0; config.Remote[shard] {
				p.remote = append(p.remote, shard)
			}
		}
	}
	p.extras = !config.DeferExtras
	p.gather = New(config)
	return p
}

// attemptLimit is the number of attempts that may have run for each shard so far.
func (p *play) attemptLimit() int {
	if !p.extras {
		return 1
	}
	return p.limit
}

func (p *play) apply(step *Step) (done bool) {
	for _, a := range step.Send {
		p.inFlight = append(p.inFlight, a)
		p.mayHaveRun[a.Shard]++
		p.sent[a.Shard]++
		if p.mayHaveRun[a.Shard] > p.attemptLimit() {
			p.problem = "a shard ran more often than allowed"
		}
	}
	p.waiting = append(p.waiting, step.AwaitRoom...)
	extra := 0
	for _, sent := range p.sent {
		extra += max(0, sent-1)
	}
	if extra > p.budget.taken+p.free {
		p.problem = "an extra attempt was not charged"
	}
	return step.Done
}

// next plays a random event. Attempts end in any order, also after their shard is
// settled, and some ends are reported twice.
func (p *play) next() *Step {
	p.now = p.now.Add(time.Duration(p.random.IntN(int(delay / 2))))
	for shard := range p.mayHaveRun {
		p.targets.busy[shard] = p.random.IntN(4) == 0
	}
	switch kind := p.random.IntN(10); {
	case kind < 5 && len(p.inFlight) > 0:
		return p.end()
	case kind == 5 && len(p.ended) > 0:
		return p.gather.Ended(p.now, p.ended[p.random.IntN(len(p.ended))], outcomes[p.random.IntN(len(outcomes))])
	case kind == 6 && len(p.waiting) > 0:
		shard := p.waiting[0]
		p.waiting = p.waiting[1:]
		return p.gather.Freed(p.now, shard)
	case kind == 7 && len(p.remote) > 0:
		return p.endRemote()
	case kind == 8 && !p.extras && p.random.IntN(4) == 0:
		p.extras = true
		return p.gather.AllowExtras(p.now)
	}
	return p.gather.Tick(p.now)
}

func (p *play) end() *Step {
	i := p.random.IntN(len(p.inFlight))
	a := p.inFlight[i]
	p.inFlight = append(p.inFlight[:i], p.inFlight[i+1:]...)
	p.ended = append(p.ended, a.ID)
	outcome := outcomes[p.random.IntN(len(outcomes))]
	switch outcome {
	case fleet.Refused, fleet.Draining, fleet.Gone, fleet.Shed:
		p.mayHaveRun[a.Shard]--
	default:
	}
	switch outcome {
	case fleet.Refused, fleet.Draining, fleet.Gone:
		p.free++
	default:
	}
	return p.gather.Ended(p.now, a.ID, outcome)
}

func (p *play) endRemote() *Step {
	shard := p.remote[0]
	p.remote = p.remote[1:]
	used := p.random.IntN(p.settings.MaxAttempts + 1)
	p.mayHaveRun[shard] += used
	if used > 0 {
		// The peer charged its extra attempts, and the next one here is extra.
		p.sent[shard]++
	}
	switch p.random.IntN(3) {
	case 0:
		return p.gather.EndRemote(p.now, shard, true, used, nil)
	case 1:
		return p.gather.FailRemote(p.now, shard)
	}
	return p.gather.EndRemote(p.now, shard, false, used, p.gather.config.View.Replicas[shard][0])
}

// Guards against a shard that runs more often than its route allows. Only attempts
// that have certainly not run may be replaced beyond the maximum, whatever the order
// of outcomes, hedges, canaries, room at targets and replies of other daemons. Extra
// attempts are charged, except those after an attempt that put no load on its target.
func TestShardsRunNoMoreOftenThanAllowed(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(22)
	parameters.MinSuccessfulTests = attemptCases
	properties := gopter.NewProperties(parameters)
	properties.Property("attempts stay within the limit and the budget", prop.ForAll(func(seed uint64) string {
		p := newPlay(seed)
		done := p.apply(p.gather.Begin(p.now))
		for event := 0; !done && p.problem == ""; event++ {
			if event == maxEvents {
				p.now = start.Add(time.Second)
				p.apply(p.gather.Tick(p.now))
				break
			}
			done = p.apply(p.next())
		}
		return p.problem
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against attempts beyond the maximum or the budget for the shard of a canary
// that broke its target: another canary's answer sends it again with the others.
func TestShardOfBrokenCanaryIsRetriedWithinItsLimits(t *testing.T) {
	const others = 2
	for _, tt := range []struct {
		name        string
		maxAttempts int
		retries     int
		hedged      bool
		want        int
	}{
		{"an attempt left", 2, 1, false, others + 1},
		{"no attempt left", 1, 1, false, others},
		{"no retry left", 2, 0, false, others},
		{"hedged, no attempt left", 2, 1, true, others},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g := newFixture(canariesPerRound+others, 3, true)
			g.settings.MaxAttempts, g.retries.remaining = tt.maxAttempts, tt.retries
			step := g.gather.Begin(start)
			broken, other := []uint64{step.Send[0].ID}, step.Send[1].ID
			if tt.hedged {
				step = g.gather.Tick(start.Add(delay))
				if len(step.Send) != canariesPerRound {
					t.Fatalf("%d canaries were hedged, want %d", len(step.Send), canariesPerRound)
				}
				broken = append(broken, step.Send[0].ID)
			}
			for _, id := range broken {
				g.gather.Ended(start.Add(delay), id, fleet.Broken)
			}
			if step = g.answer(start.Add(delay), other); len(step.Send) != tt.want {
				t.Errorf("sent %d shards after a canary answered, want %d", len(step.Send), tt.want)
			}
		})
	}
}
