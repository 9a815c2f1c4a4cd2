// Package tempo knows how long targets usually take to answer the requests of
// a route, by the region they stand in, and so when an answer is late. What
// counts is how the targets do together: one that is slow is late by the
// measure of the others.
//
// # Usage
//
//	t := tempo.New()
//	t.Observe("stock-check", "north", took)
//	if time.Since(sent) > t.Late("stock-check", "north", near) {
//		// send to another target
//	}
package tempo

import (
	"slices"
	"sync"
	"time"
)

const (
	// samples is the number of replies that the quantile is taken of, and fresh
	// the number after which it is taken again.
	samples = 256
	fresh   = 16
	// few is the number of replies below which a guess is used.
	few = 24
	// lateShare is the part of replies that are not late. The others are worth
	// a second attempt, which the budgets have room for.
	lateShare = 0.91
	// lateSlack covers timers and scheduling.
	lateSlack = 3 * time.Millisecond
	// lateLeast and lateMost bound the time after which an answer is late.
	lateLeast = 8 * time.Millisecond
	lateMost  = 500 * time.Millisecond
	// nearGuess and farGuess are used until there are enough replies, in the own
	// region and in another one.
	nearGuess = 100 * time.Millisecond
	farGuess  = 140 * time.Millisecond
	// keysMost bounds the routes and regions known.
	keysMost = 4096
)

type key struct{ route, region string }

type record struct {
	ring  [samples]time.Duration
	count int
	late  time.Duration
	usual time.Duration
}

// Tempo is the state. Its methods may be called from any goroutine.
type Tempo struct {
	mu      sync.Mutex
	records map[key]*record
}

// New returns a tempo that knows nothing.
func New() *Tempo { return &Tempo{records: map[key]*record{}} }

// Observe records how long an answer took.
func (t *Tempo) Observe(route, region string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{route, region}
	r := t.records[k]
	if r == nil {
		if len(t.records) >= keysMost {
			clear(t.records)
		}
		r = &record{}
		t.records[k] = r
	}
	r.ring[r.count%samples] = took
	r.count++
	if r.count == few || r.count > few && r.count%fresh == 0 {
		r.measure()
	}
}

func (r *record) measure() {
	sorted := r.ring
	filled := sorted[:min(r.count, samples)]
	slices.Sort(filled)
	r.usual = filled[len(filled)/2]
	r.late = min(max(filled[int(lateShare*float64(len(filled)-1))]+lateSlack, lateLeast), lateMost)
}

// Late is how long after its send an attempt at a target of the region counts
// as late.
func (t *Tempo) Late(route, region string, near bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[key{route, region}]; r != nil && r.count >= few {
		return r.late
	}
	if near {
		return nearGuess
	}
	return farGuess
}

// Usual is how long an answer from the region usually takes.
func (t *Tempo) Usual(route, region string, near bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[key{route, region}]; r != nil && r.count >= few {
		return r.usual
	}
	if near {
		return nearGuess / 2
	}
	return farGuess / 2
}
