package fleet

import (
	"slices"
	"time"
)

const (
	// paceSamples is the number of replies that quantiles are taken of, and
	// paceFresh the number after which they are taken again.
	paceSamples = 32
	paceFresh   = 8
	// paceFew is the number of replies below which the quantile says nothing.
	paceFew = 6
	// paceRecent is the number of replies whose median is the latency to expect:
	// a single pause does not move it, two slow replies in a row do.
	paceRecent = 3
	// slowShare is the quantile that a reply in time stays below.
	slowShare = 0.9
	// slowFactor and slowSlack are the room above that quantile before an
	// attempt counts as late; the slack covers timers and scheduling.
	slowFactor = 1.4
	slowSlack  = 6 * time.Millisecond
	// slowLeast and slowMost bound the time after which an attempt is late.
	slowLeast = 12 * time.Millisecond
	slowMost  = 400 * time.Millisecond
	// nearGuess and farGuess are the latency of a target that has not answered
	// yet, in the daemon's own region and in another one.
	nearGuess = 12 * time.Millisecond
	farGuess  = 50 * time.Millisecond
	// guessFactor is how many guesses an attempt may take before it is late.
	guessFactor = 2.5
	// paceHalfLife is the time in which the latency of an unused target falls
	// halfway to the guess, so that it is tried again.
	paceHalfLife = 2 * time.Second
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
	samples [paceSamples]time.Duration
	count   int
	late    time.Duration
	recent  [paceRecent]time.Duration
	replied time.Time
	// unanswered is when the oldest attempt was sent that nothing has been
	// heard after; zero while the target answers.
	unanswered time.Time
	sent       time.Time
	probe      time.Duration
}

// send records an attempt.
func (p *pace) send(now time.Time) {
	if p.unanswered.IsZero() {
		p.unanswered = now
	} else if p.dark(now) {
		p.probe = min(max(2*p.probe, probeLeast), probeMost)
	}
	p.sent = now
}

// reply records an answer to an attempt that was sent at the given time.
// Replies that come together after a pause count once.
func (p *pace) reply(now, sent time.Time) {
	took := now.Sub(sent)
	together := sent.Before(p.replied) && took > p.lateAfter()
	p.unanswered, p.probe = time.Time{}, 0
	if together {
		return
	}
	p.samples[p.count%paceSamples] = took
	p.recent[p.count%paceRecent] = took
	p.count++
	p.replied = now
	if p.count < paceSamples || p.count%paceFresh == 0 {
		p.measure()
	}
}

func (p *pace) measure() {
	sorted := p.samples
	filled := sorted[:min(p.count, paceSamples)]
	slices.Sort(filled)
	quantile := filled[int(slowShare*float64(len(filled)-1))]
	p.late = min(max(time.Duration(slowFactor*float64(quantile))+slowSlack, slowLeast), slowMost)
}

// lateAfter is how long after its send an attempt counts as late.
func (p *pace) lateAfter() time.Duration {
	if p.count < paceFew {
		return time.Duration(guessFactor * float64(p.guess))
	}
	return p.late
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
	return !p.unanswered.IsZero() && now.Sub(p.unanswered) > p.lateAfter()
}

// dark reports whether the target has gone silent for longer than a pause.
func (p *pace) dark(now time.Time) bool {
	return !p.unanswered.IsZero() && now.Sub(p.unanswered) > darkAfter
}

// probeDue reports whether a silent target may be tried once more.
func (p *pace) probeDue(now time.Time) bool { return now.Sub(p.sent) >= max(p.probe, probeLeast) }
