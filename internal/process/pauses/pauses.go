// Package pauses predicts the pauses of targets that pause periodically, for
// example when a timer starts maintenance work. A daemon sees the end of a pause
// as several late answers that arrive together. Where pause ends recur with one
// period, requests can avoid the next pause.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	estimator := pauses.NewPeriodEstimator()
//	p := pauses.Predictor{Estimator: estimator}
//	p.RecordPause(at, delay) // a pause that ended at that time delayed an answer
//	if until, paused := p.Paused(now, lead); paused {
//		// choose another target, or wait until then
//	}
//	p.RecordPromptAnswer(sent) // an attempt sent at that time was answered in time
package pauses

import (
	"slices"
	"sync"
	"time"
)

const (
	// samePauseWindow is the time within which pause ends belong to one pause: the
	// target answers the requests that waited one after the other.
	samePauseWindow = 300 * time.Millisecond
	// periodTolerance is how far a pause end may deviate from the period. Response
	// times vary by about as much.
	periodTolerance = 45 * time.Millisecond
	// minPeriod and maxPeriod bound the periods that are detected.
	minPeriod = 1500 * time.Millisecond
	maxPeriod = time.Minute
	// maxPauseEnds is the number of pause ends remembered for each target.
	maxPauseEnds = 6
	// maxIntervals is the number of intervals remembered for all targets together.
	maxIntervals = 64
	// minAgreeingTargets is the number of targets with similar intervals that are
	// needed to accept a period.
	minAgreeingTargets = 3
	// maxMisses is the number of wrong predictions (a request sent during a
	// predicted pause was answered in time) after which a target has no predictions
	// until it pauses again.
	maxMisses = 2
	// minDelay is the shortest delay of an answer that counts as a pause.
	minDelay = 60 * time.Millisecond
	// maxDelay bounds the estimated length of a pause.
	maxDelay = time.Second
)

// interval is the time between two consecutive pause ends at one target.
type interval struct {
	target   *Predictor
	duration time.Duration
}

// PeriodEstimator estimates the period and the length of pauses, which all targets of a
// daemon have in common. Its methods are safe for concurrent use.
type PeriodEstimator struct {
	mu          sync.Mutex
	intervals   []interval
	period      time.Duration
	pauseLength time.Duration
}

// NewPeriodEstimator returns an estimator without observations.
func NewPeriodEstimator() *PeriodEstimator { return &PeriodEstimator{} }

// addInterval records an interval and sets the period to the mean of the largest
// group of similar intervals that comes from enough targets.
func (e *PeriodEstimator) addInterval(target *Predictor, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.intervals) == maxIntervals {
		e.intervals = slices.Delete(e.intervals, 0, 1)
	}
	e.intervals = append(e.intervals, interval{target: target, duration: duration})
	best, bestCount := time.Duration(0), 0
	for i := range e.intervals {
		sum, count := time.Duration(0), 0
		targets := map[*Predictor]bool{}
		for j := range e.intervals {
			if similar(e.intervals[i].duration, e.intervals[j].duration) {
				sum += e.intervals[j].duration
				count++
				targets[e.intervals[j].target] = true
			}
		}
		if len(targets) >= minAgreeingTargets && count > bestCount {
			best, bestCount = sum/time.Duration(count), count
		}
	}
	e.period = best
}

// addDelay raises the length of pauses to the delay of an answer.
func (e *PeriodEstimator) addDelay(delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pauseLength = max(e.pauseLength, min(delay, maxDelay))
}

// Period returns the period and the length of the pauses, and whether the period
// is known.
func (e *PeriodEstimator) Period() (period, length time.Duration, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.period, e.pauseLength, e.period > 0
}

func similar(a, b time.Duration) bool { return (a - b).Abs() <= periodTolerance }

// Predictor predicts the pauses of one target. It is not safe for concurrent use.
type Predictor struct {
	Estimator *PeriodEstimator

	// pauseEnds are the times when pauses ended, oldest first.
	pauseEnds []time.Time
	misses    int
}

// RecordPause records a pause that ended at the given time and delayed an answer by
// delay. It reports whether that pause was not recorded before.
func (p *Predictor) RecordPause(at time.Time, delay time.Duration) (isNew bool) {
	if p.Estimator == nil || delay < minDelay {
		return false
	}
	if count := len(p.pauseEnds); count > 0 && at.Sub(p.pauseEnds[count-1]) < samePauseWindow {
		// The first answer after a pause is closest to its end.
		if at.Before(p.pauseEnds[count-1]) {
			p.pauseEnds[count-1] = at
		}
	} else {
		isNew = true
		if count == maxPauseEnds {
			p.pauseEnds = slices.Delete(p.pauseEnds, 0, 1)
		}
		p.pauseEnds = append(p.pauseEnds, at)
		p.misses = 0
		if count > 0 {
			if duration := at.Sub(p.pauseEnds[len(p.pauseEnds)-2]); duration >= minPeriod && duration <= maxPeriod {
				p.Estimator.addInterval(p, duration)
			}
		}
	}
	if period, _, known := p.Estimator.Period(); known && p.matchingEnds(period, len(p.pauseEnds)-1) > 1 {
		p.Estimator.addDelay(delay)
	}
	return isNew
}

// matchingEnds counts the pause ends that are a whole number of periods away from
// the one with the given index, including that one.
func (p *Predictor) matchingEnds(period time.Duration, index int) int {
	count := 0
	for _, end := range p.pauseEnds {
		apart := p.pauseEnds[index].Sub(end).Abs()
		periods := (apart + period/2) / period
		if (apart - periods*period).Abs() <= periodTolerance {
			count++
		}
	}
	return count
}

// nextPause predicts the first pause that ends at now or later.
func (p *Predictor) nextPause(now time.Time) (from, until time.Time, known bool) {
	if p.Estimator == nil || len(p.pauseEnds) == 0 || p.misses >= maxMisses {
		return from, until, false
	}
	period, length, known := p.Estimator.Period()
	if !known {
		return from, until, false
	}
	best, bestCount := 0, 0
	for i := range p.pauseEnds {
		if count := p.matchingEnds(period, i); count >= bestCount {
			best, bestCount = i, count
		}
	}
	periods := max((now.Sub(p.pauseEnds[best])+period-1)/period, 1)
	until = p.pauseEnds[best].Add(periods * period)
	return until.Add(-length), until, true
}

// Paused predicts whether a pause delays a request sent now, and when that pause
// ends. lead is the time that the request takes without a pause.
func (p *Predictor) Paused(now time.Time, lead time.Duration) (until time.Time, paused bool) {
	from, until, known := p.nextPause(now)
	return until, known && now.Add(lead).After(from)
}

// RecordPromptAnswer records that a request sent at the given time was answered without
// delay. If that time is close to the middle of a predicted pause, the prediction counts
// as wrong.
func (p *Predictor) RecordPromptAnswer(sent time.Time) {
	from, until, known := p.nextPause(sent)
	middle := from.Add(until.Sub(from) / 2)
	if known && similar(0, sent.Sub(middle)) {
		p.misses++
	}
}
