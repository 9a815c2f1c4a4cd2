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
			for _, step := range []struct {
				after time.Duration
				want  string
			}{{0, tt.atOnce}, {recoveryGrace, tt.soon}, {copyGrace, tt.later}} {
				for name, r := range map[string]*Roster{"follower": follower, "peer": peer, "restarted": restarted} {
					r.Expire(start.Add(step.after))
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
