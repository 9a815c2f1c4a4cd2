package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

// known is the era and revision that a roster has before the store is put back to a copy at
// revision copied of the same era.
const (
	known  = 40
	copied = 20
)

func in(era, revision int64) stamp.Stamp { return stamp.Stamp{Era: era, Revision: revision} }

// target returns the registration of a target that started at the given time.
func target(id string, born, era, revision int64) Entry {
	e := entry(id, revision)
	e.Born, e.Era = born, era
	return e
}

func leaving(e Entry) Entry {
	e.Leaving = true
	return e
}

func removed(era, revision int64) Entry {
	return Entry{ID: "a", Era: era, Revision: revision, Gone: true}
}

// states describes the registrations of a pool.
func states(r *Roster) string {
	text := ""
	for _, e := range r.Pool("p") {
		state := "ready"
		if e.Leaving {
			state = "leaving"
		}
		text += fmt.Sprintf("%s:%d:%s ", e.ID, e.Born, state)
	}
	return text
}

// The store was put back to an older copy. Guards against registrations of the copy that
// bring back a target which has left, or take away one that is there, and against new ones that are ignored.
func TestRegistrationsAfterStoreWasPutBack(t *testing.T) {
	for _, tt := range []struct {
		name string
		// before are the changes of the first era, list is what the store holds at its
		// return, and after are the changes that follow.
		before, list, after []Entry
		// atOnce, soon and later are the registrations in force right after these, at the end
		// of the time in which targets come back, and after that in which copies don't count.
		atOnce, soon, later string
	}{
		{
			"unchanged",
			[]Entry{target("a", 1, 1, 10)},
			[]Entry{target("a", 1, 2, 10)},
			nil,
			"a:1:ready ", "a:1:ready ", "a:1:ready ",
		},
		{
			"leaves after the return, at a lower revision",
			[]Entry{target("a", 1, 1, 35)},
			[]Entry{target("a", 1, 2, 15)},
			[]Entry{leaving(target("a", 1, 2, 22))},
			"a:1:leaving ", "a:1:leaving ", "a:1:leaving ",
		},
		{
			"leaves in the copy, at a lower revision",
			[]Entry{target("a", 1, 1, 35)},
			[]Entry{leaving(target("a", 1, 2, 15))},
			nil,
			"a:1:leaving ", "a:1:leaving ", "a:1:leaving ",
		},
		{
			"left before, ready in the copy, then gone",
			[]Entry{target("a", 1, 1, 10), leaving(target("a", 1, 1, 35))},
			[]Entry{target("a", 1, 2, 10)},
			[]Entry{removed(2, 25)},
			"a:1:leaving ", "", "",
		},
		{
			"left before, ready in the copy, and stays there",
			[]Entry{target("a", 1, 1, 10), leaving(target("a", 1, 1, 35))},
			[]Entry{target("a", 1, 2, 10)},
			nil,
			"a:1:leaving ", "a:1:leaving ", "a:1:ready ",
		},
		{
			"gone before, in the copy",
			[]Entry{target("a", 1, 1, 10), removed(1, 35)},
			[]Entry{target("a", 1, 2, 10)},
			nil,
			"", "", "a:1:ready ",
		},
		{
			"gone before, in the copy, and gone again",
			[]Entry{target("a", 1, 1, 10), removed(1, 35)},
			[]Entry{target("a", 1, 2, 10)},
			[]Entry{removed(2, 25)},
			"", "", "",
		},
		{
			"gone before, and written again",
			[]Entry{target("a", 1, 1, 10), removed(1, 35)},
			[]Entry{target("a", 1, 2, 10)},
			[]Entry{target("a", 1, 2, 23)},
			"a:1:ready ", "a:1:ready ", "a:1:ready ",
		},
		{
			"registered after the copy, and written again",
			[]Entry{target("a", 1, 1, 35)},
			nil,
			[]Entry{target("a", 1, 2, 23)},
			"a:1:ready ", "a:1:ready ", "a:1:ready ",
		},
		{
			"registered after the copy, and not written again",
			[]Entry{target("a", 1, 1, 35)},
			nil, nil,
			"a:1:ready ", "", "",
		},
		{
			"restarted after the copy",
			[]Entry{target("a", 1, 1, 10), target("a", 2, 1, 35)},
			[]Entry{target("a", 1, 2, 10)},
			[]Entry{target("a", 2, 2, 24)},
			"a:2:ready ", "a:2:ready ", "a:2:ready ",
		},
		{
			"restarted in the outage",
			[]Entry{target("a", 1, 1, 35)},
			[]Entry{target("a", 2, 2, 20)},
			nil,
			"a:2:ready ", "a:2:ready ", "a:2:ready ",
		},
		{
			"came back under its ID, then leaves",
			[]Entry{target("a", 1, 1, 10), removed(1, 30), target("a", 2, 1, 38)},
			[]Entry{target("a", 1, 2, 10)},
			[]Entry{leaving(target("a", 2, 2, 24))},
			"a:2:leaving ", "a:2:leaving ", "a:2:leaving ",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			follower, peer, restarted := New(), New(), New()
			follower.Apply(start, tt.before, in(1, known))
			peer.Merge(start, follower.Since(start, peer.Stamp()))
			peer.Apply(start, tt.before, in(1, known))
			follower.Replace(start, tt.list, in(2, copied))
			follower.Replace(start, tt.list, in(2, copied))
			peer.Merge(start, follower.Since(start, peer.Stamp()))
			follower.Apply(start, tt.after, in(2, copied+10))
			peer.Merge(start, follower.Since(start, peer.Stamp()))
			restarted.Merge(start, follower.Since(start, restarted.Stamp()))
			for _, r := range []*Roster{follower, peer, restarted} {
				if r.Stamp() != in(2, copied+10) {
					t.Errorf("stamp %v", r.Stamp())
				}
			}
			if got := states(restarted); got != tt.atOnce {
				t.Errorf("a daemon that starts has %q, want %q", got, tt.atOnce)
			}
			for _, step := range []struct {
				after time.Duration
				want  string
			}{{0, tt.atOnce}, {recoveryGrace, tt.soon}, {copyGrace, tt.later}} {
				for name, r := range map[string]*Roster{"follower": follower, "peer": peer, "restarted": restarted} {
					r.Expire(start.Add(step.after), 0)
					if got := states(r); got != step.want {
						t.Errorf("%s after %v: %q, want %q", name, step.after, got, step.want)
					}
				}
			}
			if late := follower.Apply(start, []Entry{target("late", 1, 1, known+1)}, in(1, known+1)); late != nil {
				t.Errorf("changes of the earlier era have changed %v", late)
			}
			if late := follower.Replace(start, []Entry{target("late", 1, 1, known+1)}, in(1, known+1)); late != nil || slices.Contains(ids(follower), "late") {
				t.Errorf("a list of the earlier era has changed %v", late)
			}
		})
	}
}

// exchange lets the daemons follow each other until they have the same state.
func exchange(daemons ...*Roster) {
	for _, from := range daemons {
		for _, to := range daemons {
			to.Merge(start, from.Since(start, to.Stamp()))
		}
	}
}

// Guards against peers that take a registration of the copy for valid in the end, as they have not
// learnt that the store has removed it meanwhile.
func TestPeersLearnOfRemovalFromCopy(t *testing.T) {
	other := target("other", 1, 2, 11)
	for _, tt := range []struct {
		name   string
		remove func(follower *Roster)
	}{
		{"by an event", func(r *Roster) { r.Apply(start, []Entry{removed(2, 25)}, in(2, 25)) }},
		{"by a list", func(r *Roster) { r.Replace(start, []Entry{other}, in(2, 25)) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			follower, peer := New(), New()
			for _, r := range []*Roster{follower, peer} {
				r.Apply(start, []Entry{target("a", 1, 1, 10), target("other", 1, 1, 11), removed(1, 35)}, in(1, known))
			}
			follower.Replace(start, []Entry{target("a", 1, 2, 10), other}, in(2, copied))
			exchange(follower, peer)
			tt.remove(follower)
			exchange(follower, peer)
			for name, r := range map[string]*Roster{"follower": follower, "peer": peer} {
				r.Expire(start.Add(copyGrace), 0)
				if got := states(r); got != "other:1:ready " {
					t.Errorf("%s has %q", name, got)
				}
			}
		})
	}
}

// Guards against peers that keep a target for good which was registered and removed while the
// daemon that they follow did not read single changes.
func TestPeersLearnOfRemovalInGap(t *testing.T) {
	follower, peer := New(), New()
	follower.Apply(start, nil, at(28))
	peer.Apply(start, []Entry{entry("a", 30)}, at(30))
	follower.Replace(start, nil, at(35))
	peer.Merge(start, follower.Since(start, peer.Stamp()))
	if got := ids(peer); len(got) != 0 {
		t.Errorf("the peer has %v", got)
	}
}

// Guards against peers that remove a target, or go back to an earlier process of it, although it
// has written its registration again: the daemon that they follow has seen this in a list.
func TestPeersLearnOfRegistrationInLaterList(t *testing.T) {
	lost := target("a", 2, 1, 35)
	again := target("a", 2, 2, 23)
	for _, tt := range []struct {
		name string
		copy []Entry
		// second is true if another daemon than the first reads the later list.
		second bool
	}{
		{"lost, read by the same daemon", nil, false},
		{"lost, read by another daemon", nil, true},
		{"earlier process, read by the same daemon", []Entry{target("a", 1, 2, 10)}, false},
		{"earlier process, read by another daemon", []Entry{target("a", 1, 2, 10)}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			first, second, peer := New(), New(), New()
			for _, r := range []*Roster{first, second, peer} {
				r.Apply(start, []Entry{lost}, in(1, known))
			}
			first.Replace(start, tt.copy, in(2, copied))
			peer.Merge(start, first.Since(start, peer.Stamp()))
			reader := first
			if tt.second {
				reader = second
			}
			reader.Replace(start, []Entry{again}, in(2, 24))
			peer.Merge(start, reader.Since(start, peer.Stamp()))
			for name, r := range map[string]*Roster{"reader": reader, "peer": peer} {
				r.Expire(start.Add(recoveryGrace), 0)
				r.Expire(start.Add(copyGrace), 0)
				if got := states(r); got != "a:2:ready " {
					t.Errorf("%s has %q", name, got)
				}
			}
		})
	}
}

// Guards against a target that is removed, or taken from a copy, because the store has not answered in the time in which
// it has written its registration again.
func TestGraceEndsWithAnswerOfTheStore(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{target("lost", 1, 1, 35), leaving(target("left", 1, 1, 36))}, in(1, known))
	r.Replace(start, []Entry{target("left", 1, 2, 10)}, in(2, copied))
	end := start.Add(copyGrace)
	for _, tt := range []struct {
		confirmed time.Duration
		want      string
	}{
		{-time.Second, "left:1:leaving lost:1:ready "},
		{copyGrace - recoveryGrace + time.Millisecond, "left:1:leaving lost:1:ready "},
		{copyGrace - recoveryGrace, "left:1:leaving "},
		{time.Millisecond, "left:1:leaving "},
		{0, "left:1:ready "},
	} {
		r.Expire(end, tt.confirmed)
		if got := states(r); got != tt.want {
			t.Errorf("confirmed %v ago: %q, want %q", tt.confirmed, got, tt.want)
		}
	}
}

// Guards against a target that is gone and stays for longer each time that another daemon regains the store.
func TestRemovalIsDeferredOnce(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{entry("a", 1)}, at(1))
	r.StoreRecovered(start)
	r.Replace(start, nil, at(2))
	r.StoreRecovered(start.Add(time.Second))
	r.Replace(start.Add(time.Second), nil, at(3))
	r.Expire(start.Add(recoveryGrace), 0)
	if got := ids(r); len(got) != 0 {
		t.Errorf("%v left", got)
	}
}

// Guards against a target that is removed on a late answer of the store, from before it has written its registration again.
func TestLateListDoesNotEndGrace(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{target("a", 1, 1, 35)}, in(1, known))
	r.Replace(start, nil, in(2, copied))
	late := start.Add(recoveryGrace)
	r.Replace(late, nil, in(2, copied+1))
	r.Expire(late, time.Second)
	if got := states(r); got != "a:1:ready " {
		t.Errorf("%q after a late answer", got)
	}
	r.Expire(late, 0)
	if got := states(r); got != "" {
		t.Errorf("%q after an answer of that time", got)
	}
}

// Guards against a target that stays for good since a late list, from before its removal, cancels that.
func TestLateListDoesNotCancelRemoval(t *testing.T) {
	for _, late := range []Entry{target("a", 1, 2, 10), target("a", 2, 2, 12)} {
		r := New()
		r.Apply(start, []Entry{target("a", 1, 1, 10)}, in(1, known))
		r.Replace(start, nil, in(2, copied+5))
		r.Replace(start, []Entry{late}, in(2, copied))
		r.Expire(start.Add(recoveryGrace), 0)
		if got := states(r); got != "" {
			t.Errorf("%q left", got)
		}
	}
}
