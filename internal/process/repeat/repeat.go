// Package repeat shares one budget for repeated attempts over all daemons
// without their talking about it. In any window the tier may send a pool a
// share of its requests, plus a fixed slack, as attempts beyond the first. Each
// daemon spends at most the share of its own requests, plus its part of the
// slack, which package share decides.
//
// # Usage
//
//	b := repeat.New(repeat.Terms{Ratio: 0.2, Slack: 56, Window: 10 * time.Second})
//	b.SetPart(share.Kept / 8)
//	b.Primary(now, 1)
//	if b.Take(now, 0) {
//		// send the attempt, or
//		b.Refund(now)
//	}
package repeat

import (
	"sync"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/share"
	"github.com/magnoliarelay/magnoliarelay/internal/process/ticks"
)

const (
	// buckets is how many parts a window is counted in.
	buckets = 40
	// keptShare is the part of the ratio that is spent: attempts arrive later than
	// they are sent.
	keptShare = 0.85
	// marginBuckets is how much longer than the window extras are counted, as
	// delays may bring attempts of two windows together.
	marginBuckets = 2
)

// Terms are what the operator allows for each pool.
type Terms struct {
	// Ratio is the extra attempts for each request.
	Ratio float64
	// Slack is the extra attempts in a window beyond the ratio.
	Slack  float64
	Window time.Duration
}

type bucket struct{ requests, extras int32 }

// Budget is one pool's budget at one daemon. Its methods may be called from
// any goroutine.
type Budget struct {
	mu    sync.Mutex
	terms Terms
	part  float64
	ring  [buckets + marginBuckets]bucket
	ticks ticks.Ticks
	slot  int64
	// carried is the extras counted in a window of another length.
	carried int32
}

// New returns a budget of which nothing is spent.
func New(terms Terms) *Budget {
	return &Budget{terms: terms, part: share.Kept, ticks: ticksOf(terms)}
}

func ticksOf(terms Terms) ticks.Ticks { return ticks.Ticks{Width: terms.Window / buckets} }

// SetTerms changes what the operator allows. With a window of another length, what
// was spent counts as if it had been spent just after the change.
func (b *Budget) SetTerms(terms Terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if terms.Window != b.terms.Window {
		_, extras := b.sum()
		b.carried += int32(extras)
		b.ring = [buckets + marginBuckets]bucket{}
		b.slot, b.ticks = 0, ticksOf(terms)
	}
	b.terms = terms
}

// SetPart tells which part of the slack this daemon may spend in a window.
func (b *Budget) SetPart(part float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.part = part
}

// Primary records first attempts.
func (b *Budget) Primary(now time.Time, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now).requests += int32(count)
}

// Take spends one extra attempt if the budget allows it. The share of callers
// with a ratio of their own is not used: the terms hold for all.
func (b *Budget) Take(now time.Time, _ float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.at(now)
	requests, extras := b.sum()
	if float64(extras+1) > b.allowed(requests) {
		return false
	}
	current.extras++
	return true
}

// Usage returns what was counted in the window that ends now, and how many extra
// attempts that allows.
func (b *Budget) Usage(now time.Time) (requests, extras int, allowed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now)
	requests, extras = b.sum()
	return requests, extras, b.allowed(requests)
}

// allowed is the extra attempts in a window of so many requests.
func (b *Budget) allowed(requests int) float64 {
	return keptShare*b.terms.Ratio*float64(requests) + b.terms.Slack*b.part
}

// Refund gives back an extra attempt that was taken but not sent.
func (b *Budget) Refund(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := b.at(now); current.extras > 0 {
		current.extras--
	}
}

// sum counts requests over the window and extras over the margin too.
func (b *Budget) sum() (requests, extras int) {
	for i := range b.ring {
		extras += int(b.ring[i].extras)
	}
	size := int64(len(b.ring))
	for age := range int64(buckets) {
		requests += int(b.ring[((b.slot-age)%size+size)%size].requests)
	}
	return requests, extras
}

// at returns the bucket of now and clears those that fell out of the window.
func (b *Budget) at(now time.Time) *bucket {
	slot := b.ticks.At(now)
	size := int64(len(b.ring))
	if slot-b.slot >= size || b.slot == 0 {
		b.ring = [buckets + marginBuckets]bucket{}
		b.slot = max(b.slot, slot)
	}
	for b.slot < slot {
		b.slot++
		b.ring[b.slot%size] = bucket{}
	}
	current := &b.ring[b.slot%size]
	current.extras += b.carried
	b.carried = 0
	return current
}
