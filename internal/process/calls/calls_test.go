package calls

import (
	"slices"
	"sync"
	"testing"
)

// log is a state with a lock that calls a function for each change.
type log struct {
	mu       sync.Mutex
	calls    Queue
	changes  int
	onChange func(change int)
}

func (l *log) change() {
	l.mu.Lock()
	defer l.calls.Unlock(&l.mu)
	l.changes++
	change := l.changes
	l.calls.Add(func() { l.onChange(change) })
}

// Guards against calls in another order than the changes that they tell of, when a
// function makes further changes or goroutines make them at the same time.
func TestCallsKeepTheOrderOfTheirChanges(t *testing.T) {
	const goroutines, changes = 8, 1000
	l := &log{}
	var got []int
	l.onChange = func(change int) {
		if got = append(got, change); change%10 == 0 {
			l.change()
		}
	}
	var running sync.WaitGroup
	for range goroutines {
		running.Go(func() {
			for range changes {
				l.change()
			}
		})
	}
	running.Wait()
	if len(got) != l.changes || !slices.IsSorted(got) {
		t.Errorf("%d calls for %d changes, in order: %v", len(got), l.changes, slices.IsSorted(got))
	}
}

// Guards against a lock that stays held, and calls that are made no more, after a function
// has panicked.
func TestCallsGoOnAfterAPanic(t *testing.T) {
	l := &log{onChange: func(int) { panic("the function fails") }}
	func() {
		defer func() {
			if recover() == nil {
				t.Error("the panic was swallowed")
			}
		}()
		l.change()
	}()
	called := 0
	l.onChange = func(change int) { called = change }
	if l.change(); called != 2 {
		t.Errorf("change %d was told, want 2", called)
	}
}
