// Package calls defers calls of functions from outside a package until the caller has
// released its lock. Such a function may then use the package that calls it, and take any
// lock, also one that is held elsewhere while that package is called.
//
// # Usage
//
//	type Fleet struct {
//		mu    mutex.Mutex
//		calls calls.Queue // guarded by mu
//	}
//
//	func (f *Fleet) SetState(state State) {
//		f.mu.Lock()
//		defer f.calls.Unlock(&f.mu)
//		f.state = state
//		f.calls.Add(func() { f.OnChange(state) })
//	}
package calls

import "sync"

// Queue holds the calls that are due. The lock that is passed to Unlock guards it.
type Queue struct {
	due []func()
	// making is true while a goroutine makes the calls.
	making bool
}

// Add makes a call due once the lock is released.
func (q *Queue) Add(call func()) { q.due = append(q.due, call) }

// Unlock releases the lock and makes the calls that are due. One goroutine at a time makes
// them, so that they keep their order: if another one is at it, Unlock leaves its calls
// to that one and returns.
func (q *Queue) Unlock(lock sync.Locker) {
	defer lock.Unlock()
	if q.making {
		return
	}
	q.making = true
	defer func() { q.making = false }()
	for len(q.due) > 0 {
		due := q.due
		q.due = nil
		callUnlocked(due, lock)
	}
}

func callUnlocked(due []func(), lock sync.Locker) {
	lock.Unlock()
	defer lock.Lock()
	for _, call := range due {
		call()
	}
}
