package fleet

// calls holds the calls of functions from outside the package that are due. They are made
// without the fleet's lock: such a function may use the fleet, or take a lock that is held
// elsewhere while the fleet is called.
type calls struct {
	due []func()
	// making is true while a goroutine makes the calls.
	making bool
}

// afterUnlock makes a call once the lock is released.
func (f *Fleet) afterUnlock(call func()) { f.calls.due = append(f.calls.due, call) }

// unlock releases the lock and makes the calls that are due. One goroutine at a time makes
// them, so that they keep their order; another one leaves its calls to it.
func (f *Fleet) unlock() {
	defer f.mu.Unlock()
	if f.calls.making {
		return
	}
	f.calls.making = true
	defer func() { f.calls.making = false }()
	for len(f.calls.due) > 0 {
		due := f.calls.due
		f.calls.due = nil
		f.callUnlocked(due)
	}
}

func (f *Fleet) callUnlocked(due []func()) {
	f.mu.Unlock()
	defer f.mu.Lock()
	for _, call := range due {
		call()
	}
}
