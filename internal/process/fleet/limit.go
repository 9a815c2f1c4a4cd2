package fleet

import (
	"math"
	"time"
)

const (
	// MinLimit is the smallest limit in requests a second that a target can name. Below
	// it daemons would not learn for long that the limit has risen.
	MinLimit = 0.1
	// limitChange is the relative change of a limit from which on it is noticed again.
	limitChange = 0.25
	// All daemons together may save up limitBurst requests at a limited target, and what
	// it takes in limitBurstTime.
	limitBurst     = 2
	limitBurstTime = time.Second
	// limitReserve is how many of the saved requests hedges, and requests that are not of
	// the highest rank, leave to others.
	limitReserve = 1
	// ownLimitAge is the age up to which what a reply to this daemon said of a limit takes
	// precedence over the notices of peers.
	ownLimitAge = 500 * time.Millisecond
)

// rateLimit is the limit on requests that a boot of a target has named, and this
// daemon's part of it as a token bucket.
type rateLimit struct {
	// rate is in requests a second, of all daemons together; zero means no limit.
	rate float64
	// noticedRate is the rate that was noticed last.
	noticedRate float64
	// namedAt is when a reply last named the limit.
	namedAt time.Time
	// tokens is the number of requests that may be sent, as of filledAt.
	tokens   float64
	filledAt time.Time
	// toldInvalid is true once an invalid limit has been noticed.
	toldInvalid bool
}

// SetLimitFraction sets this daemon's fraction of the limits that targets name. The
// fractions of all daemons add up to one at most.
func (f *Fleet) SetLimitFraction(now time.Time, fraction float64) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	if fraction == f.limitFraction {
		return
	}
	for _, t := range f.order {
		if t.selfReport.limited() {
			f.fill(now, &t.selfReport.limit)
		}
	}
	f.limitFraction = fraction
}

// burst returns how many requests this daemon may save up at a target with the limit. It
// is less than one if so many daemons share the limit that they would exceed it if each
// of them saved up a request.
func (f *Fleet) burst(rate float64) float64 {
	return (limitBurst + rate*limitBurstTime.Seconds()) * f.limitFraction
}

// fill adds the tokens that are due since filledAt.
func (f *Fleet) fill(now time.Time, l *rateLimit) {
	if elapsed := now.Sub(l.filledAt); elapsed > 0 {
		l.tokens = min(l.tokens+elapsed.Seconds()*l.rate*f.limitFraction, f.burst(l.rate))
		l.filledAt = now
	}
}

// limited reports whether the target has named a limit.
func (r *selfReport) limited() bool { return r != nil && r.limit.rate > 0 }

// drawPosition shifts a request's draw for each replica of a shard, so that replicas are
// admitted by turns, and the same ones at all shards.
func drawPosition(draw float64, replica, replicas int) float64 {
	_, fraction := math.Modf(draw + float64(replica)/float64(replicas))
	return fraction
}

// withinLimit reports whether the target's limit allows a request. Where this daemon may
// save up less than a request, its tokens are the probability of one, and are spent on
// the draw.
func (f *Fleet) withinLimit(now time.Time, t *Target, draw float64, yields bool) bool {
	if !t.selfReport.limited() {
		return true
	}
	l := &t.selfReport.limit
	f.fill(now, l)
	burst := f.burst(l.rate)
	if burst < 1 {
		if l.tokens > draw {
			return true
		}
		l.tokens = min(l.tokens, 0)
		return false
	}
	needed := 1.0
	if yields {
		needed = min(needed+limitReserve, burst)
	}
	return l.tokens >= needed
}

// spend takes the tokens for an attempt at a limited target, and refund gives back those
// of one that was not sent.
func (f *Fleet) spend(t *Target) {
	if t.selfReport.limited() {
		l := &t.selfReport.limit
		l.tokens -= min(1, max(l.tokens, 0))
	}
}

func (f *Fleet) refund(t *Target) {
	if t.selfReport.limited() {
		l := &t.selfReport.limit
		l.tokens = min(l.tokens+1, f.burst(l.rate))
	}
}

// admits reports whether an available target among the replicas takes a request now.
func (f *Fleet) admits(now time.Time, replicas []*Target, draw float64, rank int) bool {
	admitted := false
	for i, t := range replicas {
		if t.available(now) && f.withinLimit(now, t, drawPosition(draw, i, len(replicas)), rank > 0) {
			admitted = true
		}
	}
	return admitted
}

// nextToken returns the time until the limits of the available targets among the
// replicas allow a request; ok is false if none of these targets has a limit.
func (f *Fleet) nextToken(now time.Time, replicas []*Target) (in time.Duration, ok bool) {
	for _, t := range replicas {
		if !t.available(now) || !t.selfReport.limited() || f.limitFraction <= 0 {
			continue
		}
		l := &t.selfReport.limit
		f.fill(now, l)
		wait := time.Duration(max(0, 1-l.tokens) / (l.rate * f.limitFraction) * float64(time.Second))
		if !ok || wait < in {
			in, ok = wait, true
		}
	}
	return in, ok
}

// Grant takes a token for a request that another daemon sends to a target of the region,
// and returns the target's ID. The ID is empty if a target there takes requests without a
// limit; ok is false if none takes one now.
func (f *Fleet) Grant(now time.Time, replicas []*Target, region string, draw float64) (id string, ok bool) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	var best *Target
	for i, t := range replicas {
		if t.Region != region || !t.available(now) {
			continue
		}
		if !t.selfReport.limited() {
			return "", true
		}
		within := f.withinLimit(now, t, drawPosition(draw, i, len(replicas)), false)
		if within && (best == nil || t.selfReport.limit.tokens > best.selfReport.limit.tokens) {
			best = t
		}
	}
	if best == nil {
		return "", false
	}
	f.spend(best)
	return best.ID, true
}

// recordLimit records what a reply says of the target's limit. A limit ends with an
// answer that names none, if the request was sent after the last one that did: answers
// to earlier requests may arrive late.
func (f *Fleet) recordLimit(now time.Time, t *Target, report *selfReport, s *Statement) {
	l := &report.limit
	switch {
	case s.InvalidLimit != "":
		if !l.toldInvalid {
			l.toldInvalid = true
			f.notify(t, Notice{Kind: NoticeInvalidLimit, Request: s.Request, Invalid: s.InvalidLimit})
		}
	case s.Limit != nil:
		l.namedAt = now
		f.setLimit(now, l, *s.Limit)
		if rate := l.rate; l.noticedRate == 0 || rate > l.noticedRate*(1+limitChange) || rate < l.noticedRate*(1-limitChange) {
			l.noticedRate = rate
			f.notify(t, Notice{Kind: NoticeLimit, Rate: rate, Request: s.Request})
			t.recall()
		}
	case l.rate > 0 && s.Answered && s.Sent.After(l.namedAt):
		f.setLimit(now, l, 0)
		l.noticedRate = 0
		f.notify(t, Notice{Kind: NoticeNoLimit, Request: s.Request})
		f.wakeShard(0)
	}
}

// RecordPeerLimit records the notice of a peer that a target has named a limit, or none
// any more if the rate is zero. It reports whether that was news.
func (f *Fleet) RecordPeerLimit(now time.Time, id string, born int64, rate float64) bool {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	t := f.targets[id]
	if t == nil || t.born != born || !(rate == 0 || rate >= MinLimit && !math.IsInf(rate, 1)) {
		return false
	}
	report := f.selfReports.open(t.boot())
	t.selfReport = report
	l := &report.limit
	if rate == l.rate || now.Sub(l.namedAt) < ownLimitAge {
		// A reply to this daemon is newer.
		return false
	}
	before := report.reduced()
	f.setLimit(now, l, rate)
	l.noticedRate = rate
	f.viewsStale = f.viewsStale || report.reduced() != before
	if rate > 0 {
		t.recall()
	} else {
		f.wakeShard(0)
	}
	return true
}

// setLimit sets the limit, or ends it if the rate is zero. A limit begins without
// tokens, since requests are under way.
func (f *Fleet) setLimit(now time.Time, l *rateLimit, rate float64) {
	if l.rate == 0 {
		l.tokens, l.filledAt = 0, now
	} else {
		f.fill(now, l)
	}
	l.rate = rate
}
