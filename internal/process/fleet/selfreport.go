package fleet

import (
	"strconv"
	"time"
)

const (
	// maxSelfReports bounds the boots of a pool's targets whose reports are kept.
	maxSelfReports = 1024
	// drainMargin is the part of the drain time in which a target gets no request any
	// more, since a request may take that long to reach it.
	drainMargin = 250 * time.Millisecond
	// resumeSpread is the time by which the ends of a pause are spread for each daemon
	// that shares the target, up to maxResumeSpread. A target answers about one
	// request in that time.
	resumeSpread    = 4 * time.Millisecond
	maxResumeSpread = time.Second
	// resumeAttempts is how many attempts a target gets at once after a pause, until
	// it answers.
	resumeAttempts = 1
	// retrySpreadDivisor divides the time until a pause ends; callers come back spread
	// over the result after it, within minRetrySpread and maxRetrySpread.
	retrySpreadDivisor = 4
	minRetrySpread     = 100 * time.Millisecond
	maxRetrySpread     = time.Second
)

// Statement is what one reply of a target says of the target.
type Statement struct {
	// Request is the ID of the request that was replied to.
	Request string
	// Leaving is true if the target says that it is shutting down.
	Leaving bool
	// Pause is how long the target wants no requests from this host, and InvalidPause
	// the text of a pause that is no sensible time.
	Pause        time.Duration
	InvalidPause string
	// Limit is how many requests a second the target takes from all daemons together; nil
	// means that the reply names none. InvalidLimit is the text of one that is no number.
	Limit        *float64
	InvalidLimit string
	// Sent is when the request was sent, and Answered is true if the target ran it. A
	// target that runs a request names the limit that it has.
	Sent     time.Time
	Answered bool
}

// NoticeKind says what a Notice is about.
type NoticeKind string

// The kinds of notices.
const (
	NoticeLeaving NoticeKind = "Leaving"
	NoticePause   NoticeKind = "Pause"
	// NoticeInvalidPause is a pause that is no sensible time.
	NoticeInvalidPause NoticeKind = "InvalidPause"
	// NoticeLeavingRegistration is a registration that says that the target leaves.
	NoticeLeavingRegistration NoticeKind = "LeavingRegistration"
	// NoticeLimit is a limit that a target names for the first time or changes by a
	// quarter or more, and NoticeNoLimit the end of one.
	NoticeLimit   NoticeKind = "Limit"
	NoticeNoLimit NoticeKind = "NoLimit"
	// NoticeInvalidLimit is a limit that is no number.
	NoticeInvalidLimit NoticeKind = "InvalidLimit"
)

// Notice tells that a target begins to leave or to pause.
type Notice struct {
	Kind NoticeKind
	// Born is the start of the target's process, in Unix milliseconds.
	Born int64
	// For is the rest of the drain time, or the length of the pause.
	For time.Duration
	// Request is the ID of the request whose reply says so; it is empty for
	// NoticeLeavingRegistration. Invalid is the text of an invalid pause.
	Request string
	Invalid string
	// Rate is the limit, in requests a second, for NoticeLimit.
	Rate float64
}

// boot identifies one process of a target. An address is reused by other targets, and
// an ID by later processes of the target.
type boot struct {
	id      string
	born    int64
	address string
}

func (t *Target) boot() boot { return boot{id: t.ID, born: t.born, address: t.Address} }

// BootID identifies the process of the target.
func (t *Target) BootID() string { return t.ID + "@" + t.Address + "#" + strconv.FormatInt(t.born, 10) }

// selfReport is what one boot of a target has said of itself in its replies to this
// daemon. Registrations don't change it.
type selfReport struct {
	// leavingSince is when the target first said that it leaves, and drainedAt when it
	// gets no further request.
	leavingSince time.Time
	drainedAt    time.Time
	// pausedAt is when the target last asked for a pause, and resumeAt when the pause
	// ends. resumeLimit then bounds the attempts in flight; zero means no bound.
	pausedAt    time.Time
	resumeAt    time.Time
	resumeLimit int
	// toldInvalid is true once an invalid pause has been noticed.
	toldInvalid bool
	// limit bounds the requests of all daemons together.
	limit rateLimit
}

// leaving reports whether the target has said that it leaves.
func (r *selfReport) leaving() bool { return r != nil && !r.leavingSince.IsZero() }

// drained reports whether a target that leaves has used up its drain time.
func (r *selfReport) drained(now time.Time) bool { return r.leaving() && !now.Before(r.drainedAt) }

// pausing reports whether the target wants no requests now.
func (r *selfReport) pausing(now time.Time) bool { return r != nil && now.Before(r.resumeAt) }

// withholds reports whether the target may get no request now.
func (r *selfReport) withholds(now time.Time) bool { return r.drained(now) || r.pausing(now) }

// reduced reports whether the target takes less than others: it leaves, pauses, is not
// yet taken up again after a pause, or limits its requests.
func (r *selfReport) reduced() bool {
	return r != nil && (r.leaving() || r.resumeLimit > 0 || r.limited())
}

// boundAttempts bounds the attempts in flight after a pause.
func (r *selfReport) boundAttempts(limit int) int {
	if r == nil || r.resumeLimit == 0 {
		return limit
	}
	return min(limit, r.resumeLimit)
}

// recordAnswer raises the limit after a pause by one for each answer to an attempt
// that was sent after the pause, and reports whether it has reached the usual limit.
func (r *selfReport) recordAnswer(sent time.Time, usualLimit int) (resumed bool) {
	if r == nil || r.resumeLimit == 0 || sent.Before(r.resumeAt) {
		return false
	}
	if r.resumeLimit++; r.resumeLimit >= usualLimit {
		r.resumeLimit = 0
	}
	return r.resumeLimit == 0
}

// recordPause records that the target asked for a pause. An earlier pause that ends
// later stays in force.
func (r *selfReport) recordPause(now time.Time, pause, spread time.Duration) {
	if until := now.Add(pause); until.After(r.resumeAt) {
		r.resumeAt = until.Add(spread)
	}
	r.pausedAt, r.resumeLimit = now, resumeAttempts
}

// selfReports holds the reports of the boots that have said something. A report
// outlasts the registration, which may lapse and come back.
type selfReports struct {
	byBoot map[boot]*selfReport
	// oldest holds the boots by their first report.
	oldest []boot
}

// find returns the report of a boot, or nil.
func (s *selfReports) find(b boot) *selfReport { return s.byBoot[b] }

// open returns the report of a boot, and begins one if there is none.
func (s *selfReports) open(b boot) *selfReport {
	if r := s.byBoot[b]; r != nil {
		return r
	}
	if s.byBoot == nil {
		s.byBoot = map[boot]*selfReport{}
	}
	if len(s.oldest) >= maxSelfReports {
		delete(s.byBoot, s.oldest[0])
		s.oldest = append(s.oldest[:0], s.oldest[1:]...)
	}
	r := &selfReport{}
	s.byBoot[b] = r
	s.oldest = append(s.oldest, b)
	return r
}

// SetDrainTimeout sets for how long a target may get requests after it has said that
// it leaves.
func (f *Fleet) SetDrainTimeout(timeout time.Duration) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	f.drainTimeout = timeout
}

// RecordStatement records what a reply of a target says of the target.
func (f *Fleet) RecordStatement(now time.Time, t *Target, s Statement) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	if !s.Leaving && s.Pause <= 0 && s.InvalidPause == "" && s.Limit == nil && s.InvalidLimit == "" && !f.selfReports.find(t.boot()).limited() {
		return
	}
	report := f.selfReports.open(t.boot())
	t.selfReport = report
	before := report.reduced()
	// The target may have been registered anew while the request was under way.
	current := f.targets[t.ID]
	if current == nil || current.boot() != t.boot() {
		current = t
	}
	current.selfReport = report
	if s.InvalidPause != "" && !report.toldInvalid {
		report.toldInvalid = true
		f.notify(t, Notice{Kind: NoticeInvalidPause, For: s.Pause, Request: s.Request, Invalid: s.InvalidPause})
	}
	if s.Leaving && !report.leaving() {
		report.leavingSince = now
		report.drainedAt = now.Add(max(0, f.drainTimeout-drainMargin))
		f.notify(t, Notice{Kind: NoticeLeaving, For: report.drainedAt.Sub(now), Request: s.Request})
	}
	if s.Pause > 0 {
		began := !report.pausing(now)
		spread := min(time.Duration(f.sharers)*resumeSpread, maxResumeSpread, s.Pause)
		report.recordPause(now, s.Pause, time.Duration(f.random.Int64N(int64(spread)+1)))
		if began {
			f.notify(t, Notice{Kind: NoticePause, For: s.Pause, Request: s.Request})
		}
		t.recall()
		current.recall()
		f.wakeShard(0)
	}
	f.recordLimit(now, t, report, &s)
	if report.reduced() != before {
		f.viewsStale = true
	}
}

func (f *Fleet) notify(t *Target, n Notice) {
	if f.config.OnNotice != nil {
		n.Born = t.born
		f.calls.Add(func() { f.config.OnNotice(t, n) })
	}
}

// recall makes attempts that wait for a connection to the target give up.
func (t *Target) recall() {
	if t.recalled != nil {
		close(t.recalled)
		t.recalled = nil
	}
}

// Admit reports whether a request may be sent to the target now. It is asked when the
// connection is at hand, since the target may have begun to leave or pause after it
// was chosen.
func (t *Target) Admit(now time.Time) bool {
	f := t.owner
	if f == nil {
		return true
	}
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	report := t.selfReport
	if report == nil {
		report = f.selfReports.find(t.boot())
	}
	if !report.withholds(now) {
		return true
	}
	f.countKept(report, now)
	return false
}

// Recalled returns a channel that is closed when attempts that haven't been sent are
// to be made at another target.
func (t *Target) Recalled() <-chan struct{} {
	f := t.owner
	if f == nil {
		return nil
	}
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	if t.recalled == nil {
		t.recalled = make(chan struct{})
	}
	return t.recalled
}

// countKept tells Config.OnKept why a request does not go to a target.
func (f *Fleet) countKept(r *selfReport, now time.Time) {
	if f.config.OnKept == nil {
		return
	}
	why := NoticeLimit
	switch {
	case r.pausing(now):
		why = NoticePause
	case r.leaving():
		why = NoticeLeaving
	}
	f.calls.Add(func() { f.config.OnKept(why) })
}

// countPassedOver counts the replicas that a request passes over since they leave or
// pause.
func (f *Fleet) countPassedOver(now time.Time, replicas []*Target, chosen *Target) {
	for _, t := range replicas {
		if t == chosen || t.state != StateReady {
			continue
		}
		if t.selfReport.leaving() || t.selfReport.pausing(now) || t.selfReport.limited() && t.selfReport.limit.tokens < 1 {
			f.countKept(t.selfReport, now)
		}
	}
}

// resumesAt returns when the first of the replicas that pause returns, or when limits
// allow another request; ok is false if the replicas lack neither.
func (f *Fleet) resumesAt(now time.Time, replicas []*Target) (at time.Time, ok bool) {
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	if in, limited := f.nextToken(now, replicas); limited {
		at, ok = now.Add(in), true
	}
	for _, t := range replicas {
		r := t.selfReport
		if t.state != StateReady || !r.pausing(now) || r.drained(r.resumeAt) {
			continue
		}
		if !ok || r.resumeAt.Before(at) {
			at, ok = r.resumeAt, true
		}
	}
	return at, ok
}
