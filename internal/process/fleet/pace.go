package fleet

import (
	"slices"
	"time"
)

const (
	// recentReplies is the number of replies whose median is the latency to expect:
	// a single pause does not move it, two slow replies in a row do.
	recentReplies = 3
	// nearInitialLatency and farGuess are the latency of a target that has not answered
	// yet, in the daemon's own region and in another one.
	nearInitialLatency = 12 * time.Millisecond
	farInitialLatency  = 50 * time.Millisecond
	// medianHalfLife is the time in which the latency of an unused target falls
	// halfway to the guess, so that it is tried again.
	medianHalfLife = 2 * time.Second
	// overdueFactor is how many times the time after which a second attempt is
	// sent a target may take before it is taken to pause: requests differ.
	overdueFactor = 2
	// silentAfter is the time without any reply after which a target counts as
	// gone silent; it is longer than the pauses that targets make.
	silentAfter = 700 * time.Millisecond
	// minProbeInterval and probeMost bound the time between tries of such a target.
	minProbeInterval = 300 * time.Millisecond
	maxProbeInterval = 2 * time.Second
)

// responseTimes is what a target's replies say of its speed.
type responseTimes struct {
	initial   time.Duration
	count     int
	recent    [recentReplies]time.Duration
	lastReply time.Time
	// unanswered is when the oldest attempt was sent that nothing has been
	// heard after; zero while the target answers. An answer is overdue from then on.
	unanswered    time.Time
	overdueAt     time.Time
	lastSend      time.Time
	probeInterval time.Duration
}

// recordSend records an attempt whose answer is late after the given time.
func (p *responseTimes) recordSend(now time.Time, late time.Duration) {
	if p.unanswered.IsZero() {
		p.unanswered = now
		p.overdueAt = now.Add(overdueFactor * late)
	} else if p.silent(now) {
		p.probeInterval = min(max(2*p.probeInterval, minProbeInterval), maxProbeInterval)
	}
	p.lastSend = now
}

// recordSign records that the target answers, with whatever.
func (p *responseTimes) recordSign() { p.unanswered, p.probeInterval = time.Time{}, 0 }

// recordReply records an answer to an attempt that was sent at the given time.
// Answers to attempts that waited together, as after a pause, count once.
func (p *responseTimes) recordReply(now, sent time.Time) {
	p.recordSign()
	together := sent.Before(p.lastReply) && p.count > 0 && now.Sub(sent) > 2*p.recent[(p.count-1)%recentReplies]
	if together {
		return
	}
	p.recent[p.count%recentReplies] = now.Sub(sent)
	p.count++
	p.lastReply = now
}

// recordPace takes the end of an attempt at a target that is not registered.
func (t *Target) recordPace(now time.Time, outcome Outcome, latency float64) {
	switch outcome {
	case Success:
		t.responses.recordReply(now, now.Add(-time.Duration(latency*float64(time.Second))))
	case Broken, Crowded, Corrupt:
		t.lostAnswerAt = now
	case Cancelled, Expired:
		// Nothing has been heard.
	default:
		t.responses.recordSign()
	}
}

// typicalLatency is the latency to expect.
func (p *responseTimes) typicalLatency(now time.Time) time.Duration {
	if p.count < recentReplies {
		return p.initial
	}
	recent := p.recent
	slices.Sort(recent[:])
	median := recent[recentReplies/2]
	idle := now.Sub(p.lastSend)
	if median <= p.initial || idle <= medianHalfLife/4 {
		return median
	}
	return p.initial + time.Duration(float64(median-p.initial)/(1+idle.Seconds()/medianHalfLife.Seconds()))
}

// stalled reports whether an answer is overdue.
func (p *responseTimes) stalled(now time.Time) bool {
	return !p.unanswered.IsZero() && now.After(p.overdueAt)
}

// silent reports whether the target has gone silent for longer than a pause.
func (p *responseTimes) silent(now time.Time) bool {
	return !p.unanswered.IsZero() && now.Sub(p.unanswered) > silentAfter
}

// probeDue reports whether a silent target may be tried once more.
func (p *responseTimes) probeDue(now time.Time) bool {
	return now.Sub(p.lastSend) >= max(p.probeInterval, minProbeInterval)
}
