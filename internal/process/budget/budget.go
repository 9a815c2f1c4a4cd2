// Package budget decides whether an extra attempt may be sent. A budget is a
// share of the primary attempts of one service on one daemon: hedges have one,
// retries another.
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
// Credit builds up with primaries and is worth at most one second of them, and
// within any one second extras stay within the share of that second's
// primaries, so a service that slows down cannot spend what it saved before.
package budget

import (
	"sync"
	"time"

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

// Budget is the state of one budget. Its methods may be called from any
// goroutine.
type Budget struct {
	mu        sync.Mutex
	ring      [buckets]bucket
	ticks     ticks.Ticks
	slot      int64
	primaries int
	extras    int
	earned    int
	credit    float64
}

// New returns an empty budget.
func New() *Budget { return &Budget{ticks: ticks.Ticks{Width: bucketWidth}} }

// Primary records primary attempts, each of which earns credit.
func (b *Budget) Primary(now time.Time, count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.ring[b.slot%buckets].primaries += count
	b.primaries += count
	b.earned += count
}

// Take spends one extra attempt if the share allows it.
func (b *Budget) Take(now time.Time, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.settle(share)
	allowance := share * float64(b.primaries)
	within := float64(b.extras+1) <= allowance || b.extras == 0
	if b.credit < 1 || !within {
		return false
	}
	b.credit--
	b.extras++
	b.ring[b.slot%buckets].extras++
	return true
}

// Refund gives back an extra attempt that was taken but not sent.
func (b *Budget) Refund(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.credit++
	if b.ring[b.slot%buckets].extras > 0 {
		b.ring[b.slot%buckets].extras--
		b.extras--
	}
}

// Usage returns the primaries and extras of the last second.
func (b *Budget) Usage(now time.Time) (primaries, extras int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.primaries, b.extras
}

// settle turns primaries earned since the last call into credit.
func (b *Budget) settle(share float64) {
	b.credit += share * float64(b.earned)
	b.earned = 0
	b.credit = min(b.credit, max(1, share*float64(b.primaries)))
}

// advance drops buckets older than a second.
func (b *Budget) advance(now time.Time) {
	slot := b.ticks.At(now)
	if b.slot == 0 || slot-b.slot >= buckets {
		b.ring = [buckets]bucket{}
		b.primaries, b.extras = 0, 0
		b.slot = max(slot, b.slot)
		return
	}
	for b.slot < slot {
		b.slot++
		old := &b.ring[b.slot%buckets]
		b.primaries -= old.primaries
		b.extras -= old.extras
		*old = bucket{}
	}
}
