package fleet

import "time"

// waiter is a request that waits until any replica of a shard has room.
type waiter struct {
	priority int
	wake     func(shard int)
	done     bool
}

// Wait registers wake to be called once when a replica of the shard may have
// room. Waiters with a lower priority value are woken first. If a replica has
// got room since the Pick that returned Busy, wake is called at once. The
// returned function cancels the wait; a call of wake that is under way may still follow.
func (f *Fleet) Wait(now time.Time, q Query, priority int, wake func(shard int)) (cancel func()) {
	shard := q.Shard
	w := &waiter{priority: priority, wake: wake}
	f.mu.Lock()
	defer f.calls.Unlock(&f.mu)
	if f.choose(now, q).Verdict != Busy {
		f.calls.Add(func() { wake(shard) })
		return func() {}
	}
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
	defer f.calls.Unlock(&f.mu)
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

// wake wakes one waiter: the first of the given shard, or else the first of
// another shard that the target holds.
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
	f.calls.Add(func() { w.wake(shard) })
	return true
}

// wakeShard wakes all waiters of a shard.
func (f *Fleet) wakeShard(shard int) {
	for f.wakeOne(shard) {
	}
}

func (f *Fleet) setQueue(shard int, queue []*waiter) {
	if len(queue) == 0 {
		delete(f.waiters, shard)
		return
	}
	f.waiters[shard] = queue
}
