package fleet

import (
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Verdict is the outcome of a Pick.
type Verdict int

// The verdicts.
const (
	// Picked means that Target was chosen and that the attempt counts as in
	// flight.
	Picked Verdict = iota
	// Busy means that every remaining replica is at its limit.
	Busy
	// Exhausted means that every replica was tried already or is ejected.
	Exhausted
	// Lost means that the shard has no live replica.
	Lost
	// OverLimit means that the limits that the remaining replicas have named allow no
	// attempt now.
	OverLimit
)

// Choice is the result of Pick.
type Choice struct {
	Verdict Verdict
	Target  *Target
}

// Query describes the attempt for which Pick chooses a target.
type Query struct {
	View  *View
	Shard int
	// Tried lists the targets to which the shard's request was sent already.
	Tried []*Target
	// AllowTried allows targets in Tried when no other is left.
	AllowTried bool
	// Hedge is true for an attempt beside one in flight. It doesn't use targets that
	// leave, since another replica is at work.
	Hedge bool
	// AvoidDomain is a failure domain to use only when no target in another one is
	// left.
	AvoidDomain string
	// LowPriority restricts the choice to targets without other work, which leaves
	// the others to requests that can still be in time.
	LowPriority bool
	// UsefulUntil, if set, is the time after which an answer is useless. A target
	// that has a queue and is not expected to answer by then gets no first attempt.
	UsefulUntil time.Time
	// LostAnswerCost is the time that a lost answer is assumed to cost; it is zero
	// for requests that may be sent again.
	LostAnswerCost time.Duration
	// RetryCost is the time that a retry is assumed to cost beyond the time until it is
	// sent.
	RetryCost time.Duration
	// Granted is the ID of a target at which another daemon has taken a token for this
	// attempt; it is usually empty.
	Granted string
	// Draw is a random number below one, the same for all attempts of a request. It
	// decides whether the request is sent to a limited target of which this daemon has
	// less than a whole request.
	Draw float64
	// LateAfter, if set, returns how long after its send an attempt counts as
	// late. The fleet isn't locked meanwhile.
	LateAfter func(t *Target) time.Duration
}

// Late returns how long after its send an attempt at the target counts as late.
func (q *Query) Late(t *Target) time.Duration {
	if q.LateAfter == nil {
		return initialDelay
	}
	return q.LateAfter(t)
}

// Pick chooses a target for a shard and counts the attempt as in flight.
func (f *Fleet) Pick(now time.Time, q Query) Choice {
	choice := f.pick(now, q)
	if choice.Target != nil {
		f.recordSend(now, choice.Target, q.Late(choice.Target))
	}
	return choice
}

func (f *Fleet) recordSend(now time.Time, t *Target, late time.Duration) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	t.responses.recordSend(now, late)
}

func (f *Fleet) pick(now time.Time, q Query) Choice {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	choice := f.choose(now, q)
	if choice.Target != nil {
		choice.Target.inFlight++
		if choice.Target.ID != q.Granted {
			f.spend(choice.Target)
		}
	}
	if len(f.selfReports.byBoot) > 0 {
		f.countPassedOver(now, q.View.Replicas[q.Shard], choice.Target)
	}
	return choice
}

// choose considers ready replicas, and silent ones when no ready one is left.
func (f *Fleet) choose(now time.Time, q Query) Choice {
	if f.config.Registered {
		return f.pickRegistered(now, q)
	}
	replicas := q.View.Replicas[q.Shard]
	choice := f.pickAmong(now, replicas, q, StateReady)
	if choice.Verdict == Exhausted || choice.Verdict == Lost {
		if second := f.pickAmong(now, replicas, q, StateSilent); second.Verdict != Lost {
			choice = second
		}
	}
	return choice
}

// pickAmong chooses among the replicas in one state. The buffer for candidates
// is on the stack; if there are more, those after a random start are
// considered.
func (f *Fleet) pickAmong(now time.Time, replicas []*Target, q Query, state State) Choice {
	var buffer [16]*Target
	candidates := buffer[:0]
	alive, busy := 0, 0
	start := 0
	if len(replicas) > 1 {
		start = f.random.IntN(len(replicas))
	}
	ejectionsApply := f.ejectionsApply(now, replicas, state)
	for i := range replicas {
		t := replicas[(start+i)%len(replicas)]
		if t.state != state {
			continue
		}
		alive++
		tried := slices.Contains(q.Tried, t)
		ejected := ejectionsApply && now.Before(t.ejectedUntil)
		switch {
		case tried && !q.AllowTried, ejected:
		case f.settings.LimitConcurrency && t.inFlight >= f.polledLimit(t):
			busy++
		case len(candidates) < cap(candidates):
			candidates = append(candidates, t)
		}
	}
	switch {
	case len(candidates) > 0:
		return Choice{Verdict: Picked, Target: f.best(now, prefer(candidates, q))}
	case busy > 0:
		return Choice{Verdict: Busy}
	case alive > 0:
		return Choice{Verdict: Exhausted}
	}
	return Choice{Verdict: Lost}
}

// prefer drops tried targets and those in the avoided domain unless no other is
// left.
func prefer(candidates []*Target, q Query) []*Target {
	kept := len(candidates)
	for i := 0; i < kept; {
		t := candidates[i]
		if slices.Contains(q.Tried, t) || (q.AvoidDomain != "" && t.Domain() == q.AvoidDomain) {
			kept--
			candidates[i], candidates[kept] = candidates[kept], candidates[i]
			continue
		}
		i++
	}
	if kept == 0 {
		return candidates
	}
	return candidates[:kept]
}

// ejectionsApply reports whether ejections apply to these replicas. They don't
// if they would exclude a larger share than the ceiling allows, or all
// replicas.
func (f *Fleet) ejectionsApply(now time.Time, replicas []*Target, state State) bool {
	alive, ejected := 0, 0
	for _, t := range replicas {
		if t.state != state {
			continue
		}
		alive++
		if now.Before(t.ejectedUntil) {
			ejected++
		}
	}
	return ejected > 0 && ejected < alive && float64(ejected) <= f.settings.EjectCeiling*float64(alive)
}

// best applies the selection rule to the candidates, which start at a random
// one. A target's score is the expected time for its attempts in flight and one
// more.
func (f *Fleet) best(now time.Time, candidates []*Target) *Target {
	switch f.settings.Selection {
	case tree.SelectionRandom:
		return candidates[f.random.IntN(len(candidates))]
	case tree.SelectionTwoChoice:
		f.drawTwo(candidates)
		candidates = candidates[:min(2, len(candidates))]
	case tree.SelectionLeastLoaded:
	}
	mean := f.latency.mean
	chosen := candidates[0]
	minScore := chosen.expected(now, mean) * float64(chosen.inFlight+1)
	for _, t := range candidates[1:] {
		if score := t.expected(now, mean) * float64(t.inFlight+1); score < minScore {
			chosen, minScore = t, score
		}
	}
	return chosen
}

// drawTwo moves two different random candidates to the front.
func (f *Fleet) drawTwo(candidates []*Target) {
	for i := 0; i < 2 && i < len(candidates)-1; i++ {
		j := i + f.random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
}

// polledLimit returns how many attempts this daemon may have in flight at a
// target that is polled.
func (f *Fleet) polledLimit(t *Target) int {
	limit := int(max(t.limit, f.slotShare(t)))
	if t.connections > 0 {
		limit = min(limit, max(1, t.connections/f.sharers))
	}
	return max(limit, 1)
}

// slotShare returns this daemon's even share of a target's slots, at least 1.
func (f *Fleet) slotShare(t *Target) float64 {
	return max(1, float64(t.slots/f.sharers))
}

// Outcome is how an attempt ended.
type Outcome string

// The outcomes.
const (
	// Success is a complete reply that matches its attempt.
	Success Outcome = "Success"
	// Cancelled is an attempt that the daemon cancelled because another one
	// won.
	Cancelled Outcome = "Cancelled"
	// Shed is a rejection by an overloaded target; the attempt did not run.
	Shed Outcome = "Shed"
	// Draining is a rejection by a target that is shutting down.
	Draining Outcome = "Draining"
	// Gone is a rejection by a target that doesn't have the version or shard.
	Gone Outcome = "Gone"
	// Refused is a refused connection; the attempt did not run.
	Refused Outcome = "Refused"
	// Broken is a connection that was lost while the attempt ran.
	Broken Outcome = "Broken"
	// Crowded is a new connection that the target reset, as it does when it has
	// too many; the attempt may have run.
	Crowded Outcome = "Crowded"
	// Corrupt is a reply that doesn't match its attempt.
	Corrupt Outcome = "Corrupt"
	// Failed is any other error.
	Failed Outcome = "Failed"
	// Withheld is an attempt that was not sent, since the target began to leave or to
	// pause after it was chosen.
	Withheld Outcome = "Withheld"
	// Expired is an attempt that was not answered by its deadline.
	Expired Outcome = "Expired"
)

// Finish records the end of an attempt. Latency is in seconds.
func (f *Fleet) Finish(now time.Time, t *Target, shard int, outcome Outcome, latency float64, load *wire.Load) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	t.inFlight--
	if f.config.Registered {
		if outcome == Refused || outcome == Withheld {
			f.refund(t)
		}
		t.recordLoad(now, load)
		f.recordRegistered(now, t, outcome, latency, load)
	} else {
		f.recordPolled(now, t, shard, outcome, latency, load)
	}
	f.wake(t, shard)
}

func (f *Fleet) recordPolled(now time.Time, t *Target, shard int, outcome Outcome, latency float64, load *wire.Load) {
	t.updateResponseTimes(now, outcome, latency)
	switch outcome {
	case Success:
		t.lastSeen = now
		t.clearFailures()
		t.observeLatency(now, latency)
		t.adaptLimit(load, f.slotShare(t))
		f.latency.observe(now, shard, latency)
		if t.state == StateSilent {
			f.setState(t, StateReady)
		}
		t.checkGeneration(load)
		if load != nil && load.Draining {
			f.setState(t, StateLeaving)
		}
	case Cancelled, Expired:
		// The attempt would have taken longer than its latency so far.
		if latency > t.latency {
			t.observeLatency(now, latency)
		}
	case Shed:
		t.limit = max(f.slotShare(t), t.limit*limitDecrease)
		t.observeLatency(now, max(latency, 2*f.latency.mean))
	case Draining:
		f.setState(t, StateLeaving)
	case Refused:
		f.setState(t, StateDown)
	case Broken, Crowded:
		t.recordFailure(now)
		// A target that lost its connections may have been restarted.
		t.restarted = now
		t.statusOutdated = true
	case Corrupt, Failed:
		t.recordFailure(now)
	case Gone:
		t.statusOutdated = true
	case Withheld:
	}
}
