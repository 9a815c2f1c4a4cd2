package fleet

import "time"

const (
	// MinLimit is the smallest limit in requests a second that a target can name. Below
	// it daemons would not learn for long that the limit has risen.
	MinLimit = 0.1
	// limitChange is the relative change of a limit from which on it is noticed again.
	limitChange = 0.25
)

// rateLimit is the limit on requests that a boot of a target has named.
type rateLimit struct {
	// rate is in requests a second, of all daemons together; zero means no limit.
	rate float64
	// noticedRate is the rate that was noticed last.
	noticedRate float64
	// namedAt is when a reply last named the limit.
	namedAt time.Time
	// toldInvalid is true once an invalid limit has been noticed.
	toldInvalid bool
}

// limited reports whether the target has named a limit.
func (r *selfReport) limited() bool { return r != nil && r.limit.rate > 0 }

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
		f.setLimit(t, l, *s.Limit, s.Request)
	case l.rate > 0 && s.Answered && s.Sent.After(l.namedAt):
		f.setLimit(t, l, 0, s.Request)
	}
}

// setLimit sets the limit, or ends it if the rate is zero.
func (f *Fleet) setLimit(t *Target, l *rateLimit, rate float64, request string) {
	l.rate = rate
	switch {
	case rate == 0:
		l.noticedRate = 0
		f.notify(t, Notice{Kind: NoticeNoLimit, Request: request})
	case l.noticedRate == 0 || rate > l.noticedRate*(1+limitChange) || rate < l.noticedRate*(1-limitChange):
		l.noticedRate = rate
		f.notify(t, Notice{Kind: NoticeLimit, Rate: rate, Request: request})
	}
}
