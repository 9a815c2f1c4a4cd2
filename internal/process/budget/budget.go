// Package budget limits extra attempts to a share of the primary attempts of one
// service on one daemon. Hedges and retries have separate budgets.
//
// # Usage
//
//	b := budget.New()
//	b.Primary(now, 260)
//	if b.Take(now, 0.05) {
//		// send the extra attempt, or
//		b.Refund(now)
//	}
//
// Each primary attempt earns credit. The credit is capped at what the primary attempts
// of one second earn, but at no less than one extra attempt. Within any one second
// extra attempts also stay within the share of the primary attempts of that second, so
// a service that slows down cannot spend the credit that it earned before. A single
// extra attempt in a second is always within the share.
package budget

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/process/ticks"
)

const (
	buckets     = 10
	bucketWidth = 100 * time.Millisecond
)

type bucket struct {
	primaries int
	extras    int
}

// Budget is one budget. Its methods are safe for concurrent use.
type Budget struct {
	mu          mutex.Mutex
	ring        [buckets]bucket
	ticks       ticks.Ticks
	currentSlot int64
	primaries   int
	extras      int
	uncredited  int
	credit      float64
}

// New returns an empty budget.
func New() *Budget { return &Budget{ticks: ticks.Ticks{Width: bucketWidth}} }

// Primary records primary attempts, each of which earns credit.
func (b *Budget) Primary(now time.Time, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.ring[b.currentSlot%buckets].primaries += count
	b.primaries += count
	b.uncredited += count
}

// Take spends one extra attempt if the share allows it, and reports whether it did.
func (b *Budget) Take(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.addCredit(share)
	maxExtras := share * float64(b.primaries)
	withinShare := float64(b.extras+1) <= maxExtras || b.extras == 0
	if b.credit < 1 || !withinShare {
		return false
	}
	b.credit--
	b.extras++
	b.ring[b.currentSlot%buckets].extras++
	return true
}

// Refund gives back an extra attempt that was taken but not sent.
func (b *Budget) Refund(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.credit++
	if b.ring[b.currentSlot%buckets].extras > 0 {
		b.ring[b.currentSlot%buckets].extras--
		b.extras--
	}
}

// Usage returns the primary and extra attempts of the last second.
func (b *Budget) Usage(now time.Time) (primaries, extras int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.primaries, b.extras
}

// addCredit turns the primary attempts since the last call into credit.
func (b *Budget) addCredit(share float64) {
	b.credit += share * float64(b.uncredited)
	b.uncredited = 0
	b.credit = min(b.credit, max(1, share*float64(b.primaries)))
}

// advance drops buckets older than a second.
func (b *Budget) advance(now time.Time) {
	nowSlot := b.ticks.At(now)
	if b.currentSlot == 0 || nowSlot-b.currentSlot >= buckets {
		b.ring = [buckets]bucket{}
		b.primaries, b.extras = 0, 0
		b.currentSlot = max(nowSlot, b.currentSlot)
		return
	}
	for b.currentSlot < nowSlot {
		b.currentSlot++
		old := &b.ring[b.currentSlot%buckets]
		b.primaries -= old.primaries
		b.extras -= old.extras
		*old = bucket{}
	}
}
