package fleet

import (
	"slices"
	"time"
)

const (
	// paceRecent is the number of replies whose median is the latency to expect:
	// a single pause does not move it, two slow replies in a row do.
	paceRecent = 3
	// nearGuess and farGuess are the latency of a target that has not answered
	// yet, in the daemon's own region and in another one.
	nearGuess = 12 * time.Millisecond
	farGuess  = 50 * time.Millisecond
	// paceHalfLife is the time in which the latency of an unused target falls
	// halfway to the guess, so that it is tried again.
	paceHalfLife = 2 * time.Second
	// overdueFactor is how many times the time after which a second attempt is
	// sent a target may take before it is taken to pause: requests differ.
	overdueFactor = 2
	// darkAfter is the time without any reply after which a target counts as
	// gone silent; it is longer than the pauses that targets make.
	darkAfter = 700 * time.Millisecond
	// probeLeast and probeMost bound the time between tries of such a target.
	probeLeast = 300 * time.Millisecond
	probeMost  = 2 * time.Second
)

// pace is what a target's replies say of its speed.
type pace struct {
	guess   time.Duration
	count   int
	recent  [paceRecent]time.Duration
	replied time.Time
	// unanswered is when the oldest attempt was sent that nothing has been
	// heard after; zero while the target answers. An answer is overdue from then on.
	unanswered time.Time
	overdue    time.Time
	sent       time.Time
	probe      time.Duration
}

// send records an attempt whose answer is late after the given time.
func (p *pace) send(now time.Time, late time.Duration) {
	if p.unanswered.IsZero() {
		p.unanswered = now
		p.overdue = now.Add(overdueFactor * late)
	} else if p.dark(now) {
		p.probe = min(max(2*p.probe, probeLeast), probeMost)
	}
	p.sent = now
}

// heard records that the target answers, with whatever.
func (p *pace) heard() { p.unanswered, p.probe = time.Time{}, 0 }

// reply records an answer to an attempt that was sent at the given time.
// Answers to attempts that waited together, as after a pause, count once.
func (p *pace) reply(now, sent time.Time) {
	p.heard()
	together := sent.Before(p.replied) && p.count > 0 && now.Sub(sent) > 2*p.recent[(p.count-1)%paceRecent]
	if together {
		return
	}
	p.recent[p.count%paceRecent] = now.Sub(sent)
	p.count++
	p.replied = now
}

// learnPace takes the end of an attempt at a target that is not registered.
func (t *Target) learnPace(now time.Time, outcome Outcome, latency float64) {
	switch outcome {
	case Success:
		t.pace.reply(now, now.Add(-time.Duration(latency*float64(time.Second))))
	case Broken, Crowded, Corrupt:
		t.lost = now
	case Cancelled, Expired:
		// Nothing has been heard.
	default:
		t.pace.heard()
	}
}

// typical is the latency to expect.
func (p *pace) typical(now time.Time) time.Duration {
	if p.count < paceRecent {
		return p.guess
	}
	recent := p.recent
	slices.Sort(recent[:])
	median := recent[paceRecent/2]
	idle := now.Sub(p.sent)
	if median <= p.guess || idle <= paceHalfLife/4 {
		return median
	}
	return p.guess + time.Duration(float64(median-p.guess)/(1+idle.Seconds()/paceHalfLife.Seconds()))
}

// stalled reports whether an answer is overdue.
func (p *pace) stalled(now time.Time) bool {
	return !p.unanswered.IsZero() && now.After(p.overdue)
}

// dark reports whether the target has gone silent for longer than a pause.
func (p *pace) dark(now time.Time) bool {
	return !p.unanswered.IsZero() && now.Sub(p.unanswered) > darkAfter
}

// probeDue reports whether a silent target may be tried once more.
func (p *pace) probeDue(now time.Time) bool { return now.Sub(p.sent) >= max(p.probe, probeLeast) }
