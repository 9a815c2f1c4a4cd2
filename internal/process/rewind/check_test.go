package rewind

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
)

// copyGrace is how long a registration from a copy does not count against newer knowledge.
const copyGrace = 10 * time.Second

// readTime is the time in which a daemon reads a change from the store.
const readTime = 500 * time.Millisecond

// check collects what breaks the rules.
type check struct {
	world *world
	bound time.Duration

	mu     sync.Mutex
	faults []string
	kinds  map[string]int
	began  time.Time
}

func (c *check) fault(kind, format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kinds[kind]++; c.kinds[kind] <= 3 {
		c.faults = append(c.faults, fmt.Sprintf("%v %s: ", time.Since(c.began), kind)+fmt.Sprintf(format, values...))
	}
}

// settings checks the settings that have come into force on a daemon.
func (c *check) settings(d *daemon) {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := d.keeper.Current().Change.Number
	if number < d.number {
		c.fault("settings went back", "%s from %d to %d", d.name, d.number, number)
	}
	d.number = number
}

// registrations checks the pools that have changed on a daemon.
func (c *check) registrations(d *daemon, changed []string) {
	said := c.world.said()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pool := range changed {
		listed := map[string]roster.Entry{}
		for _, e := range d.roster.Pool(pool) {
			listed[e.ID] = e
		}
		for id, t := range said {
			if t.pool == pool {
				e, present := listed[id]
				c.registration(d, &t, e, present)
			}
		}
	}
}

// registration checks one target in a roster that has changed.
func (c *check) registration(d *daemon, t *target, e roster.Entry, present bool) {
	ready := present && !e.Leaving
	if ready && e.Born <= t.leftBorn && d.left[t.id] >= e.Born && time.Since(c.world.lastReturn()) < copyGrace {
		c.fault("target came back", "%s process %d, which left %v ago, on %s", t.id, e.Born, time.Since(t.leftAt), d.name)
	}
	if !ready && t.leftBorn > d.left[t.id] && d.seen[t.id] >= t.leftBorn && (!present || e.Born == t.leftBorn) {
		d.left[t.id] = t.leftBorn
	}
	lives := t.alive && t.written && !t.leaving
	if lives && d.seen[t.id] == t.born && (!ready || e.Born < t.born) {
		c.fault("target is missing", "%s process %d on %s: present %t, process %d, leaving %t; returned %v ago", t.id, t.born, d.name, present, e.Born, e.Leaving, time.Since(c.world.lastReturn()))
	}
	if present {
		d.seen[t.id] = max(d.seen[t.id], e.Born)
	}
}

// deadline returns the time from which a target that left or died is ready nowhere, and the start of
// the last such process.
func (c *check) deadline(t *target) (by time.Time, born int64) {
	if t.leftBorn == 0 {
		return time.Time{}, 0
	}
	by = t.leftAt.Add(c.bound)
	if t.leftSilently {
		by = by.Add(targetTTL)
	}
	// What the store has confirmed right before an outage, or between two, may have reached nobody.
	away, returned := c.world.outage()
	if !away.IsZero() && (t.leftSilently && by.After(away) || t.leftAt.After(away.Add(-readTime)) && t.leftAt.Before(returned)) {
		by = latest(by, returned.Add(rewriteTime+c.bound))
	}
	return by, t.leftBorn
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (w *world) lastReturn() time.Time {
	_, returned := w.outage()
	return returned
}

// outage returns when the store first went away, and when it last returned, or the present time if it has not.
func (w *world) outage() (away, returned time.Time) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	if w.store.away {
		return w.store.awaySince, time.Now()
	}
	return w.store.awaySince, w.store.returned
}

// deadlines checks what has to be in force at all daemons by now.
func (c *check) deadlines(daemons []*daemon) {
	now := time.Now()
	number := c.world.due(now)
	said := c.world.said()
	for _, d := range daemons {
		if now.Sub(d.started) < c.bound {
			continue
		}
		if inForce := d.keeper.Current().Change.Number; inForce < number {
			c.fault("settings are late", "%s has %d, not %d; returned %v ago", d.name, inForce, number, now.Sub(c.world.lastReturn()))
		}
		for pool := range pools {
			for _, e := range d.roster.Pool(fmt.Sprint("p", pool)) {
				t := said[e.ID]
				if by, born := c.deadline(&t); !e.Leaving && e.Born <= born && now.After(by) {
					c.fault("target is ready", "%s process %d on %s, left %v ago, returned %v ago", e.ID, e.Born, d.name, now.Sub(t.leftAt), now.Sub(c.world.lastReturn()))
				}
			}
		}
	}
}

// recovered checks that a daemon is registered in the store.
func (c *check) recovered(s *store, daemons []*daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range daemons {
		i, found := s.items[membersPrefix+d.name]
		if l, valid := s.leases[i.lease]; !found || !valid || l.owner != d.name {
			c.fault("daemon is not registered", "%s: record %t, lease %d valid %t of %q", d.name, found, i.lease, valid, l.owner)
		}
	}
}

// converged checks that all daemons have what the store holds, and know each other.
func (c *check) converged(s *store, daemons []*daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var want []roster.Entry
	for _, i := range s.items {
		if e, isTarget := i.value.(roster.Entry); isTarget {
			want = append(want, e)
		}
	}
	for _, d := range daemons {
		var entries []roster.Entry
		for pool := range pools {
			entries = append(entries, d.roster.Pool(fmt.Sprint("p", pool))...)
		}
		if extra, missing := without(entries, want), without(want, entries); len(extra)+len(missing) > 0 {
			c.fault("roster differs", "%s at %v has%s and lacks%s; the store is at %d", d.name, d.roster.Stamp(), describe(extra), describe(missing), s.revision)
		}
		if live := d.table.Live(); live != len(daemons) {
			c.fault("daemon is silent", "%s knows %d of %d", d.name, live, len(daemons))
		}
	}
}

// without returns the entries that others lacks.
func without(entries, others []roster.Entry) []roster.Entry {
	var found []roster.Entry
	for _, e := range entries {
		if !slices.ContainsFunc(others, func(o roster.Entry) bool { return o.ID == e.ID && o.Born == e.Born && o.Leaving == e.Leaving }) {
			found = append(found, e)
		}
	}
	return found
}

// rates returns the highest numbers of calls in any second that begins in the given time.
func (s *store) rates(from, to time.Time) (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at := from.Truncate(bucket); at.Before(to); at = at.Add(bucket) {
		second := calls{}
		for within := time.Duration(0); within < time.Second; within += bucket {
			if n := s.counts[at.Add(within)]; n != nil {
				second.reads += n.reads
				second.writes += n.writes
			}
		}
		reads, writes = max(reads, second.reads), max(writes, second.writes)
	}
	return reads, writes
}
