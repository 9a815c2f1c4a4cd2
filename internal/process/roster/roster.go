// Package roster holds the registrations of targets. It keeps the newest
// registration of each target, ordered by the stamp of the store that wrote it.
// It also returns the changes after an earlier stamp, so that daemons which do
// not read the store can follow those which do.
//
// A store that was put back to an older copy holds registrations that are out of date,
// until targets have written theirs again. What the roster knows from the earlier era then
// stays in force for a while: a target that has left stays away, and one that the
// copy lacks stays.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	r := roster.New()
//	changed := r.Apply(now, entries, stamp)
//	delta := r.Since(now, peerStamp)
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
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

const (
	// recoveryGrace is how long after an outage of the store a registration that
	// lapsed during the outage may come back; the platform states about two seconds.
	recoveryGrace = 2 * time.Second
	// copyGrace is how long a registration that the store has from an older copy does not
	// replace what is known to be newer. By then a target that lives has written its
	// registration again, and the store has removed those of others.
	copyGrace = 10 * time.Second
	// maxRemovals is the maximum number of removals kept for peers that lag behind.
	maxRemovals = 4096
	// maxGaps is the maximum number of gaps kept. Peers lag behind by seconds.
	maxGaps = 16
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
	// removed, in the era Era.
	Revision int64
	Era      int64
	// Gone is true for a registration that was removed.
	Gone bool
}

// Stamp orders the registration among others of the same ID.
func (e *Entry) Stamp() stamp.Stamp { return stamp.Stamp{Era: e.Era, Revision: e.Revision} }

// Delta holds the changes after the stamp Base. If Base is zero, it holds all
// registrations.
type Delta struct {
	Base    stamp.Stamp
	Stamp   stamp.Stamp
	Entries []Entry
	// Skipped is the end of the last gap after Base, which the receiver has as well; zero
	// if there is none.
	Skipped stamp.Stamp
	// GraceMillis is how long removals are still deferred after an outage of the
	// store.
	GraceMillis int64
}

// pendingRemoval is a removal that was read during the grace period after an
// outage of the store. It takes effect at until, the end of the first such period.
type pendingRemoval struct {
	entry Entry
	until time.Time
}

// Roster holds the registrations. Its methods may be called from any goroutine.
type Roster struct {
	mu      mutex.Mutex
	stamp   stamp.Stamp
	entries map[string]Entry
	// pools holds the IDs of each pool's entries, and centres the number of entries of
	// each data centre.
	pools   map[string]map[string]struct{}
	centres map[string]int
	// removals are past removals, oldest first, each with the start of the target that was
	// removed. dropped is the latest stamp among those that were dropped to stay
	// within maxRemovals.
	removals  []Entry
	dropped   stamp.Stamp
	pending   map[string]pendingRemoval
	graceEnds time.Time
	// gaps are the latest ranges whose changes were not read one by one, oldest first. A target may have
	// been registered and removed in between, so that neither is known.
	gaps []gap
	// held are registrations from an older copy of the store that contradict what is
	// known.
	held map[string]heldEntry
}

// gap is a range of stamps, without its ends.
type gap struct{ after, before stamp.Stamp }

// heldEntry is a registration that counts from a time on, if the store still has it.
type heldEntry struct {
	entry Entry
	until time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		entries: map[string]Entry{}, centres: map[string]int{}, pools: map[string]map[string]struct{}{},
		pending: map[string]pendingRemoval{}, held: map[string]heldEntry{},
	}
}

// Stamp returns the stamp of the store up to which the roster is complete.
func (r *Roster) Stamp() stamp.Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stamp
}

// StoreRecovered records that the store answers again after an outage. Removals read
// within the grace period that starts now take effect at its end.
func (r *Roster) StoreRecovered(now time.Time) { r.extendGrace(now.Add(recoveryGrace)) }

func (r *Roster) extendGrace(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extendGraceLocked(until)
}

func (r *Roster) extendGraceLocked(until time.Time) {
	if until.After(r.graceEnds) {
		r.graceEnds = until
	}
}

// Apply adds changes read from the store, which are complete up to the stamp, and
// returns the pools that changed. If they are of an earlier era, it does nothing.
func (r *Roster) Apply(now time.Time, changes []Entry, complete stamp.Stamp) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if complete.Era < r.stamp.Era {
		return nil
	}
	var pools []string
	for i := range changes {
		pools = r.apply(now, &changes[i], pools)
	}
	r.stamp = r.stamp.Max(complete)
	return pools
}

// Replace takes the complete list of registrations at a stamp. It treats entries that
// the list lacks as removed by then, and returns the pools that changed. If the list is
// of an earlier era, it does nothing.
func (r *Roster) Replace(now time.Time, list []Entry, complete stamp.Stamp) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if complete.Era < r.stamp.Era {
		return nil
	}
	if complete.Era > r.stamp.Era && len(r.entries) > 0 {
		r.extendGraceLocked(now.Add(recoveryGrace))
	}
	var pools []string
	listed, gone, held := make(map[string]bool, len(list)), map[string]bool{}, map[string]bool{}
	for i := range list {
		e := &list[i]
		listed[e.ID] = true
		switch {
		case e.Gone && e.Era < complete.Era:
			// A peer knows of the removal from an earlier era. It has waited as long as it had to.
			gone[e.ID] = true
			pools = r.remove(e, pools)
		case e.Gone:
			gone[e.ID] = true
			pools = r.apply(now, e, pools)
		case r.hold(now, e):
			held[e.ID] = r.held[e.ID].entry == *e
		default:
			pools = r.apply(now, e, pools)
		}
	}
	for id, e := range r.entries {
		if !listed[id] && !e.Stamp().After(complete) {
			pools = r.apply(now, &Entry{ID: id, Revision: complete.Revision, Era: complete.Era, Gone: true}, pools)
		}
	}
	pools = r.endHeld(held, complete, pools)
	for id, p := range r.pending {
		if listed[id] && !gone[id] && !p.entry.Stamp().After(complete) {
			delete(r.pending, id)
		}
	}
	r.skip(complete)
	r.stamp = r.stamp.Max(complete)
	return pools
}

// endHeld ends the registrations that a list no longer holds back. A removal tells peers that
// hold them too.
func (r *Roster) endHeld(still map[string]bool, complete stamp.Stamp, pools []string) []string {
	for id, h := range r.held {
		if still[id] || h.entry.Stamp().After(complete) {
			continue
		}
		delete(r.held, id)
		if _, registered := r.entries[id]; !registered {
			pools = r.remove(&Entry{ID: id, Revision: complete.Revision, Era: complete.Era, Gone: true}, pools)
		}
	}
	return pools
}

// skip records that the roster takes the state at a stamp without the changes before it.
func (r *Roster) skip(to stamp.Stamp) {
	if !to.After(r.stamp) {
		return
	}
	if to.Era > r.stamp.Era {
		r.dropped = r.dropped.Max(to)
		return
	}
	r.gaps = append(r.gaps, gap{after: r.stamp, before: to})
	if len(r.gaps) > maxGaps {
		r.dropped = r.dropped.Max(r.gaps[0].before)
		r.gaps = slices.Delete(r.gaps, 0, 1)
	}
}

// lastGapAfter returns the end of the last gap that ends after the stamp, or zero.
func (r *Roster) lastGapAfter(at stamp.Stamp) stamp.Stamp {
	if len(r.gaps) == 0 {
		return stamp.Stamp{}
	}
	if last := r.gaps[len(r.gaps)-1].before; last.After(at) {
		return last
	}
	return stamp.Stamp{}
}

// inGap reports whether changes after the stamp are not known.
func (r *Roster) inGap(at stamp.Stamp) bool {
	return slices.ContainsFunc(r.gaps, func(g gap) bool { return at.After(g.after) && g.before.After(at) })
}

// hold reports whether a registration in a list may be from an older copy of the store and
// contradicts newer knowledge of an earlier era. It then counts from the end of copyGrace on.
func (r *Roster) hold(now time.Time, e *Entry) bool {
	known, registered := r.entries[e.ID]
	if !registered {
		i := slices.IndexFunc(r.removals, func(removal Entry) bool { return removal.ID == e.ID })
		if i < 0 {
			return false
		}
		known = r.removals[i]
	}
	if e.Era <= known.Era {
		return false
	}
	// A process that leaves does not become ready again, at whatever revision.
	leaves := registered && known.Leaving && !e.Leaving && e.Born == known.Born
	// A revision above the one that is known was given out in the later era, unless the copy is
	// from before the known one.
	if e.Revision > known.Revision && (!leaves || e.Born == 0) {
		return false
	}
	same := *e
	same.Era, same.Revision = known.Era, known.Revision
	if registered && same == known {
		if r.removedAfter(e) {
			return true
		}
		// Peers that lack it find it by its new stamp.
		r.entries[e.ID] = *e
		delete(r.pending, e.ID)
		delete(r.held, e.ID)
		return true
	}
	if e.Born > known.Born || e.Born == known.Born && registered && !leaves {
		return false
	}
	h, held := r.held[e.ID]
	if !held || h.entry.Era < e.Era {
		h.until = now.Add(copyGrace)
	}
	h.entry = *e
	r.held[e.ID] = h
	return true
}

func (r *Roster) apply(now time.Time, e *Entry, pools []string) []string {
	if !e.Gone {
		return r.put(e, pools)
	}
	old, known := r.entries[e.ID]
	p, deferred := r.pending[e.ID]
	deferred = deferred && p.entry.Era == e.Era
	if !known || !deferred && !now.Before(r.graceEnds) {
		return r.remove(e, pools)
	}
	if !old.Stamp().After(e.Stamp()) {
		delete(r.held, e.ID)
		until := r.graceEnds
		if deferred {
			// This daemon alone may have lost the store meanwhile, or the answer is a late one.
			until = p.until
		}
		r.pending[e.ID] = pendingRemoval{entry: *e, until: until}
	}
	return pools
}

// Expire carries out the pending removals that are due and takes the held registrations
// whose time is up, and returns the pools that changed. Confirmed is the time since the store
// confirmed the state, or negative if it has not: without an answer from after the end of that time, nobody knows
// whether a target has come back.
func (r *Roster) Expire(now time.Time, confirmed time.Duration) []string {
	if confirmed < 0 {
		return nil
	}
	known := now.Add(-confirmed)
	r.mu.Lock()
	defer r.mu.Unlock()
	var pools []string
	for id, p := range r.pending {
		if known.Before(p.until) {
			continue
		}
		delete(r.pending, id)
		pools = r.remove(&p.entry, pools)
	}
	for id, h := range r.held {
		// In an outage nobody could remove it from the store.
		if !known.Before(h.until) && !known.Before(r.graceEnds) {
			delete(r.held, id)
			pools = r.put(&h.entry, pools)
		}
	}
	return pools
}

// Due returns the earliest time at which Expire has something to do; zero if nothing waits.
func (r *Roster) Due() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := time.Time{}
	add := func(until time.Time) {
		if due.IsZero() || until.Before(due) {
			due = until
		}
	}
	for _, p := range r.pending {
		add(p.until)
	}
	for _, h := range r.held {
		add(h.until)
	}
	return due
}

func (r *Roster) put(e *Entry, pools []string) []string {
	old, known := r.entries[e.ID]
	if known && !e.Stamp().After(old.Stamp()) || r.removedAfter(e) {
		return pools
	}
	delete(r.pending, e.ID)
	delete(r.held, e.ID)
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

// removedAfter reports whether a removal is known, in force or not, that is later than the
// registration.
func (r *Roster) removedAfter(e *Entry) bool {
	if p, waits := r.pending[e.ID]; waits && p.entry.Stamp().After(e.Stamp()) {
		return true
	}
	return slices.ContainsFunc(r.removals, func(removal Entry) bool { return removal.ID == e.ID && removal.Stamp().After(e.Stamp()) })
}

func (r *Roster) remove(e *Entry, pools []string) []string {
	old, known := r.entries[e.ID]
	if known && old.Stamp().After(e.Stamp()) {
		return pools
	}
	removal := *e
	if known {
		removal.Born = old.Born
	}
	delete(r.entries, e.ID)
	delete(r.pending, e.ID)
	delete(r.held, e.ID)
	r.removals = slices.DeleteFunc(r.removals, func(earlier Entry) bool {
		if earlier.ID == e.ID && removal.Born == 0 {
			removal.Born = earlier.Born
		}
		return earlier.ID == e.ID
	})
	r.removals = append(r.removals, removal)
	if len(r.removals) > maxRemovals {
		r.dropped = r.dropped.Max(r.removals[0].Stamp())
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

// Since returns the changes that are missing from a roster complete up to the stamp. For
// a roster of another era these are all registrations.
func (r *Roster) Since(now time.Time, base stamp.Stamp) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	if base.Era != r.stamp.Era || r.dropped.After(base) || r.inGap(base) {
		base = stamp.Stamp{}
	}
	d := Delta{Base: base, Stamp: r.stamp, Skipped: r.lastGapAfter(base), GraceMillis: max(0, r.graceEnds.Sub(now).Milliseconds())}
	add := func(e *Entry) {
		if e.Stamp().After(base) {
			d.Entries = append(d.Entries, *e)
		}
	}
	for _, e := range r.entries {
		add(&e)
	}
	for _, h := range r.held {
		add(&h.entry)
	}
	for _, p := range r.pending {
		add(&p.entry)
	}
	for i := range r.removals {
		// A daemon that starts learns from these that a held registration does not count.
		if _, held := r.held[r.removals[i].ID]; held || base != (stamp.Stamp{}) {
			add(&r.removals[i])
		}
	}
	slices.SortFunc(d.Entries, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.ID, b.ID), a.Stamp().Compare(b.Stamp())) })
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
	case !d.Stamp.After(r.Stamp()):
		return nil
	case d.Base == stamp.Stamp{}:
		return r.Replace(now, d.Entries, d.Stamp)
	case d.Base.After(r.Stamp()) || d.Base.Era != r.Stamp().Era:
		return nil
	}
	r.mu.Lock()
	r.skip(d.Skipped)
	r.mu.Unlock()
	return r.Apply(now, d.Entries, d.Stamp)
}

// Withheld returns what is known from an earlier era of the targets whose registrations are
// held: that they leave, are gone, or have been restarted.
func (r *Roster) Withheld() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var known []Entry
	for id := range r.held {
		if e, registered := r.entries[id]; registered {
			known = append(known, e)
		}
	}
	for i := range r.removals {
		if _, held := r.held[r.removals[i].ID]; held {
			known = append(known, r.removals[i])
		}
	}
	return known
}

// Withhold takes what another daemon knows from an earlier era, for a daemon that has started
// and has read a copy of the store. It holds its own registrations that contradict it, and returns
// the pools that changed.
func (r *Roster) Withhold(now time.Time, known []Entry) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var pools []string
	for i := range known {
		k := &known[i]
		e, registered := r.entries[k.ID]
		if !registered || e.Era <= k.Era {
			continue
		}
		delete(r.entries, k.ID)
		r.count(&e, -1)
		r.unlist(&e)
		if k.Gone {
			pools = r.remove(k, pools)
		} else {
			pools = r.put(k, pools)
		}
		if !r.hold(now, &e) {
			pools = r.put(&e, pools)
		}
		pools = append(pools, e.Pool)
	}
	return pools
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
