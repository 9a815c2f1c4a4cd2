// Package roster holds the registrations of targets. It keeps the newest
// registration of each target, ordered by the revision of the store that wrote it.
// It also returns the changes after an older revision, so that daemons which do
// not read the store can follow those which do.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	r := roster.New()
//	changed := r.Apply(now, entries, revision)
//	delta := r.Since(now, peerRevision)
//	changed = r.Merge(now, delta)
//	for _, pool := range changed {
//		use(r.Pool(pool))
//	}
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

const (
	// recoveryGrace is how long after an outage of the store a registration that
	// lapsed during the outage may come back; the platform states about two seconds.
	recoveryGrace = 2 * time.Second
	// maxRemovals is the maximum number of removals kept for peers that lag behind.
	maxRemovals = 4096
)

// Entry is the registration of one target.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// ID identifies one incarnation of a target, unless two incarnations share it;
	// then Born tells them apart.
	ID         string
	Pool       string
	Address    string
	DataCentre string
	Slots      int
	Leaving    bool
	// Born is when the target started, in Unix milliseconds; zero means unknown.
	Born int64
	// Revision is the store's revision at which the registration was written or
	// removed.
	Revision int64
	// Gone is true for a registration that was removed.
	Gone bool
}

// Delta holds the changes after the revision Base. If Base is zero, it holds all
// registrations.
type Delta struct {
	Base     int64
	Revision int64
	Entries  []Entry
	// GraceMillis is how long removals are still deferred after an outage of the
	// store.
	GraceMillis int64
}

// pendingRemoval is a removal that was read during the grace period after an
// outage of the store. It takes effect at until.
type pendingRemoval struct {
	entry Entry
	until time.Time
}

// Roster holds the registrations. Its methods may be called from any goroutine.
type Roster struct {
	mu       mutex.Mutex
	revision int64
	entries  map[string]Entry
	// pools holds the IDs of each pool's entries, and centres the number of entries of
	// each data centre.
	pools   map[string]map[string]struct{}
	centres map[string]int
	// removals are past removals, oldest first. droppedRevision is the highest
	// revision among those that were dropped to stay within maxRemovals.
	removals        []Entry
	droppedRevision int64
	pending         map[string]pendingRemoval
	graceEnds       time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: map[string]Entry{}, centres: map[string]int{}, pools: map[string]map[string]struct{}{}, pending: map[string]pendingRemoval{}}
}

// Revision returns the store's revision up to which the roster is complete.
func (r *Roster) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// StoreRecovered records that the store answers again after an outage. Removals read
// within the grace period that starts now take effect at its end.
func (r *Roster) StoreRecovered(now time.Time) { r.extendGrace(now.Add(recoveryGrace)) }

func (r *Roster) extendGrace(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.graceEnds) {
		r.graceEnds = until
	}
}

// Apply adds changes read from the store, which are complete up to the revision,
// and returns the pools that changed.
func (r *Roster) Apply(now time.Time, changes []Entry, revision int64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var pools []string
	for i := range changes {
		pools = r.apply(now, &changes[i], pools)
	}
	r.revision = max(r.revision, revision)
	return pools
}

// Replace takes the complete list of registrations at a revision. It treats
// entries that the list lacks as removed by then, and returns the pools that
// changed.
func (r *Roster) Replace(now time.Time, list []Entry, revision int64) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var pools []string
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
		pools = r.apply(now, &list[i], pools)
	}
	for id, e := range r.entries {
		if !listed[id] && e.Revision <= revision {
			pools = r.apply(now, &Entry{ID: id, Revision: revision, Gone: true}, pools)
		}
	}
	r.revision = max(r.revision, revision)
	return pools
}

func (r *Roster) apply(now time.Time, e *Entry, pools []string) []string {
	if !e.Gone {
		return r.put(e, pools)
	}
	if now.Before(r.graceEnds) {
		if old, known := r.entries[e.ID]; known && old.Revision <= e.Revision {
			r.pending[e.ID] = pendingRemoval{entry: *e, until: r.graceEnds}
		}
		return pools
	}
	return r.remove(e, pools)
}

// Expire carries out the pending removals that are due, and returns the pools that
// changed.
func (r *Roster) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var pools []string
	for id, p := range r.pending {
		if now.Before(p.until) {
			continue
		}
		delete(r.pending, id)
		pools = r.remove(&p.entry, pools)
	}
	return pools
}

func (r *Roster) put(e *Entry, pools []string) []string {
	old, known := r.entries[e.ID]
	if known && old.Revision >= e.Revision || r.removedAfter(e) {
		return pools
	}
	delete(r.pending, e.ID)
	r.entries[e.ID] = *e
	if known {
		r.count(&old, -1)
	}
	r.count(e, 1)
	if known && old.Pool != e.Pool {
		r.unlist(&old)
		pools = append(pools, old.Pool)
	}
	ids := r.pools[e.Pool]
	if ids == nil {
		ids = map[string]struct{}{}
		r.pools[e.Pool] = ids
	}
	ids[e.ID] = struct{}{}
	return append(pools, e.Pool)
}

// unlist removes an entry from the list of its pool.
func (r *Roster) unlist(e *Entry) {
	ids := r.pools[e.Pool]
	delete(ids, e.ID)
	if len(ids) == 0 {
		delete(r.pools, e.Pool)
	}
}

func (r *Roster) removedAfter(e *Entry) bool {
	return slices.ContainsFunc(r.removals, func(removal Entry) bool { return removal.ID == e.ID && removal.Revision > e.Revision })
}

func (r *Roster) remove(e *Entry, pools []string) []string {
	old, known := r.entries[e.ID]
	if known && old.Revision > e.Revision {
		return pools
	}
	delete(r.entries, e.ID)
	delete(r.pending, e.ID)
	r.removals = slices.DeleteFunc(r.removals, func(removal Entry) bool { return removal.ID == e.ID })
	r.removals = append(r.removals, *e)
	if len(r.removals) > maxRemovals {
		r.droppedRevision = max(r.droppedRevision, r.removals[0].Revision)
		r.removals = slices.Delete(r.removals, 0, 1)
	}
	if !known {
		return pools
	}
	r.count(&old, -1)
	r.unlist(&old)
	return append(pools, old.Pool)
}

// count adds to the number of entries of the entry's data centre.
func (r *Roster) count(e *Entry, change int) {
	if r.centres[e.DataCentre] += change; r.centres[e.DataCentre] == 0 {
		delete(r.centres, e.DataCentre)
	}
}

// Since returns the changes that are missing from a roster complete up to the
// revision.
func (r *Roster) Since(now time.Time, revision int64) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < r.droppedRevision {
		revision = 0
	}
	d := Delta{Base: revision, Revision: r.revision, GraceMillis: max(0, r.graceEnds.Sub(now).Milliseconds())}
	for _, e := range r.entries {
		if e.Revision > revision {
			d.Entries = append(d.Entries, e)
		}
	}
	for _, p := range r.pending {
		if p.entry.Revision > revision {
			d.Entries = append(d.Entries, p.entry)
		}
	}
	for _, e := range r.removals {
		if revision > 0 && e.Revision > revision {
			d.Entries = append(d.Entries, e)
		}
	}
	slices.SortFunc(d.Entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return d
}

// Merge applies another daemon's delta and returns the pools that changed. It
// drops a delta that starts after this roster's revision, since that would leave a
// gap.
func (r *Roster) Merge(now time.Time, d Delta) []string {
	if d.GraceMillis > 0 {
		r.extendGrace(now.Add(min(time.Duration(d.GraceMillis)*time.Millisecond, recoveryGrace)))
	}
	switch {
	case d.Revision <= r.Revision():
		return nil
	case d.Base == 0:
		return r.Replace(now, d.Entries, d.Revision)
	case d.Base > r.Revision():
		return nil
	}
	return r.Apply(now, d.Entries, d.Revision)
}

// Pool returns the registrations of one pool, sorted by ID.
func (r *Roster) Pool(name string) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := r.pools[name]
	entries := make([]Entry, 0, len(ids))
	for id := range ids {
		entries = append(entries, r.entries[id])
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// Centres returns the number of registrations in each data centre.
func (r *Roster) Centres() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.centres)
}

// Len returns the number of registrations.
func (r *Roster) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}
