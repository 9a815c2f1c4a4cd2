package roster

import (
	"testing"
	"time"
)

func expire(now time.Time, rosters ...*Roster) {
	for _, r := range rosters {
		r.Expire(now, 0)
	}
}

// A target was gone, is in the copy, and is removed again while registrations get time to come
// back. Guards against daemons that do not read the store and bring it back for good.
func TestSecondRemovalReachesPeersDuringGrace(t *testing.T) {
	const want = "other:1:ready "
	gone := []Entry{target("a", 1, 1, 10), removed(1, 35)}
	other := target("other", 1, 2, 5)
	for name, learn := range map[string]func(follower *Roster, now time.Time){
		"by an event":    func(r *Roster, now time.Time) { r.Apply(now, []Entry{removed(2, 25)}, in(2, 25)) },
		"by a new list":  func(r *Roster, now time.Time) { r.Replace(now, []Entry{other}, in(2, 25)) },
		"by a late list": func(r *Roster, now time.Time) { r.Replace(now.Add(recoveryGrace), []Entry{other}, in(2, 25)) },
	} {
		t.Run(name, func(t *testing.T) {
			follower, peer := putBack(gone, []Entry{target("a", 1, 2, 10)})
			now := start.Add(recoveryGrace / 2)
			learn(follower, now)
			carry(now, follower, peer)
			expire(start.Add(2*copyGrace), follower, peer)
			if got := states(follower); got != want {
				t.Errorf("follower: %q, want %q", got, want)
			}
			if got := states(peer); got != want {
				t.Errorf("peer: %q, want %q", got, want)
			}
		})
	}
}

// Guards against a daemon that starts, or has missed the removal, and takes a target that was gone
// from the copy while the daemon that it asks holds it back.
func TestHeldRegistrationIsHeldByDaemonsThatMissedTheRemoval(t *testing.T) {
	const want = "other:1:ready "
	gone := []Entry{target("a", 1, 1, 10), removed(1, 35)}
	for name, before := range map[string][]Entry{"starts": nil, "missed the removal": {target("other", 1, 1, 5), target("a", 1, 1, 10)}} {
		t.Run(name, func(t *testing.T) {
			follower, _ := putBack(gone, []Entry{target("a", 1, 2, 10)})
			late := New()
			if before != nil {
				late.Apply(start, before, in(1, 30))
			}
			now := start.Add(recoveryGrace / 2)
			carry(now, follower, late)
			expire(start.Add(2*recoveryGrace), follower, late)
			if got := states(follower); got != want {
				t.Errorf("follower: %q, want %q", got, want)
			}
			if got := states(late); got != want {
				t.Errorf("late daemon: %q, want %q", got, want)
			}
		})
	}
}

// Guards against a second return of the store that cuts short the time in which what its copy
// holds does not count.
func TestSecondReturnHoldsRegistrationsAnew(t *testing.T) {
	left := []Entry{target("a", 1, 1, 10), leaving(target("a", 1, 1, 35))}
	follower, _ := putBack(left, []Entry{target("a", 1, 2, 10)})
	again := start.Add(copyGrace - time.Second)
	follower.Replace(again, []Entry{target("other", 1, 3, 5), target("a", 1, 3, 10)}, in(3, copied))
	follower.Expire(again.Add(copyGrace-time.Second), 0)
	if got, want := states(follower), "a:1:leaving other:1:ready "; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

// The second return is to a copy from before the first one, whose revisions are higher. Guards
// against a target that has left in between and is ready again at once.
func TestSecondReturnToCopyOfFirstEra(t *testing.T) {
	follower, _ := putBack([]Entry{target("a", 1, 1, 35)}, nil)
	follower.Apply(start, []Entry{target("a", 1, 2, 22)}, in(2, 22))
	follower.Apply(start, []Entry{leaving(target("a", 1, 2, 24))}, in(2, 24))
	follower.Replace(start.Add(time.Second), []Entry{target("other", 1, 3, 5), target("a", 1, 3, 35)}, in(3, 38))
	follower.Expire(start.Add(2*time.Second), 0)
	if got, want := states(follower), "a:1:leaving other:1:ready "; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

// Guards against differences from a daemon that has not seen the removals which they lack: the
// daemon that asks keeps a target that is gone.
func TestDifferencesLackNoRemovals(t *testing.T) {
	other := target("other", 1, 1, 5)
	both := []Entry{target("a", 1, 1, 12), other}
	for name, answering := range map[string]func() *Roster{
		"started and read the store": func() *Roster {
			r := New()
			r.Replace(start, []Entry{other}, in(1, known))
			return r
		},
		"started and asked a peer": func() *Roster {
			peer, r := New(), New()
			peer.Apply(start, both, in(1, 30))
			peer.Apply(start, []Entry{removed(1, 35)}, in(1, known))
			carry(start, peer, r)
			return r
		},
		"lost the watch and read the store": func() *Roster {
			r := New()
			r.Replace(start, []Entry{other}, in(1, 10))
			r.Replace(start, []Entry{other}, in(1, known))
			return r
		},
	} {
		t.Run(name, func(t *testing.T) {
			late := New()
			late.Apply(start, both, in(1, 30))
			carry(start, answering(), late)
			if got, want := states(late), "other:1:ready "; got != want || late.Stamp() != in(1, known) {
				t.Errorf("%q at %v, want %q", got, late.Stamp(), want)
			}
		})
	}
}

// Guards against a target that is gone and used again since its time has run out in a further outage
// of the store, in which nobody could remove it from there.
func TestHeldRegistrationOutlastsOutage(t *testing.T) {
	follower, _ := putBack([]Entry{target("a", 1, 1, 10), removed(1, 35)}, []Entry{target("a", 1, 2, 10)})
	back := start.Add(copyGrace - time.Second)
	follower.StoreRecovered(back)
	follower.Replace(back, []Entry{target("other", 1, 2, 5), target("a", 1, 2, 10)}, in(2, copied))
	follower.Expire(back.Add(recoveryGrace-time.Millisecond), 0)
	if got, want := states(follower), "other:1:ready "; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

// Two followers read the store at different moments after its return. Guards against a statement that is
// written again between them, is the same as was known, and does not reach daemons that have the first follower's
// list: a target that leaves is used again, and one that lives is lost.
func TestStatementWrittenAgainBetweenTwoListsIsPassedOn(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before []Entry
		copied []Entry
		again  Entry
		want   string
	}{
		{"leaves", []Entry{target("a", 1, 1, 10), leaving(target("a", 1, 1, 35))}, []Entry{target("a", 1, 2, 10)}, leaving(target("a", 1, 2, 22)), "a:1:leaving "},
		{"lives", []Entry{target("a", 1, 1, 35)}, nil, target("a", 1, 2, 22), "a:1:ready "},
	} {
		t.Run(tt.name, func(t *testing.T) {
			early, late, peer := New(), New(), New()
			for _, r := range []*Roster{early, late, peer} {
				r.Apply(start, tt.before, in(1, known))
			}
			early.Replace(start, tt.copied, in(2, copied))
			carry(start, early, peer)
			late.Replace(start.Add(time.Second), []Entry{tt.again}, in(2, copied+5))
			carry(start.Add(time.Second), late, peer)
			expire(start.Add(2*copyGrace), late, peer)
			for name, r := range map[string]*Roster{"late follower": late, "peer": peer} {
				if got := states(r); got != tt.want || r.Stamp() != in(2, copied+5) {
					t.Errorf("%s: %q at %v, want %q", name, got, r.Stamp(), tt.want)
				}
			}
		})
	}
}
