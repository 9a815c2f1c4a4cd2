package roster

import (
	"testing"
	"time"
)

// carry brings the peer to the state of the follower, as daemons do by their heartbeats.
func carry(now time.Time, from, to *Roster) { to.Merge(now, from.Since(now, to.Stamp())) }

// putBack returns a follower and a peer that have known the given changes and one more target
// for all the time, at the moment at which the store has come back with the list.
func putBack(before, list []Entry) (follower, peer *Roster) {
	follower, peer = New(), New()
	other := target("other", 1, 1, 5)
	follower.Apply(start, append([]Entry{other}, before...), in(1, known))
	peer.Apply(start, append([]Entry{other}, before...), in(1, known))
	other.Era = 2
	follower.Replace(start, append([]Entry{other}, list...), in(2, copied))
	carry(start, follower, peer)
	return follower, peer
}

// Guards against what a list of a new era does before anything is written again: a target that stays
// in use through it must not be changed for an earlier state or lost for a moment.
func TestListOfNewEraAlone(t *testing.T) {
	for _, tt := range []struct {
		name         string
		before, list []Entry
		want         string
	}{
		{"restarted after the copy", []Entry{target("a", 1, 1, 10), target("a", 2, 1, 35)}, []Entry{target("a", 1, 2, 10)}, "a:2:ready "},
		{"came back under its ID", []Entry{target("a", 1, 1, 10), removed(1, 30), target("a", 2, 1, 38)}, []Entry{target("a", 1, 2, 10)}, "a:2:ready "},
		{"registered after the copy", []Entry{target("a", 1, 1, 35)}, nil, "a:1:ready "},
		{"removed twice, the second time by a daemon that did not know it", []Entry{target("a", 2, 1, 10), removed(1, 30), removed(1, 35)}, []Entry{target("a", 1, 2, 10)}, ""},
		{"written again before the list was read", []Entry{target("a", 2, 1, 10), removed(1, 15)}, []Entry{target("a", 2, 2, 19)}, "a:2:ready "},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			r.Apply(start, tt.before, in(1, known))
			r.Replace(start, tt.list, in(2, copied))
			if got := states(r); got != tt.want {
				t.Errorf("%q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a target that the copy has as it was known, and that is applied to its pool again, or is not
// in the differences for peers. TestRepeatedRegistrationIsNoStatement of package fleet has the rest: what the target has said of itself
// since stays.
func TestUnchangedRegistrationChangesNoPool(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{target("a", 1, 1, 10)}, in(1, known))
	if changed := r.Replace(start, []Entry{target("a", 1, 2, 10)}, in(2, copied)); len(changed) > 0 {
		t.Errorf("changed %v", changed)
	}
	if e := r.Pool("p")[0]; e.Stamp() != in(2, 10) {
		t.Errorf("stamp %v", e.Stamp())
	}
	if d := r.Since(start, in(2, 5)); len(d.Entries) != 1 {
		t.Errorf("differences for a peer that lacks it: %v", d.Entries)
	}
}

// Guards against a removal that was deferred in an outage and takes effect though the store has the
// registration at its return.
func TestDeferredRemovalEndsWithCopy(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{target("a", 1, 1, 10)}, in(1, 20))
	r.StoreRecovered(start)
	r.Apply(start, []Entry{removed(1, 35)}, in(1, known))
	r.Replace(start, []Entry{target("a", 1, 2, 10)}, in(2, copied))
	r.Expire(start.Add(copyGrace), 0)
	if got, want := states(r), "a:1:ready "; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

// Guards against a registration that is held anew with each list of the same era, and so for ever.
func TestListsOfOneEraDoNotHoldAnew(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{leaving(target("a", 1, 1, 35))}, in(1, known))
	for now := start; now.Before(start.Add(copyGrace)); now = now.Add(time.Second) {
		r.Replace(now, []Entry{target("a", 1, 2, 10)}, in(2, copied))
	}
	r.Expire(start.Add(copyGrace), 0)
	if got, want := states(r), "a:1:ready "; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

// Guards against a held registration that is used after the store no longer had it.
func TestHeldRegistrationEndsWithItsRemoval(t *testing.T) {
	for name, learn := range map[string]func(r *Roster, now time.Time){
		"by an event in the grace period": func(r *Roster, now time.Time) { r.Apply(now, []Entry{removed(2, 25)}, in(2, 25)) },
		"by an event after it":            func(r *Roster, now time.Time) { r.Apply(now.Add(recoveryGrace), []Entry{removed(2, 25)}, in(2, 25)) },
		"by a list":                       func(r *Roster, now time.Time) { r.Replace(now, []Entry{target("other", 1, 2, 5)}, in(2, 25)) },
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := putBack([]Entry{target("a", 1, 1, 10), removed(1, 35)}, []Entry{target("a", 1, 2, 10)})
			learn(r, start.Add(time.Second))
			r.Expire(start.Add(2*copyGrace), 0)
			if got, want := states(r), "other:1:ready "; got != want {
				t.Errorf("%q, want %q", got, want)
			}
		})
	}
}

// Guards against differences from a state of another era, which leave a gap.
func TestDifferencesOfAnotherEraAreDropped(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{target("a", 1, 1, 10)}, in(1, known))
	d := Delta{Base: in(2, copied), Stamp: in(2, 25), Entries: []Entry{target("b", 1, 2, 22)}}
	if changed := r.Merge(start, d); len(changed) > 0 || r.Stamp() != in(1, known) {
		t.Errorf("changed %v, stamp %v", changed, r.Stamp())
	}
	r.Replace(start, []Entry{target("a", 1, 3, 10)}, in(3, copied))
	d = Delta{Base: in(2, 45), Stamp: in(3, 25), Entries: []Entry{target("b", 1, 3, 22)}}
	if changed := r.Merge(start, d); len(changed) > 0 || r.Stamp() != in(3, copied) {
		t.Errorf("changed %v, stamp %v", changed, r.Stamp())
	}
}

// Guards against a daemon that starts, reads the copy, and uses targets of which the others know that
// they have left, or an earlier process of one that was restarted.
func TestStartedDaemonWithholdsWhatOthersDo(t *testing.T) {
	copyOf := func(e Entry) Entry {
		e.ID = "left"
		return e
	}
	again := target("again", 1, 1, 11)
	before := []Entry{copyOf(target("a", 1, 1, 9)), copyOf(leaving(target("a", 1, 1, 34))), target("a", 1, 1, 10), removed(1, 35), again, target("again", 2, 1, 36)}
	list := []Entry{copyOf(target("a", 1, 2, 9)), target("a", 1, 2, 10), target("again", 1, 2, 11)}
	follower, _ := putBack(before, list)
	late := New()
	late.Replace(start, append([]Entry{target("other", 1, 2, 5)}, list...), in(2, copied))
	if changed := late.Withhold(start, follower.Withheld()); len(changed) == 0 {
		t.Error("no pool has changed")
	}
	if got, want := states(late), states(follower); got != want || want != "again:2:ready left:1:leaving other:1:ready " {
		t.Errorf("%q, want %q", got, want)
	}
	for _, r := range []*Roster{follower, late} {
		r.Apply(start, []Entry{target("a", 1, 2, 24)}, in(2, 24))
		if got, want := states(r), "a:1:ready again:2:ready left:1:leaving other:1:ready "; got != want {
			t.Errorf("after a new statement %q, want %q", got, want)
		}
	}
	if changed := late.Withhold(start, New().Withheld()); len(changed) > 0 {
		t.Errorf("a daemon that holds nothing has changed %v", changed)
	}
}
