// Package crash tells which requests a target was running when its process ended.
//
// # Usage
//
//	t := &crash.Tracker{}
//	t.Sent(now, boot, attempt)
//	t.Answered(now, boot, attempt)   // or
//	t.Unanswered(now, boot, attempt) // and, once the process is known to have ended,
//	for _, blamed := range t.Ended(now, boot) {
//		// the request may have crashed the target
//	}
//
// A target that crashes breaks the connections of all requests that it holds, in any
// order, and this daemon learns of the crash at another time than of the broken
// connections: when a connection is refused, or when another process registers. So the
// tracker keeps every attempt that is in flight at a boot, and those that have ended
// without an answer, and blames all of them. Which one is at fault shows when they are
// sent again.
package crash

import (
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

const (
	// window is how long an attempt without an answer may be blamed for the end of its
	// target, and how long that end is remembered. A registration lapses later than the
	// process ends.
	window = 10 * time.Second
	// maxBoots and maxAttempts bound the boots, and the attempts of each that have ended
	// without an answer.
	maxBoots    = 2048
	maxAttempts = 64
	// checkInterval is the minimum time between two checks of whether a boot still runs.
	checkInterval = 100 * time.Millisecond
)

// Attempt is one request at one target.
type Attempt struct {
	// ID distinguishes the attempts at one boot.
	ID uint64
	// Fingerprint identifies the request by its content.
	Fingerprint uint64
	Sent        time.Time
}

// Blamed is an attempt that a target was running when it ended.
type Blamed struct {
	Attempt
	// Shared is true if the target was running other requests as well.
	Shared bool
}

// Tracker holds the attempts of one daemon. Its methods may be called from any
// goroutine.
type Tracker struct {
	mu    mutex.Mutex
	boots map[string]*record
}

// record is what is known of one boot of a target.
type record struct {
	inFlight   []Attempt
	unanswered []unanswered
	endedAt    time.Time
	// atEnd holds the fingerprints of the requests that the boot may have been running
	// when it ended.
	atEnd     []uint64
	checkedAt time.Time
	usedAt    time.Time
}

type unanswered struct {
	Attempt
	at time.Time
}

// Sent records that an attempt is sent to a boot.
func (t *Tracker) Sent(now time.Time, boot string, a Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.open(now, boot)
	r.inFlight = append(r.inFlight, a)
}

// Answered records that a boot has answered an attempt, which shows that it still ran
// after the attempt was sent.
func (t *Tracker) Answered(now time.Time, boot string, a Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.open(now, boot)
	r.remove(a.ID)
	r.unanswered = slices.DeleteFunc(r.unanswered, func(u unanswered) bool { return u.at.Before(a.Sent) })
	if r.endedAt.Before(a.Sent) {
		r.endedAt = time.Time{}
	}
}

// Dropped records that an attempt has ended without showing whether the boot runs.
func (t *Tracker) Dropped(now time.Time, boot string, a Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open(now, boot).remove(a.ID)
}

// Unanswered records that an attempt has ended without an answer. It returns true if
// the boot has ended, whose end is then blamed on the attempt.
func (t *Tracker) Unanswered(now time.Time, boot string, a Attempt) (blamed Blamed, ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.open(now, boot)
	wasInFlight := r.remove(a.ID)
	if r.ended(now) {
		return r.blame(a), wasInFlight && a.Sent.Before(r.endedAt)
	}
	if len(r.unanswered) >= maxAttempts {
		r.unanswered = slices.Delete(r.unanswered, 0, 1)
	}
	r.unanswered = append(r.unanswered, unanswered{Attempt: a, at: now})
	return Blamed{}, false
}

// BeginCheck reports whether the caller should check now if a boot still runs.
func (t *Tracker) BeginCheck(now time.Time, boot string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.open(now, boot)
	if !r.checkedAt.IsZero() && now.Sub(r.checkedAt) < checkInterval || r.ended(now) {
		return false
	}
	r.checkedAt = now
	return true
}

// Ended records that a boot has ended, and returns the attempts without an answer that
// may have caused it. Those still in flight are blamed by Unanswered, since a part of
// them may not have reached the boot.
func (t *Tracker) Ended(now time.Time, boot string) []Blamed {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.boots[boot]
	if r == nil || r.ended(now) {
		return nil
	}
	r.endedAt, r.usedAt, r.atEnd = now, now, nil
	r.unanswered = slices.DeleteFunc(r.unanswered, func(u unanswered) bool { return now.Sub(u.at) >= window })
	for _, a := range r.inFlight {
		r.atEnd = append(r.atEnd, a.Fingerprint)
	}
	for _, u := range r.unanswered {
		r.atEnd = append(r.atEnd, u.Fingerprint)
	}
	blamed := make([]Blamed, 0, len(r.unanswered))
	for _, u := range r.unanswered {
		blamed = append(blamed, r.blame(u.Attempt))
	}
	r.unanswered = nil
	return blamed
}

// ended reports whether the boot is known to have ended lately.
func (r *record) ended(now time.Time) bool { return !r.endedAt.IsZero() && now.Sub(r.endedAt) < window }

func (r *record) blame(a Attempt) Blamed {
	shared := slices.ContainsFunc(r.atEnd, func(fingerprint uint64) bool { return fingerprint != a.Fingerprint })
	return Blamed{Attempt: a, Shared: shared}
}

// open returns the record of a boot, and begins one if there is none.
func (t *Tracker) open(now time.Time, boot string) *record {
	r := t.boots[boot]
	if r == nil {
		if t.boots == nil {
			t.boots = map[string]*record{}
		}
		if len(t.boots) >= maxBoots {
			t.evict()
		}
		r = &record{}
		t.boots[boot] = r
	}
	r.usedAt = now
	return r
}

// evict drops the record that has not been used for the longest time.
func (t *Tracker) evict() {
	oldest := ""
	for boot, r := range t.boots {
		if oldest == "" || r.usedAt.Before(t.boots[oldest].usedAt) {
			oldest = boot
		}
	}
	delete(t.boots, oldest)
}

// remove drops an attempt that is no longer in flight, and reports whether it was.
func (r *record) remove(id uint64) bool {
	at := slices.IndexFunc(r.inFlight, func(a Attempt) bool { return a.ID == id })
	if at < 0 {
		return false
	}
	r.inFlight = slices.Delete(r.inFlight, at, at+1)
	return true
}
