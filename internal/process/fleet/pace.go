package fleet

import (
	"math"
	"slices"
	"time"
)

const (
	// recentReplies is the number of replies whose median is the expected
	// response time: a single pause does not move it, two slow replies in a row
	// do.
	recentReplies = 3
	// localInitialLatency and remoteInitialLatency are the response times expected
	// of a target before its first replies, in the daemon's own region and in
	// another one.
	localInitialLatency  = 12 * time.Millisecond
	remoteInitialLatency = 50 * time.Millisecond
	// medianHalfLife is the time in which the expected response time of an
	// unused slow target falls halfway to its initial value, so that the target
	// is tried again.
	medianHalfLife = 2 * time.Second
	// overdueFactor times the hedge delay of an attempt is the time after which
	// the target is assumed to pause; below that, the request itself may just
	// be slow.
	overdueFactor = 2
	// waitHalfLife is the time in which the last wait at a target loses half of its
	// weight.
	waitHalfLife = 2 * time.Second
	// silentAfter is the time without any reply after which a target counts as
	// silent. It is longer than the usual pauses of targets.
	silentAfter = 700 * time.Millisecond
	// minProbeInterval and maxProbeInterval bound the time between attempts at
	// a silent target.
	minProbeInterval = 300 * time.Millisecond
	maxProbeInterval = 2 * time.Second
)

// responseTimes tracks how fast a target answers and whether it does.
type responseTimes struct {
	initial   time.Duration
	count     int
	recent    [recentReplies]time.Duration
	lastReply time.Time
	// unanswered is the send time of the oldest attempt since the target's last
	// sign of life; it is zero while the target answers. The target is overdue
	// after overdueAt.
	unanswered    time.Time
	overdueAt     time.Time
	lastSend      time.Time
	probeInterval time.Duration
	// waited is how long the last attempt, of this daemon or of a peer, had waited
	// at waitedAt.
	waited   time.Duration
	waitedAt time.Time
}

// recordSend records an attempt that counts as late after the given time.
func (p *responseTimes) recordSend(now time.Time, late time.Duration) {
	if p.unanswered.IsZero() {
		p.unanswered = now
		p.overdueAt = now.Add(overdueFactor * late)
	} else if p.silent(now) {
		p.probeInterval = min(max(2*p.probeInterval, minProbeInterval), maxProbeInterval)
	}
	p.lastSend = now
}

// recordSignOfLife records any sign of life of the target, including an error reply.
func (p *responseTimes) recordSignOfLife() {
	p.unanswered, p.probeInterval, p.waited = time.Time{}, 0, 0
}

// recordWait records that an attempt has waited for the given time, until its reply
// or still without one.
func (p *responseTimes) recordWait(now time.Time, waited time.Duration) {
	p.waited, p.waitedAt = waited, now
}

// wait returns how long the last attempts have waited. The next one is expected to
// wait as long; the expectation fades while the target is unused.
func (p *responseTimes) wait(now time.Time, inFlight int) time.Duration {
	waited := time.Duration(float64(p.waited) * math.Exp2(-now.Sub(p.waitedAt).Seconds()/waitHalfLife.Seconds()))
	if inFlight > 0 && !p.unanswered.IsZero() {
		waited = max(waited, now.Sub(p.unanswered))
	}
	return waited
}

// recordReply records the answer to an attempt that was sent at the given time.
// Answers to attempts that waited together, as during a pause, count once.
func (p *responseTimes) recordReply(now, sent time.Time) {
	p.recordSignOfLife()
	p.recordWait(now, now.Sub(sent))
	together := sent.Before(p.lastReply) && p.count > 0 && now.Sub(sent) > 2*p.recent[(p.count-1)%recentReplies]
	if together {
		return
	}
	p.recent[p.count%recentReplies] = now.Sub(sent)
	p.count++
	p.lastReply = now
}

// updateResponseTimes records the end of an attempt at a target that is polled,
// not registered.
func (t *Target) updateResponseTimes(now time.Time, outcome Outcome, latency float64) {
	switch outcome {
	case Success:
		t.responses.recordReply(now, now.Add(-time.Duration(latency*float64(time.Second))))
	case Broken, Crowded, Corrupt:
		t.lostAnswerAt = now
	case Cancelled, Expired:
		// The target gave no sign of life.
	default:
		t.responses.recordSignOfLife()
	}
}

// typicalLatency returns the expected response time.
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

// silent reports whether the target has not answered for longer than a usual
// pause.
func (p *responseTimes) silent(now time.Time) bool {
	return !p.unanswered.IsZero() && now.Sub(p.unanswered) > silentAfter
}

// probeDue reports whether a silent target may get another attempt.
func (p *responseTimes) probeDue(now time.Time) bool {
	return now.Sub(p.lastSend) >= max(p.probeInterval, minProbeInterval)
}
