// Package alloc divides an allowance of extra attempts among daemons. The set of
// daemons that share it changes, and they do not always agree on the current set.
// What a daemon spent before it left the set counts for one more window. A daemon
// that joins the set therefore gets its full fraction only after that time, and the
// fractions of the others do not grow sooner. Until then it has a small fraction
// that grows from zero, so that however often daemons are replaced or restarted,
// together they spend at most one such fraction meanwhile.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	a := &alloc.Allocator{Window: 10 * time.Second, First: true}
//	fraction := a.Fraction(now, 6, true) // of the allowance
package alloc

import "time"

const (
	// UsableFraction is the fraction of the allowance that all daemons together spend.
	// The rest is a reserve, since daemons may disagree on how many they are, and
	// attempts arrive later than they are sent.
	UsableFraction = 0.85
	// newcomersFraction is the fraction of the allowance that all daemons which joined
	// the set within the last window spend together.
	newcomersFraction = 1 - UsableFraction
	// windowMargin is the fraction of a window by which a count outlasts the window.
	windowMargin = 0.05
	// maxCallGap is the maximum time between two calls to Fraction. A daemon that was
	// suspended for longer may have been replaced in the set.
	maxCallGap = time.Second
)

// Allocator computes the fraction of one daemon. Exported fields are set before
// Fraction is called.
type Allocator struct {
	// Window is the time in which the allowance may be spent once.
	Window time.Duration
	// First is true if no earlier process of this daemon can have spent any of the
	// allowance.
	First bool

	sharing bool
	// firstCall and lastCall are the times of the first and the last call to Fraction,
	// and sharingSince is when the daemon last joined or left the set.
	firstCall    time.Time
	sharingSince time.Time
	lastCall     time.Time
	// fullFraction is true if the daemon need not wait for its full fraction, since it
	// joined the set just after its first start.
	fullFraction bool
	counts       []count
}

// count is a number of sharing daemons that was reported and counts until a time.
type count struct {
	daemons int
	until   time.Time
}

// Fraction returns the fraction of the allowance that the daemon may spend in a window
// that ends now, given how many daemons share it and whether this one does. It must
// be called several times a second, with a time that advances while the host is
// suspended.
func (a *Allocator) Fraction(now time.Time, daemons int, sharing bool) float64 {
	daemons = max(daemons, 1)
	validity := time.Duration((1 + windowMargin) * float64(a.Window))
	a.counts = append(a.counts, count{daemons: daemons, until: now.Add(validity)})
	kept := a.counts[:0]
	for _, c := range a.counts {
		// The largest count applies, so an earlier count that is not larger than the
		// newest one has no effect: it also expires sooner.
		if now.Before(c.until) && (c.daemons > daemons || c.until.Equal(now.Add(validity))) {
			kept = append(kept, c)
		}
	}
	a.counts = kept
	for _, c := range a.counts {
		daemons = max(daemons, c.daemons)
	}
	if a.firstCall.IsZero() {
		a.firstCall, a.lastCall = now, now
	}
	wasSuspended := now.Sub(a.lastCall) > maxCallGap
	a.lastCall = now
	if sharing != a.sharing || wasSuspended {
		a.sharing, a.sharingSince = sharing, now
		a.fullFraction = a.First && !wasSuspended && now.Sub(a.firstCall) < validity
	}
	since := now.Sub(a.sharingSince)
	switch {
	case !sharing:
		return 0
	case !a.fullFraction && since < validity:
		return newcomersFraction / float64(daemons) * float64(since) / float64(validity)
	}
	return UsableFraction / float64(daemons)
}
