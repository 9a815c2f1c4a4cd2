// Package room bounds the memory that the clients of a process hold together: the
// requests that it reads for them, and the answers that wait for them.
//
// # Usage
//
//	r := &room.Room{MaxBytes: 64 << 20}
//	claim := r.Open(closeConnection)
//	defer claim.Close()
//	claim.Await(now) // from now on the client is waited for
//	if !claim.Take(now, size) {
//		// refuse the request
//	}
//	if !claim.Serve() {
//		// the client has been evicted
//	}
//
// While there is no room, the clients that are waited for are evicted, first those that
// hold the most for the longest time. What is being served is never evicted.
package room

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/chain"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

const (
	// SmallBytes is how much a claim may hold in the part of the room that is reserved for
	// small claims: an ordinary request without a long body.
	SmallBytes = 8 << 10
	// reservedDivisor divides the room; the result is the part that is reserved.
	reservedDivisor = 4
	// minWait is how long a client must have been waited for to be evicted, so that
	// requests which arrive quickly are read whole. While others wait for room, it is
	// shorter, by the number of them, down to minCrowdedWait: the longest round trip to a
	// client, with some delay.
	minWait        = 500 * time.Millisecond
	minCrowdedWait = 100 * time.Millisecond
	// waitersPerStep waiters for room halve the time.
	waitersPerStep = 8
	// batchDivisor divides the room; the result is how much is made free at once, since each
	// choice goes through all claims.
	batchDivisor = 16
	// idleScanInterval is the time until the next choice after one that found nobody.
	idleScanInterval = 50 * time.Millisecond
)

// RetryAfter is when a request that found no room may be retried: what clients have held
// for longer than minWait is then free.
const RetryAfter = minWait

// Room bounds the bytes of all claims. Exported fields are set before Open.
type Room struct {
	MaxBytes int64
	// OnEvict, if set, is called after a client that held so many bytes has been evicted.
	OnEvict func(bytes int64)

	mu         mutex.Mutex
	used       int64
	claims     chain.List[*Claim]
	nextScanAt time.Time
	// waiters holds the claims that wait for room, in the order in which they came; one that
	// waits several times is in it as often.
	waiters []*Claim
	// favoured may take more than there is, until it ends; nil if no claim may.
	favoured *Claim
}

// Claim is what one request of a client holds.
type Claim struct {
	room  *Room
	evict func()
	node  chain.Node[*Claim]

	// The fields below are guarded by the lock of the room.
	bytes int64
	// awaitedSince is since when the client is waited for; zero while it is not.
	awaitedSince time.Time
	closed       bool
	evicted      bool
}

// Open returns a new claim. Evict closes the client's connection; it is called without a
// lock, at most once.
func (r *Room) Open(evict func()) *Claim {
	c := &Claim{room: r, evict: evict}
	c.node.Value = c
	r.mu.Lock()
	defer r.mu.Unlock()
	r.claims.PushBack(&c.node)
	return c
}

// Used returns the bytes of all claims.
func (r *Room) Used() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}

// Take adds bytes to the claim. If there is no room for them, it evicts others, and returns
// false if that is not enough. A claim that has been closed holds nothing: its request has
// ended, and what is still read for it is not kept. It gets true for SmallBytes at most.
func (c *Claim) Take(now time.Time, bytes int64) bool {
	r := c.room
	r.mu.Lock()
	if c.evicted {
		r.mu.Unlock()
		return false
	}
	if c.closed {
		r.mu.Unlock()
		return bytes <= SmallBytes
	}
	var victims []*Claim
	if !r.fits(c, bytes) {
		victims = r.chooseVictims(now, c, bytes)
	}
	if r.favoured == nil && len(r.waiters) > 0 {
		r.favoured = r.waiters[0]
	}
	taken := r.fits(c, bytes)
	if taken {
		c.bytes += bytes
		r.used += bytes
	}
	r.mu.Unlock()
	for _, v := range victims {
		v.evict()
		if r.OnEvict != nil {
			r.OnEvict(v.bytes)
		}
	}
	return taken
}

// Wait says that the claim waits until there is room, until the returned function is called.
// One claim at a time, that has waited for longest, may take more than there is: otherwise
// claims that each hold a part of what they need could wait for each other.
func (c *Claim) Wait() (done func()) {
	r := c.room
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters = append(r.waiters, c)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		i := slices.Index(r.waiters, c)
		r.waiters = slices.Delete(r.waiters, i, i+1)
	}
}

// Give returns bytes that the claim does not need any more.
func (c *Claim) Give(bytes int64) {
	c.room.mu.Lock()
	defer c.room.mu.Unlock()
	if !c.closed {
		c.bytes -= bytes
		c.room.used -= bytes
	}
}

// fits reports whether the claim may grow. One that is alone may always, so that the size
// of a single request is bounded by the operator only, and so may the favoured one.
func (r *Room) fits(c *Claim, bytes int64) bool {
	switch {
	case r.used == c.bytes || r.favoured == c:
		return true
	case c.bytes+bytes <= SmallBytes:
		return r.used+bytes <= r.MaxBytes
	}
	return r.used+bytes <= r.MaxBytes-r.MaxBytes/reservedDivisor
}

// chooseVictims takes the room from clients that are waited for, until the claim may grow
// and a batch is free, and returns their claims. The caller evicts them.
func (r *Room) chooseVictims(now time.Time, c *Claim, bytes int64) []*Claim {
	if now.Before(r.nextScanAt) {
		return nil
	}
	type candidate struct {
		claim  *Claim
		weight float64
	}
	var candidates []candidate
	longEnough := max(minWait/time.Duration(1+len(r.waiters)/waitersPerStep), minCrowdedWait)
	for n := r.claims.Front(); n != nil; n = r.claims.Next(n) {
		other := n.Value
		wait := now.Sub(other.awaitedSince)
		if other == c || other.bytes == 0 || other.awaitedSince.IsZero() || wait < longEnough {
			continue
		}
		candidates = append(candidates, candidate{claim: other, weight: float64(other.bytes) * wait.Seconds()})
	}
	if len(candidates) == 0 {
		r.nextScanAt = now.Add(idleScanInterval)
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	var victims []*Claim
	free := bytes + r.MaxBytes/batchDivisor
	for _, v := range candidates {
		if r.fits(c, free) {
			break
		}
		r.remove(v.claim)
		v.claim.evicted = true
		victims = append(victims, v.claim)
	}
	return victims
}

func (r *Room) remove(c *Claim) {
	if !c.closed {
		c.closed = true
		r.used -= c.bytes
		r.claims.Remove(&c.node)
		if r.favoured == c {
			r.favoured = nil
		}
	}
}

// Await says that the client is waited for from now on, to send or to read, or that it has
// just read something. It may be evicted.
func (c *Claim) Await(now time.Time) {
	c.room.mu.Lock()
	defer c.room.mu.Unlock()
	c.awaitedSince = now
}

// Serve says that the client is not waited for any more. It returns false if the client
// has been evicted.
func (c *Claim) Serve() bool {
	c.room.mu.Lock()
	defer c.room.mu.Unlock()
	c.awaitedSince = time.Time{}
	return !c.evicted
}

// Closed reports whether the claim has ended.
func (c *Claim) Closed() bool {
	c.room.mu.Lock()
	defer c.room.mu.Unlock()
	return c.closed
}

// Close ends the claim and returns its bytes.
func (c *Claim) Close() {
	c.room.mu.Lock()
	defer c.room.mu.Unlock()
	c.room.remove(c)
}

type contextKey struct{}

// With returns a context that carries a claim, which may be nil.
func With(ctx context.Context, c *Claim) context.Context {
	if c == nil {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, c)
}

// From returns the claim that a context carries; nil, which bounds nothing, if it has none.
func From(ctx context.Context) *Claim {
	c, _ := ctx.Value(contextKey{}).(*Claim)
	return c
}
