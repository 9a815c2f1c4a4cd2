package roster

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

var start = time.Unix(1000, 0)

func entry(id string, revision int64) Entry {
	return Entry{ID: id, Pool: "p", Address: "10.0.0.1:80", Slots: 2, Revision: revision}
}

func gone(id string, revision int64) Entry { return Entry{ID: id, Revision: revision, Gone: true} }

func ids(r *Roster) []string {
	var found []string
	for _, e := range r.Pool("p") {
		found = append(found, e.ID)
	}
	return found
}

func TestOnlyNewerRegistrationsCount(t *testing.T) {
	tests := []struct {
		name    string
		changes [][]Entry
		want    []string
	}{
		{"put", [][]Entry{{entry("a", 1)}}, []string{"a"}},
		{"removed", [][]Entry{{entry("a", 1)}, {gone("a", 2)}}, nil},
		{"removal that is older", [][]Entry{{entry("a", 3)}, {gone("a", 2)}}, []string{"a"}},
		{"removal that arrives before the put", [][]Entry{{gone("a", 2)}, {entry("a", 1)}}, nil},
		{"back again", [][]Entry{{entry("a", 1)}, {gone("a", 2)}, {entry("a", 3)}}, []string{"a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			for _, changes := range tt.changes {
				r.Apply(start, changes, at(changes[0].Revision))
			}
			if got := ids(r); !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// A registration that lapsed during an outage of the store may come back within
// two seconds after the outage. If it does not, the roster removes it then.
func TestRemovalsWaitAfterAnOutage(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{entry("a", 1), entry("b", 2)}, at(2))
	r.StoreRecovered(start)
	r.Apply(start, []Entry{gone("a", 3), gone("b", 4)}, at(4))
	if got := ids(r); len(got) != 2 {
		t.Fatalf("entries were removed at once: %v left", got)
	}
	r.Apply(start.Add(time.Second), []Entry{entry("a", 5)}, at(5))
	r.Expire(start.Add(recoveryGrace-time.Millisecond), 0)
	if got := ids(r); len(got) != 2 {
		t.Fatalf("entries were removed before the end of the grace period: %v left", got)
	}
	r.Expire(start.Add(recoveryGrace), 0)
	if got := ids(r); !slices.Equal(got, []string{"a"}) {
		t.Errorf("%v left, want a", got)
	}
}

// A daemon that receives a delta must defer the same removals as the daemon that
// sent it.
func TestPeersDeferRemovals(t *testing.T) {
	reader, peer := New(), New()
	reader.Apply(start, []Entry{entry("a", 1)}, at(1))
	peer.Merge(start, reader.Since(start, at(0)))
	reader.StoreRecovered(start)
	reader.Apply(start, []Entry{gone("a", 2)}, at(2))
	peer.Merge(start, reader.Since(start, peer.Stamp()))
	if got := ids(peer); len(got) != 1 {
		t.Fatal("the peer removed the entry at once")
	}
	peer.Expire(start.Add(recoveryGrace), 0)
	if got := ids(peer); len(got) != 0 {
		t.Error("the peer did not remove the entry after the grace period")
	}
}

func TestReplaceRemovesWhatTheListLacks(t *testing.T) {
	r := New()
	r.Apply(start, []Entry{entry("a", 1), entry("b", 5)}, at(5))
	r.Replace(start, []Entry{entry("c", 3)}, at(4))
	// b was written after the list was read.
	if got := ids(r); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("got %v", got)
	}
}

// Daemons that only exchange deltas, in any order and with gaps, must end with the
// same registrations as the daemon that reads the store.
func TestDeltasConverge(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("three daemons agree", prop.ForAll(func(steps []int) bool {
		daemons := []*Roster{New(), New(), New()}
		revision := int64(0)
		for _, step := range steps {
			id := string(rune('a' + step%5))
			switch step / 5 % 4 {
			case 0, 1:
				revision++
				daemons[0].Apply(start, []Entry{entry(id, revision)}, at(revision))
			case 2:
				revision++
				daemons[0].Apply(start, []Entry{gone(id, revision)}, at(revision))
			case 3:
				from, to := daemons[step%3], daemons[(step/3)%3]
				to.Merge(start, from.Since(start, to.Stamp()))
			}
		}
		for _, d := range daemons[1:] {
			d.Merge(start, daemons[0].Since(start, d.Stamp()))
			if !slices.Equal(ids(d), ids(daemons[0])) {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(0, 59))))
	properties.TestingRun(t)
}

// The lists of the pools must match the entries of the roster, whatever the order
// of the changes.
func TestPoolListsMatchEntries(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	r := New()
	for revision := int64(1); revision <= 5000; revision++ {
		e := Entry{
			ID: strconv.Itoa(random.IntN(40)), Pool: strconv.Itoa(random.IntN(6)), Revision: revision - int64(random.IntN(20)),
			Gone: random.IntN(3) == 0,
		}
		switch random.IntN(50) {
		case 0:
			r.StoreRecovered(start.Add(time.Duration(revision) * time.Millisecond))
		case 1:
			r.Replace(start.Add(time.Duration(revision)*time.Millisecond), []Entry{e}, at(revision))
		default:
			r.Apply(start.Add(time.Duration(revision)*time.Millisecond), []Entry{e}, at(revision))
		}
		r.Expire(start.Add(time.Duration(revision)*time.Millisecond), 0)
	}
	listed := 0
	for pool := range 6 {
		for _, e := range r.Pool(strconv.Itoa(pool)) {
			listed++
			if e.Pool != strconv.Itoa(pool) || r.entries[e.ID] != e {
				t.Errorf("pool %d lists %+v, the roster holds %+v", pool, e, r.entries[e.ID])
			}
		}
	}
	if listed != r.Len() {
		t.Errorf("the pools list %d entries, the roster holds %d", listed, r.Len())
	}
}

// BenchmarkPool reads one pool of a roster of the size that it is designed for.
func BenchmarkPool(b *testing.B) {
	const targets, pools = 72_000, 260
	r := New()
	entries := make([]Entry, targets)
	for i := range entries {
		entries[i] = Entry{ID: strconv.Itoa(i), Pool: strconv.Itoa(i % pools), Revision: int64(i + 1)}
	}
	r.Apply(start, entries, at(targets))
	for b.Loop() {
		if len(r.Pool("7")) == 0 {
			b.Fatal("the pool is empty")
		}
	}
}

// at returns the stamp of a revision in the first era.
func at(revision int64) stamp.Stamp { return stamp.Stamp{Revision: revision} }
