// Package share decides which part of a common slack one daemon may spend, when
// those that share it change and do not agree at every moment on who they are.
// What a daemon that no longer shares has spent still counts for a window, so one
// that begins to share gets its part only after that time, and the parts of the
// others do not grow sooner. Until then it has a small part that grows from
// nothing, so that however often daemons are replaced or restarted, all that they
// have spent meanwhile adds up to one such part.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	s := &share.Share{Window: 10 * time.Second, First: true}
//	part := s.Part(now, 6, true) // of the slack
package share

import "time"

const (
	// Kept is the part of the slack that is spent in all, since daemons may differ
	// about how many they are, and attempts arrive later than they are sent.
	Kept = 0.85
	// fresh is what daemons that have begun to share within the last window spend in
	// all.
	fresh = 1 - Kept
	// marginShare is how much longer than the window a count holds.
	marginShare = 0.05
	// gapMost is the longest time between two calls of a daemon that runs. One that
	// was away for longer may have been replaced.
	gapMost = time.Second
)

// Share is one daemon's part. Exported fields are set before Part.
type Share struct {
	// Window is the time in which the slack may be spent once.
	Window time.Duration
	// First is true if no daemon has run in this one's place before, which could
	// have spent a part.
	First bool

	sharing bool
	// started is the first call, since the begin of sharing, and asked the last call.
	started time.Time
	since   time.Time
	asked   time.Time
	// whole is true if the daemon began to share just after the first start.
	whole  bool
	counts []count
}

// count is how many daemons were taken to share until a time.
type count struct {
	daemons int
	until   time.Time
}

// Part returns which part of the slack the daemon may spend in a window that ends
// now, given how many daemons share it and whether this one does. It is called
// several times a second, with a time that goes on while the host is suspended.
func (s *Share) Part(now time.Time, daemons int, sharing bool) float64 {
	daemons = max(daemons, 1)
	lasts := time.Duration((1 + marginShare) * float64(s.Window))
	s.counts = append(s.counts, count{daemons: daemons, until: now.Add(lasts)})
	kept := s.counts[:0]
	for _, c := range s.counts {
		// A smaller count that ends sooner than a later, larger one never decides.
		if now.Before(c.until) && (c.daemons > daemons || c.until.Equal(now.Add(lasts))) {
			kept = append(kept, c)
		}
	}
	s.counts = kept
	for _, c := range s.counts {
		daemons = max(daemons, c.daemons)
	}
	if s.started.IsZero() {
		s.started, s.asked = now, now
	}
	away := now.Sub(s.asked) > gapMost
	s.asked = now
	if sharing != s.sharing || away {
		s.sharing, s.since = sharing, now
		s.whole = s.First && !away && now.Sub(s.started) < lasts
	}
	since := now.Sub(s.since)
	switch {
	case !sharing:
		return 0
	case !s.whole && since < lasts:
		return fresh / float64(daemons) * float64(since) / float64(lasts)
	}
	return Kept / float64(daemons)
}
