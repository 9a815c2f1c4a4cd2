package rewind

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/process/sleep"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

const (
	pools = 4
	// targetTTL and renewInterval are those of the leases of targets.
	targetTTL     = 3 * time.Second
	renewInterval = time.Second
	// rewriteTime is the time in which the operator and the targets write theirs again.
	rewriteTime = 2 * time.Second
	worldTick   = 50 * time.Millisecond
)

// target is a target, with what it says of itself. born rises with each process.
type target struct {
	id      string
	pool    string
	born    int64
	leaving bool
	// alive is false if there is no process. removes is when a target that leaves removes its
	// registration and ends, and restarts when it starts anew; zero for never.
	alive             bool
	removes, restarts time.Time

	// confirmed is when the store has confirmed what the target last said, and since when the
	// process that left or died last did so, by its start in leftBorn.
	confirmed, leftAt time.Time
	leftBorn          int64
	// leftSilently is true if that process has said nothing of it.
	written, leftSilently bool
	lease, era            int64
	next, rewrites        time.Time
}

// promise is what has to be in force at all daemons by a time.
type promise struct {
	number int64
	by     time.Time
}

// world is the operator and the targets.
type world struct {
	store  *store
	random *rand.Rand
	// rewriteAll makes targets write what the copy holds as well.
	rewriteAll bool
	bound      time.Duration

	mu      sync.Mutex
	targets []*target
	// number is the last one that was confirmed, and era that in which the operator last wrote.
	number, era int64
	rewrites    time.Time
	promises    []promise
	events      int
}

func newWorld(s *store, random *rand.Rand, targets int, bound time.Duration) *world {
	w := &world{store: s, random: random, rewriteAll: random.IntN(2) == 0, bound: bound, era: s.era}
	for range targets {
		w.add()
	}
	w.change()
	w.keepTargets(time.Now())
	return w
}

func (w *world) add() {
	n := len(w.targets)
	w.targets = append(w.targets, &target{id: fmt.Sprintf("t%03d", n), pool: fmt.Sprint("p", n%pools), born: 1, alive: true, era: w.store.era})
}

// change writes a change of the settings.
func (w *world) change() {
	w.number += 1 + w.random.Int64N(3)
	w.writeSettings()
}

func (w *world) writeSettings() {
	files := tree.Files{"firm.ini": fmt.Sprintf("[Cost]\nQueueLength = %d\n", 1+w.number%90)}
	w.store.put(configKey, epoch.Change{Number: w.number, Files: files}, 0)
	w.promises = append(w.promises, promise{w.number, time.Now().Add(w.bound)})
	w.events++
}

// run plays the operator and the targets, with a random event at random intervals while busy returns true.
func (w *world) run(ctx context.Context, busy func(now time.Time) bool) {
	next := time.Now()
	for sleep.For(ctx, worldTick) {
		now := time.Now()
		w.store.expire()
		w.store.mu.Lock()
		w.mu.Lock()
		w.keepTargets(now)
		if !w.store.away {
			w.keepSettings(now)
		}
		if busy(now) && !now.Before(next) {
			next = now.Add(time.Duration(w.random.IntN(600)) * time.Millisecond)
			w.event(now)
		}
		w.mu.Unlock()
		w.store.mu.Unlock()
	}
}

// keepSettings writes the settings again if the store has lost them.
func (w *world) keepSettings(now time.Time) {
	if w.era != w.store.era {
		w.era = w.store.era
		w.rewrites = now.Add(time.Duration(w.random.Int64N(int64(rewriteTime - worldTick))))
		w.promises = nil
	}
	if w.rewrites.IsZero() || now.Before(w.rewrites) {
		return
	}
	w.rewrites = time.Time{}
	if i, found := w.store.items[configKey]; !found || i.value.(epoch.Change).Number < w.number {
		w.writeSettings()
	} else {
		w.promises = append(w.promises, promise{w.number, now.Add(w.bound)})
	}
}

// keepTargets lets each target renew its lease, and say what it has not said in this era.
func (w *world) keepTargets(now time.Time) {
	for _, t := range w.targets {
		if !t.alive {
			if !t.restarts.IsZero() && !now.Before(t.restarts) {
				t.born, t.alive, t.leaving, t.written, t.lease, t.next = t.born+1, true, false, false, 0, now
				t.removes, t.restarts = time.Time{}, time.Time{}
			} else {
				continue
			}
		}
		if w.store.away {
			continue
		}
		if t.era != w.store.era {
			t.era = w.store.era
			t.rewrites = now.Add(time.Duration(w.random.Int64N(int64(rewriteTime - worldTick))))
			t.next = t.rewrites
		}
		if now.Before(t.next) {
			continue
		}
		t.next = now.Add(renewInterval)
		key := targetsPrefix + t.id
		if !t.removes.IsZero() && !now.Before(t.removes) {
			w.store.put(key, nil, 0)
			w.end(t, now)
			continue
		}
		said := roster.Entry{ID: t.id, Pool: t.pool, Address: "10.0.0.1:80", Slots: 1, Leaving: t.leaving, Born: t.born}
		again := !t.rewrites.IsZero() && w.rewriteAll
		t.rewrites = time.Time{}
		if l, found := w.store.leases[t.lease]; !found || l.owner != t.id || !w.store.renew(t.lease) {
			t.lease = w.store.grant(t.id, targetTTL)
		}
		if i := w.store.items[key]; again || i.value != any(said) || i.lease != t.lease {
			w.store.put(key, said, t.lease)
		}
		if !t.written {
			t.written, t.confirmed = true, now
			if t.leaving {
				t.leftAt, t.leftBorn, t.leftSilently = now, t.born, false
			}
		}
	}
}

// end ends a target's process.
func (w *world) end(t *target, now time.Time) {
	if t.leftBorn < t.born {
		t.leftAt, t.leftBorn, t.leftSilently = now, t.born, true
	}
	t.alive, t.confirmed = false, now
}

// event lets something happen to the settings or to a target.
func (w *world) event(now time.Time) {
	w.events++
	t := w.targets[w.random.IntN(len(w.targets))]
	wait := func(most time.Duration) time.Time { return now.Add(time.Duration(w.random.Int64N(int64(most)))) }
	restart := func() {
		if w.random.IntN(2) == 0 {
			t.restarts = wait(3 * time.Second)
		}
	}
	switch kind := w.random.IntN(8); {
	case kind < 2 && !w.store.away && w.era == w.store.era && w.rewrites.IsZero():
		w.change()
	case kind < 3:
		w.add()
		w.targets[len(w.targets)-1].era = w.store.era
	case kind < 6 && t.alive && t.written && !t.leaving:
		t.leaving, t.written, t.next = true, false, now
		if w.random.IntN(3) > 0 {
			t.removes = wait(4 * time.Second)
			restart()
		}
	case kind < 8 && t.alive && t.written:
		w.end(t, now)
		restart()
	}
}

// said returns the targets with what they have said, by ID.
func (w *world) said() map[string]target {
	w.mu.Lock()
	defer w.mu.Unlock()
	said := make(map[string]target, len(w.targets))
	for _, t := range w.targets {
		said[t.id] = *t
	}
	return said
}

// due returns the highest number that has to be in force at a time.
func (w *world) due(now time.Time) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	number := int64(0)
	w.promises = slices.DeleteFunc(w.promises, func(p promise) bool {
		if now.Before(p.by) {
			return false
		}
		number = max(number, p.number)
		return true
	})
	return number
}
