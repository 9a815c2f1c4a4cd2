package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Several daemons that the store turned away reach it again one after another, and each tells the
// others to wait for targets that may come back. Guards against a removal that has been confirmed
// and is put off by each of them once more.
func TestRemovalIsPutOffOnce(t *testing.T) {
	const again = recoveryGrace - 100*time.Millisecond
	inTouch := New()
	inTouch.Apply(start, []Entry{entry("a", 1), entry("b", 2)}, at(2))
	revision, removed := int64(3), time.Time{}
	for i := range 3 {
		now := start.Add(time.Duration(i) * again)
		regained := New()
		regained.Merge(now, inTouch.Since(now, at(0)))
		regained.StoreRecovered(now)
		list := []Entry{entry("a", 1), entry("b", revision)}
		if i > 0 {
			list = list[1:]
		}
		regained.Replace(now, list, at(revision))
		inTouch.Merge(now, regained.Since(now, inTouch.Stamp()))
		if i == 0 {
			removed = now.Add(time.Millisecond)
			inTouch.Apply(removed, []Entry{gone("a", 4)}, at(4))
			revision = 5
		}
		revision++
	}
	inTouch.Expire(removed.Add(recoveryGrace), 0)
	if got := ids(inTouch); !slices.Equal(got, []string{"b"}) {
		t.Errorf("%v after its removal, the registrations are %v", recoveryGrace, got)
	}
}

// Within the time in which targets may come back, many targets register anew and are removed
// before a daemon asks for the changes. Guards against removals that are lost since an earlier
// registration of the same target follows them.
func TestRemovalsAfterRegistrationsAreKept(t *testing.T) {
	const count = 40
	peer, own := New(), New()
	peer.StoreRecovered(start)
	var first, second, removals []Entry
	for i := range count {
		id := fmt.Sprint("t", i)
		first = append(first, entry(id, int64(i+1)))
		second = append(second, entry(id, int64(count+i+1)))
		removals = append(removals, gone(id, int64(2*count+i+1)))
	}
	own.Apply(start, first, at(count))
	peer.Apply(start, first, at(count))
	peer.Apply(start, second, at(2*count))
	peer.Apply(start, removals, at(3*count))
	own.Merge(start, peer.Since(start, own.Stamp()))
	own.Expire(start.Add(recoveryGrace), 0)
	if got := ids(own); len(got) > 0 {
		t.Errorf("%d of %d targets that were removed stay: %v", len(got), count, got)
	}
}

// Guards against a removal that waits and is lost when an earlier registration arrives.
func TestEarlierRegistrationKeepsWaitingRemoval(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{entry("a", 1)}, at(1))
	r.StoreRecovered(start)
	r.Apply(start, []Entry{gone("a", 3)}, at(3))
	r.Apply(start, []Entry{entry("a", 2)}, at(2))
	r.Expire(start.Add(recoveryGrace), 0)
	if got := ids(r); len(got) > 0 {
		t.Errorf("the registrations are %v", got)
	}
}

// A daemon reads the whole store while it learns from a peer that a target of which it knows
// nothing has left. Guards against the list, which is older, bringing the target back for good.
func TestEarlierListKeepsRemovalOfUnknownTarget(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{entry("b", 1)}, at(1))
	r.StoreRecovered(start)
	r.Apply(start, []Entry{gone("a", 3)}, at(3))
	r.Replace(start, []Entry{entry("a", 2), entry("b", 1)}, at(2))
	r.Expire(start.Add(recoveryGrace), 0)
	if got := ids(r); !slices.Equal(got, []string{"b"}) {
		t.Errorf("the registrations are %v", got)
	}
}
