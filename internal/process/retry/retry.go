// Package retry enforces one budget of extra attempts over all daemons without
// communication between them. In any window all daemons together may send a pool
// extra attempts up to a ratio of its requests plus a fixed allowance. Each daemon
// spends at most that ratio of its own requests plus its fraction of the allowance,
// which package alloc decides.
//
// # Usage
//
//	b := retry.New(retry.Terms{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second})
//	b.SetAllowanceFraction(alloc.UsableFraction / 8) // one of eight daemons
//	b.Primary(now, 1)
//	if b.Take(now, 0) {
//		// send the extra attempt, or
//		b.Refund(now)
//	}
package retry

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/alloc"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/process/ticks"
)

const (
	// buckets is the number of buckets in a window.
	buckets = 40
	// usableRatio is the fraction of the ratio that is spent. The rest is a reserve,
	// since attempts arrive later than they are sent.
	usableRatio = 0.85
	// marginBuckets is the number of buckets beyond the window in which extra attempts
	// still count, since delays may make attempts of two windows arrive together.
	marginBuckets = 2
)

// Terms are the limits that the operator sets for each pool.
type Terms struct {
	// Ratio is the number of extra attempts allowed per request.
	Ratio float64
	// Allowance is the number of extra attempts allowed in a window beyond the ratio.
	Allowance float64
	Window    time.Duration
}

type bucket struct{ requests, extras int32 }

// Budget is one pool's budget at one daemon. Its methods are safe for concurrent
// use.
type Budget struct {
	mu                mutex.Mutex
	terms             Terms
	allowanceFraction float64
	ring              [buckets + marginBuckets]bucket
	ticks             ticks.Ticks
	currentSlot       int64
	// carriedExtras is the number of extra attempts taken over from a window of
	// another length.
	carriedExtras int32
}

// New returns an unspent budget.
func New(terms Terms) *Budget {
	return &Budget{terms: terms, allowanceFraction: alloc.UsableFraction, ticks: newTicks(terms)}
}

func newTicks(terms Terms) ticks.Ticks { return ticks.Ticks{Width: terms.Window / buckets} }

// SetTerms changes the limits. If the length of the window changes, the extra
// attempts spent so far count as if they were spent just after the change.
func (b *Budget) SetTerms(terms Terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if terms.Window != b.terms.Window {
		_, extras := b.sum()
		b.carriedExtras += int32(extras)
		b.ring = [buckets + marginBuckets]bucket{}
		b.currentSlot, b.ticks = 0, newTicks(terms)
	}
	b.terms = terms
}

// SetAllowanceFraction sets the fraction of the allowance that this daemon may spend in
// a window.
func (b *Budget) SetAllowanceFraction(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowanceFraction = fraction
}

// Primary records primary attempts.
func (b *Budget) Primary(now time.Time, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucketAt(now).requests += int32(count)
}

// Take spends one extra attempt if the budget allows it, and reports whether it did. It
// ignores its last argument, the share that package budget uses.
func (b *Budget) Take(now time.Time, _ float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucketAt(now)
	requests, extras := b.sum()
	if float64(extras+1) > b.allowed(requests) {
		return false
	}
	current.extras++
	return true
}

// Usage returns the requests and extra attempts counted in the window that ends now,
// and the number of extra attempts allowed in it.
func (b *Budget) Usage(now time.Time) (requests, extras int, allowed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucketAt(now)
	requests, extras = b.sum()
	return requests, extras, b.allowed(requests)
}

// SpentShare returns the share of the extra attempts allowed in the window that ends
// now that are spent.
func (b *Budget) SpentShare(now time.Time) float64 {
	_, extras, allowed := b.Usage(now)
	if float64(extras) >= allowed {
		return 1
	}
	return float64(extras) / allowed
}

// allowed returns the number of extra attempts allowed in a window with that many
// requests.
func (b *Budget) allowed(requests int) float64 {
	return usableRatio*b.terms.Ratio*float64(requests) + b.terms.Allowance*b.allowanceFraction
}

// Refund gives back an extra attempt that was taken but not sent.
func (b *Budget) Refund(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := b.bucketAt(now); current.extras > 0 {
		current.extras--
	}
}

// sum counts the requests in the window and the extra attempts in the window and
// the margin after it.
func (b *Budget) sum() (requests, extras int) {
	for i := range b.ring {
		extras += int(b.ring[i].extras)
	}
	size := int64(len(b.ring))
	for age := range int64(buckets) {
		requests += int(b.ring[((b.currentSlot-age)%size+size)%size].requests)
	}
	return requests, extras
}

// bucketAt returns the bucket of now and clears those that have left the window.
func (b *Budget) bucketAt(now time.Time) *bucket {
	slot := b.ticks.At(now)
	size := int64(len(b.ring))
	if slot-b.currentSlot >= size || b.currentSlot == 0 {
		b.ring = [buckets + marginBuckets]bucket{}
		b.currentSlot = max(b.currentSlot, slot)
	}
	for b.currentSlot < slot {
		b.currentSlot++
		b.ring[b.currentSlot%size] = bucket{}
	}
	current := &b.ring[b.currentSlot%size]
	current.extras += b.carriedExtras
	b.carriedExtras = 0
	return current
}
