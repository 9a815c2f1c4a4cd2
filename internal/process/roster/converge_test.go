package roster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

// modelStore is a store that may be put back to an earlier copy.
type modelStore struct {
	at    stamp.Stamp
	items map[string]Entry
	// history are the changes of this era, and base is where they begin.
	history []Entry
	base    stamp.Stamp
	copies  []modelCopy
}

type modelCopy struct {
	revision int64
	items    map[string]Entry
}

func (s *modelStore) write(e Entry) {
	s.at.Revision++
	e.Era, e.Revision = s.at.Era, s.at.Revision
	s.history = append(s.history, e)
	if e.Gone {
		delete(s.items, e.ID)
		return
	}
	s.items[e.ID] = e
}

func (s *modelStore) putBack(c modelCopy) {
	s.at = stamp.Stamp{Era: s.at.Era + 1, Revision: c.revision}
	s.items, s.history, s.base = map[string]Entry{}, nil, s.at
	for id, e := range c.items {
		e.Era = s.at.Era
		s.items[id] = e
	}
}

// read brings a roster up to date, by the changes if it has the state before them.
func (s *modelStore) read(now time.Time, r *Roster, whole bool) {
	if have := r.Stamp(); !whole && have.Era == s.at.Era && !s.base.After(have) {
		var changes []Entry
		for _, e := range s.history {
			if e.Stamp().After(have) {
				changes = append(changes, e)
			}
		}
		r.Apply(now, changes, s.at)
		return
	}
	r.Replace(now, slices.Collect(maps.Values(s.items)), s.at)
}

// Guards against rosters that differ for good after the store was put back, at whatever moments daemons read it,
// hear from each other and start anew.
func TestRostersConvergeAfterReturns(t *testing.T) {
	const (
		seeds, steps, targets = 400, 120, 4
		daemons, followers    = 5, 2
	)
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 57))
		now := start
		s := &modelStore{at: in(1, 1), base: in(1, 1), items: map[string]Entry{}}
		rosters := make([]*Roster, daemons)
		for i := range rosters {
			rosters[i] = New()
		}
		born := int64(1)
		for range steps {
			i, j := random.IntN(daemons), random.IntN(daemons)
			id := fmt.Sprint("t", random.IntN(targets))
			e, registered := s.items[id]
			switch random.IntN(12) {
			case 0, 1:
				if !registered {
					born++
					s.write(target(id, born, 0, 0))
				}
			case 2:
				if registered {
					s.write(leaving(e))
				}
			case 3:
				if registered {
					s.write(Entry{ID: id, Gone: true})
				}
			case 4:
				s.copies = append(s.copies, modelCopy{s.at.Revision, maps.Clone(s.items)})
			case 5:
				if len(s.copies) > 0 && random.IntN(3) == 0 {
					s.putBack(s.copies[len(s.copies)-1])
					s.copies = nil
				}
			case 6, 7:
				s.read(now, rosters[i%followers], random.IntN(3) == 0)
			case 8:
				if random.IntN(4) == 0 {
					rosters[i] = New()
				}
			default:
				carry(now, rosters[j], rosters[i])
			}
			now = now.Add(time.Duration(random.IntN(1000)) * time.Millisecond)
			expire(now, rosters...)
		}
		for i := range rosters {
			s.read(now, rosters[i%followers], false)
			carry(now, rosters[i%followers], rosters[i])
		}
		now = now.Add(copyGrace)
		expire(now, rosters...)
		want := New()
		want.Replace(now, slices.Collect(maps.Values(s.items)), s.at)
		for i, r := range rosters {
			if got := states(r); got != states(want) {
				t.Errorf("seed %d: daemon %d at %v has %q, the store %q", seed, i, r.Stamp(), got, states(want))
			}
		}
	}
}
