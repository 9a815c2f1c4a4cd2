package fresh

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

var start = time.Unix(1000, 0)

const (
	// step is the resolution of virtual time.
	step              = 50 * time.Millisecond
	heartbeatInterval = 600 * time.Millisecond
	leaderInterval    = time.Second
	followerInterval  = 5 * time.Second
	silentAfter       = 2 * time.Second
)

// tier is a number of daemons with complete tables, in virtual time. The first daemon of
// each data centre follows the store, and the first of all leads.
type tier struct {
	now      time.Time
	centres  int
	tables   []*member.Table
	trackers []*Tracker
	indexes  map[string]int
	phases   []time.Duration
	// cutOff daemons neither send nor receive heartbeats.
	cutOff map[int]bool
	// storeDown keeps the store from answering.
	storeDown bool
	// reads counts the calls of daemons that were overdue, by daemon.
	reads map[int]int
}

// newTracker returns the tracker of a daemon whose state does not change.
func newTracker(seed uint64) *Tracker {
	t := New(start, seed)
	t.State = func() (settings, roster stamp.Stamp) { return at(1), at(1) }
	return t
}

func newTier(daemons, centres int) *tier {
	random := rand.New(rand.NewPCG(1, 2))
	w := &tier{now: start, centres: centres, indexes: map[string]int{}, cutOff: map[int]bool{}, reads: map[int]int{}}
	var records []member.Member
	for i := range daemons {
		name := fmt.Sprint("d", i)
		w.indexes[name] = i
		records = append(records, member.Member{Name: name, Link: name, DataCentre: fmt.Sprint("c", i%centres), Incarnation: 1, State: member.Ready})
	}
	for i := range daemons {
		table := member.New(start, records[i], uint64(i))
		table.Merge(start, records)
		w.tables = append(w.tables, table)
		w.trackers = append(w.trackers, newTracker(uint64(i)))
		w.phases = append(w.phases, time.Duration(random.IntN(int(heartbeatInterval/step)))*step)
	}
	return w
}

// run advances the time.
func (w *tier) run(duration time.Duration) {
	for end := w.now.Add(duration); w.now.Before(end); w.now = w.now.Add(step) {
		w.follow()
		w.sendHeartbeats()
		for i, t := range w.trackers {
			if i >= w.centres && t.Overdue(w.now, len(w.trackers), silentAfter) {
				w.reads[i]++
				if !w.storeDown {
					t.Confirm(w.now, at(1))
				}
			}
		}
	}
}

func (w *tier) follow() {
	elapsed := w.now.Sub(start)
	for i, t := range w.trackers[:w.centres] {
		interval := followerInterval
		if i == 0 {
			interval = leaderInterval
		}
		t.Attempt(w.now)
		if elapsed%interval == 0 && !w.storeDown {
			t.Confirm(w.now, at(1))
		}
	}
}

func (w *tier) sendHeartbeats() {
	type heartbeat struct {
		to                   int
		confirmed, attempted time.Duration
	}
	var sent []heartbeat
	for i, t := range w.trackers {
		if w.now.Sub(start)%heartbeatInterval != w.phases[i] || w.cutOff[i] {
			continue
		}
		confirmed, attempted := t.Ages(w.now)
		recipients := w.tables[i].Recipients(w.now, true)
		for _, m := range slices.Concat(recipients.Local, recipients.Gateways, recipients.Remote) {
			sent = append(sent, heartbeat{w.indexes[m.Name], confirmed, attempted})
		}
	}
	for _, h := range sent {
		if !w.cutOff[h.to] {
			w.trackers[h.to].Merge(w.now, h.confirmed, h.attempted, at(1), at(1), at(1))
		}
	}
}

func (w *tier) totalReads() int {
	total := 0
	for _, reads := range w.reads {
		total += reads
	}
	return total
}

// Guards against calls to the store by daemons that hear from those which follow it.
func TestConnectedDaemonsDoNotAskTheStore(t *testing.T) {
	for _, tt := range []struct{ daemons, centres int }{{8, 3}, {300, 6}} {
		w := newTier(tt.daemons, tt.centres)
		w.run(20 * time.Second)
		if reads := w.totalReads(); reads > 0 {
			t.Errorf("%d daemons: %d calls in 20 s", tt.daemons, reads)
		}
		for i, tracker := range w.trackers {
			if confirmed, _ := tracker.Ages(w.now); confirmed < 0 || confirmed > 4*time.Second {
				t.Errorf("%d daemons: state of daemon %d confirmed %v ago", tt.daemons, i, confirmed)
			}
		}
	}
}

// Guards against daemons that rely for long on state that nobody confirms, because nobody
// whom they reach follows the store.
func TestDaemonsCutOffAskTheStore(t *testing.T) {
	w := newTier(24, 3)
	w.run(10 * time.Second)
	for i := w.centres; i < 24; i++ {
		w.cutOff[i] = true
	}
	const bound = silentAfter + minSpread + 2*heartbeatInterval
	w.run(bound)
	for i := w.centres; i < 24; i++ {
		if w.reads[i] == 0 {
			t.Errorf("daemon %d has not asked the store within %v", i, bound)
		}
	}
	w.run(10 * time.Second)
	for i := w.centres; i < 24; i++ {
		if confirmed, _ := w.trackers[i].Ages(w.now); confirmed > silentAfter+minSpread+step {
			t.Errorf("state of daemon %d confirmed %v ago", i, confirmed)
		}
	}
}

// Guards against all daemons of a large tier asking the store at the same time.
func TestCallsOfLargeTierAreSpread(t *testing.T) {
	const daemons, pages = 2000, 4
	perSecond := map[int]int{}
	for i := range daemons {
		tracker := newTracker(uint64(i))
		for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(step) {
			if tracker.Overdue(now, daemons, silentAfter) {
				perSecond[int(now.Sub(start)/time.Second)]++
				break
			}
		}
	}
	total := 0
	for second, reads := range perSecond {
		total += reads
		if calls := reads * (1 + pages); calls > 3*maxCallRate/2 {
			t.Errorf("%d calls in second %d", calls, second)
		}
	}
	if total != daemons {
		t.Errorf("%d of %d daemons asked the store within 30 s", total, daemons)
	}
}

// Guards against calls of all daemons in a short outage of the store, while those that
// follow it keep asking, and against waiting for these without end.
func TestDaemonsLeaveOthersTimeInOutage(t *testing.T) {
	w := newTier(24, 3)
	w.run(10 * time.Second)
	w.storeDown = true
	// The last confirmation is up to silentAfter old at the start of the outage.
	const quiet = (DefaultPatience - 1) * silentAfter
	w.run(quiet)
	if reads := w.totalReads(); reads > 0 {
		t.Errorf("%d calls within %v", reads, quiet)
	}
	w.run(silentAfter + DefaultPatience*minSpread + 4*heartbeatInterval)
	if len(w.reads) < 24-w.centres {
		t.Errorf("%d daemons asked the store, want %d", len(w.reads), 24-w.centres)
	}
}

func TestAges(t *testing.T) {
	tracker := newTracker(1)
	settings, roster := int64(5), int64(9)
	tracker.State = func() (stamp.Stamp, stamp.Stamp) { return at(settings), at(roster) }
	if confirmed, attempted := tracker.Ages(start); confirmed != Unknown || attempted != Unknown {
		t.Errorf("ages %v and %v at the start", confirmed, attempted)
	}
	now := start.Add(10 * time.Second)
	for _, tt := range []struct {
		name                 string
		do                   func()
		confirmed, attempted time.Duration
		revision             int64
	}{
		{"unknown ages", func() { tracker.Merge(now, Unknown, Unknown, at(5), at(9), at(9)) }, Unknown, Unknown, 0},
		{"an attempt elsewhere", func() { tracker.Merge(now, Unknown, 3*time.Second, at(5), at(9), at(9)) }, Unknown, 3 * time.Second, 0},
		{"a confirmation", func() { tracker.Merge(now, 4*time.Second, 3*time.Second, at(5), at(9), at(9)) }, 4 * time.Second, 3 * time.Second, 9},
		{"an older one", func() { tracker.Merge(now, 5*time.Second, 5*time.Second, at(4), at(8), at(8)) }, 4 * time.Second, 3 * time.Second, 9},
		{"one of newer settings", func() { tracker.Merge(now, 3*time.Second, 2*time.Second, at(6), at(9), at(9)) }, 4 * time.Second, 3 * time.Second, 9},
		{"the newer settings", func() { settings = 6 }, 3 * time.Second, 2 * time.Second, 9},
		{"one of a newer roster", func() { tracker.Merge(now, 2*time.Second, 2*time.Second, at(6), at(10), at(10)) }, 3 * time.Second, 2 * time.Second, 9},
		{"the newer roster", func() { roster = 11 }, 2 * time.Second, 2 * time.Second, 10},
		{"an own attempt", func() { tracker.Attempt(now.Add(-time.Second)) }, 2 * time.Second, time.Second, 10},
		{"an own confirmation", func() { tracker.Confirm(now.Add(-time.Second/2), at(12)) }, time.Second / 2, time.Second / 2, 12},
	} {
		tt.do()
		if confirmed, attempted := tracker.Ages(now); confirmed != tt.confirmed || attempted != tt.attempted || tracker.Stamp().Revision != tt.revision {
			t.Errorf("after %s: confirmed %v ago, attempted %v ago, revision %d; want %v, %v, %d",
				tt.name, confirmed, attempted, tracker.Stamp().Revision, tt.confirmed, tt.attempted, tt.revision)
		}
	}
}

// Guards against calls of all daemons while registrations change so often that each
// heartbeat names a revision that its receiver gets only later.
func TestChangingStateIsConfirmed(t *testing.T) {
	const lag = 5
	tracker := newTracker(1)
	newest := int64(1)
	tracker.State = func() (settings, roster stamp.Stamp) { return at(1), at(newest - lag) }
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
		newest++
		if now.Sub(start)%heartbeatInterval == 0 {
			tracker.Merge(now, heartbeatInterval, 0, at(1), at(newest), at(newest))
		}
		if tracker.Overdue(now, 300, silentAfter) {
			t.Fatalf("overdue %v after the start", now.Sub(start))
		}
	}
}

// Guards against a daemon that hears of newer revisions, does not get them, and yet relies
// on those that ask the store.
func TestDaemonThatStaysBehindAsksTheStore(t *testing.T) {
	tracker := newTracker(1)
	tracker.Merge(start, 0, 0, at(1), at(1), at(1))
	const bound = silentAfter + minSpread + step
	for now := start; !tracker.Overdue(now, 24, silentAfter); now = now.Add(step) {
		if now.Sub(start) > bound {
			t.Fatalf("not overdue after %v", bound)
		}
		if now.Sub(start)%heartbeatInterval == 0 {
			tracker.Merge(now, 0, 0, at(2), at(1), at(1))
		}
	}
}

// Guards against a deadlock between the lock of a tracker and those of the state that it
// asks for.
func TestStateMayUseTheTracker(t *testing.T) {
	const timeout = 5 * time.Second
	tracker := New(start, 1)
	tracker.State = func() (settings, roster stamp.Stamp) { return at(0), at(0) }
	tracker.Merge(start, 0, 0, at(1), at(1), at(1))
	asking := false
	tracker.State = func() (settings, roster stamp.Stamp) {
		if !asking {
			asking = true
			defer func() { asking = false }()
			tracker.Confirm(start, tracker.Stamp())
		}
		return at(1), at(1)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		tracker.Merge(start, 0, 0, at(1), at(1), at(1))
		tracker.Ages(start)
		tracker.Overdue(start, 1, silentAfter)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
		t.Fatal("a call does not return")
	}
	if got := tracker.Stamp().Revision; got != 1 {
		t.Errorf("revision %d, want 1", got)
	}
}

// at returns the stamp of a revision in the first era.
func at(revision int64) stamp.Stamp { return stamp.Stamp{Revision: revision} }

// Guards against a claim for a new era of the store, whose revisions are lower, that confirms the state of
// the earlier one.
func TestClaimForNewEraConfirmsNoEarlierState(t *testing.T) {
	for name, newEra := range map[string]func(t *Tracker, to stamp.Stamp){
		"settings":      func(t *Tracker, to stamp.Stamp) { t.Merge(start, 0, 0, to, at(1), to) },
		"registrations": func(t *Tracker, to stamp.Stamp) { t.Merge(start, 0, 0, at(1), to, to) },
	} {
		tracker := newTracker(1)
		newEra(tracker, stamp.Stamp{Era: 1, Revision: 1})
		if confirmed, attempted := tracker.Ages(start); confirmed >= 0 || attempted >= 0 {
			t.Errorf("%s: confirmed %v ago, attempted %v ago", name, confirmed, attempted)
		}
	}
}

// A daemon gets the registrations of a revision before the settings of one below it, and tells
// others how old its last confirmation is. Guards against a daemon that takes what both have for
// complete, and that misses these settings when it asks the store for what has changed since.
func TestClaimOfDaemonThatLacksSettings(t *testing.T) {
	const before, settings, registrations = 90, 95, 100
	lacking := func(seed uint64) *Tracker {
		tracker := New(start, seed)
		tracker.State = func() (settings, roster stamp.Stamp) { return at(before), at(registrations) }
		return tracker
	}
	first, second := lacking(1), lacking(2)
	first.Merge(start, 0, 0, at(before), at(before), at(before))
	now := start.Add(time.Second)
	first.Merge(now, 0, 0, at(settings), at(registrations), at(registrations))
	confirmed, attempted := first.Ages(now)
	second.Merge(now, confirmed, attempted, at(before), at(registrations), first.Stamp())
	if got := second.Stamp(); got.After(at(settings - 1)) {
		t.Errorf("the state counts as complete up to revision %d, but the settings of %d are missing", got.Revision, settings)
	}
	if got, _ := second.Ages(now); got != time.Second {
		t.Errorf("confirmed %v ago, want %v", got, time.Second)
	}
}

// Guards against daemons that take an old confirmation for a recent one since they pass it on to each other.
func TestConfirmationAgesInACircle(t *testing.T) {
	const latency, interval = 5 * time.Millisecond, 25 * time.Millisecond
	first, second := newTracker(1), newTracker(2)
	now := start
	first.Confirm(now, at(1))
	for range 100 {
		confirmed, attempted := first.Ages(now)
		now = now.Add(latency)
		second.Merge(now, confirmed, attempted, at(1), at(1), at(1))
		first, second = second, first
		now = now.Add(interval)
	}
	if confirmed, _ := first.Ages(now); confirmed < now.Sub(start)-latency {
		t.Errorf("confirmed %v ago, was %v ago", confirmed, now.Sub(start))
	}
}
