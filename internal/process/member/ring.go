package member

import (
	"cmp"
	"slices"
	"time"
)

// refresh sorts the ring of daemons that answer.
func (t *Table) refresh() {
	if !t.dirty {
		return
	}
	t.dirty = false
	watched := map[*entry]bool{}
	for _, e := range t.predecessors() {
		watched[e] = true
	}
	t.ring = t.ring[:0]
	for _, e := range t.members {
		if e.State < Silent || e == t.self {
			t.ring = append(t.ring, e)
		}
	}
	slices.SortFunc(t.ring, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	})
	for _, e := range t.predecessors() {
		if !watched[e] {
			e.watched = time.Time{}
		}
	}
}

// successors are the next few on the ring.
func (t *Table) successors() []*entry { return t.around(1) }

// predecessors are the few before on the ring, which this daemon watches.
func (t *Table) predecessors() []*entry { return t.around(-1) }

func (t *Table) around(step int) []*entry {
	count := len(t.ring)
	at := slices.Index(t.ring, t.self)
	if at < 0 {
		return nil
	}
	var found []*entry
	for i := 1; i <= degree && i < count; i++ {
		found = append(found, t.ring[((at+step*i)%count+count)%count])
	}
	return found
}

// Neighbours returns the daemons to send a heartbeat to: the next few on the
// ring; a random one when there is news, and now and then without; and one
// that is silent, so that the halves of a cut network find each other again.
func (t *Table) Neighbours(now time.Time, news bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	chosen := t.successors()
	if t.rounds++; news || t.rounds%randomEvery == 0 {
		if e := t.randomNeighbour(now); e != nil && !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	if e := t.randomSilent(); e != nil {
		chosen = append(chosen, e)
	}
	found := make([]Member, 0, len(chosen))
	for _, e := range chosen {
		found = append(found, t.export(now, e))
	}
	return found
}

// randomNeighbour is one member of the ring, another every half minute.
func (t *Table) randomNeighbour(now time.Time) *entry {
	e := t.members[t.stranger]
	if e == nil || e.State >= Silent || now.Sub(t.strangerAt) > strangerFor {
		e = t.ring[t.random.IntN(len(t.ring))]
		t.stranger, t.strangerAt = e.Name, now
	}
	if e == t.self {
		return nil
	}
	return e
}

func (t *Table) randomSilent() *entry {
	var silent []*entry
	for _, e := range t.members {
		if e.State == Silent {
			silent = append(silent, e)
		}
	}
	if len(silent) == 0 {
		return nil
	}
	slices.SortFunc(silent, func(a, b *entry) int { return cmp.Compare(a.hash, b.hash) })
	return silent[t.random.IntN(len(silent))]
}

// Near returns at most so many other daemons of the own region that serve, in
// random order.
func (t *Table) Near(now time.Time, most int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.some(now, most, func(e *entry) bool { return e.Region == t.self.Region })
}

// Any returns at most so many other daemons that serve, in random order.
func (t *Table) Any(now time.Time, most int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.some(now, most, func(*entry) bool { return true })
}

func (t *Table) some(now time.Time, most int, matches func(e *entry) bool) []Member {
	var found []Member
	for _, e := range t.members {
		if e != t.self && e.State <= Leaving && matches(e) {
			found = append(found, t.export(now, e))
		}
	}
	slices.SortFunc(found, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	t.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(len(found), most)]
}
