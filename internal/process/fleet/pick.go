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
	// Picked means that Target was chosen and counts as in flight.
	Picked Verdict = iota
	// Busy means that every replica left is at its limit.
	Busy
	// Exhausted means that every replica was tried or is out.
	Exhausted
	// Lost means that the shard has no live replica at all.
	Lost
)

// Choice is what Pick decided.
type Choice struct {
	Verdict Verdict
	Target  *Target
}

// Query narrows a Pick.
type Query struct {
	View  *View
	Shard int
	// Tried are the targets this shard was sent to already.
	Tried []*Target
	// Again allows a tried target when no other is left.
	Again bool
	// Avoid is a failure domain to keep out of while another is there.
	Avoid string
	// Yield leaves room for requests that can still be in time: only a target
	// without other work is picked.
	Yield bool
	// By, if set, is when an answer is of no use any more: targets at which
	// requests wait, and that are not expected to answer by then, have no room for
	// a first attempt.
	By time.Time
	// LossCost is the time that a lost answer is taken to cost; zero for requests
	// that may be sent again.
	LossCost time.Duration
	// LateAfter, if set, is how long after its send an attempt counts as late.
	LateAfter func(t *Target) time.Duration
}

// Late is how long after its send an attempt at the target counts as late.
func (q *Query) Late(t *Target) time.Duration {
	if q.LateAfter == nil {
		return initialDelay
	}
	return q.LateAfter(t)
}

// Pick chooses a target for a shard and counts the attempt as in flight.
func (f *Fleet) Pick(now time.Time, q Query) Choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	choice := f.choose(now, q)
	if choice.Target != nil {
		choice.Target.inFlight++
		choice.Target.responses.recordSend(now, q.Late(choice.Target))
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

// pickAmong considers replicas in one state. Candidates are gathered on the
// stack; shards with more replicas than fit are cut to a random window.
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
		out := ejectionsApply && now.Before(t.ejectedUntil)
		switch {
		case tried && !q.Again, out:
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

// prefer drops tried targets and those of the avoided domain while others are left.
func prefer(candidates []*Target, q Query) []*Target {
	kept := len(candidates)
	for i := 0; i < kept; {
		t := candidates[i]
		if slices.Contains(q.Tried, t) || (q.Avoid != "" && t.Domain() == q.Avoid) {
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

// ejectionsApply reports whether ejections hold for these replicas: not when they
// would take more than the ceiling allows, nor the last replica.
func (f *Fleet) ejectionsApply(now time.Time, replicas []*Target, state State) bool {
	alive, out := 0, 0
	for _, t := range replicas {
		if t.state != state {
			continue
		}
		alive++
		if now.Before(t.ejectedUntil) {
			out++
		}
	}
	return out > 0 && out < alive && float64(out) <= f.settings.EjectCeiling*float64(alive)
}

// best applies the selection rule to the candidates, which are in random
// rotation. A score is the time that the work in flight is expected to take.
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

// drawTwo moves two distinct random candidates to the front.
func (f *Fleet) drawTwo(candidates []*Target) {
	for i := 0; i < 2 && i < len(candidates)-1; i++ {
		j := i + f.random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
}

// polledLimit is the number of attempts this daemon may have in flight at a target.
func (f *Fleet) polledLimit(t *Target) int {
	room := int(max(t.limit, f.slotShare(t)))
	if t.connections > 0 {
		room = min(room, max(1, t.connections/f.sharers))
	}
	return max(room, 1)
}

// slotShare is this daemon's even share of a target's slots, at least one.
func (f *Fleet) slotShare(t *Target) float64 {
	return max(1, float64(t.slots/f.sharers))
}

// Outcome is how an attempt ended.
type Outcome string

// The outcomes.
const (
	// Success is a whole, matching reply.
	Success Outcome = "Success"
	// Cancelled is an attempt given up by the daemon; it lost to another.
	Cancelled Outcome = "Cancelled"
	// Shed is a target's refusal for load; the attempt did not run.
	Shed Outcome = "Shed"
	// Draining is a target's refusal because it is leaving.
	Draining Outcome = "Draining"
	// Gone is a target's refusal because it lacks the version or shard.
	Gone Outcome = "Gone"
	// Refused is a connection that was not accepted; the attempt did not run.
	Refused Outcome = "Refused"
	// Broken is a connection lost while the attempt ran.
	Broken Outcome = "Broken"
	// Crowded is a new connection that the target reset; the attempt may have run.
	Crowded Outcome = "Crowded"
	// Corrupt is a reply that does not match its attempt.
	Corrupt Outcome = "Corrupt"
	// Failed is any other error.
	Failed Outcome = "Failed"
	// Expired is an attempt that met the deadline.
	Expired Outcome = "Expired"
)

// Finish records the end of an attempt. Latency is in seconds.
func (f *Fleet) Finish(now time.Time, t *Target, shard int, outcome Outcome, latency float64, load *wire.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.inFlight--
	if f.config.Registered {
		t.recordLoad(now, load)
		f.recordRegistered(now, t, outcome, latency)
	} else {
		f.recordPolled(now, t, shard, outcome, latency, load)
	}
	f.wake(t, shard)
}

func (f *Fleet) recordPolled(now time.Time, t *Target, shard int, outcome Outcome, latency float64, load *wire.Load) {
	t.recordPace(now, outcome, latency)
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
		// The attempt would have taken longer still.
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
	}
}
