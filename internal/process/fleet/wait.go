package fleet

import "time"

// waiter is a request that waits for room at any replica of a shard.
type waiter struct {
	priority int
	wake     func(shard int)
	done     bool
}

// Wait asks for one call of wake when room may have come free at a replica of
// the shard; lower priorities are woken first. Room that came since the pick
// that found none wakes at once. The returned function gives up.
func (f *Fleet) Wait(now time.Time, q Query, priority int, wake func(shard int)) (cancel func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	shard := q.Shard
	if f.choose(now, q).Verdict != Busy {
		wake(shard)
		return func() {}
	}
	w := &waiter{priority: priority, wake: wake}
	queue := f.waiters[shard]
	at := len(queue)
	for at > 0 && queue[at-1].priority > priority {
		at--
	}
	queue = append(queue, nil)
	copy(queue[at+1:], queue[at:])
	queue[at] = w
	f.waiters[shard] = queue
	return func() { f.cancelWait(shard, w) }
}

func (f *Fleet) cancelWait(shard int, w *waiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.done {
		return
	}
	queue := f.waiters[shard]
	for i := range queue {
		if queue[i] == w {
			f.setQueue(shard, append(queue[:i], queue[i+1:]...))
			return
		}
	}
}

// wake wakes the first waiter of the shard that just finished and of the other
// shards that its target holds.
func (f *Fleet) wake(t *Target, shard int) {
	if len(f.waiters) == 0 {
		return
	}
	if f.wakeOne(shard) {
		return
	}
	for i := range t.indexes {
		for _, other := range t.indexes[i].Shards {
			if f.wakeOne(other) {
				return
			}
		}
	}
}

func (f *Fleet) wakeAll(t *Target) {
	if len(f.waiters) == 0 {
		return
	}
	for i := range t.indexes {
		for _, shard := range t.indexes[i].Shards {
			f.wakeOne(shard)
		}
	}
}

func (f *Fleet) wakeOne(shard int) bool {
	queue := f.waiters[shard]
	if len(queue) == 0 {
		return false
	}
	w := queue[0]
	w.done = true
	f.setQueue(shard, queue[1:])
	w.wake(shard)
	return true
}

func (f *Fleet) setQueue(shard int, queue []*waiter) {
	if len(queue) == 0 {
		delete(f.waiters, shard)
		return
	}
	f.waiters[shard] = queue
}
