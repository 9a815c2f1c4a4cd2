package fleet

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
)

const testDrainTimeout = 4 * time.Second

// entry returns a registration in the local region.
func entry(id, address string, born, revision int64) roster.Entry {
	return roster.Entry{ID: id, Pool: "p", Address: address, DataCentre: "here", Slots: 4, Born: born, Revision: revision}
}

// registeredPool returns a fleet with the given registrations, and the notices it gives.
func registeredPool(entries ...roster.Entry) (*Fleet, *[]Notice) {
	var notices []Notice
	f := New(Config{Service: "p", Region: "here", Registered: true, Seed: 1, OnNotice: func(_ *Target, n Notice) { notices = append(notices, n) }})
	f.SetDrainTimeout(testDrainTimeout)
	register(f, start, entries...)
	f.SetConnections(20)
	return f, &notices
}

func register(f *Fleet, now time.Time, entries ...roster.Entry) {
	f.SetEntries(now, entries, func(dataCentre string) string { return dataCentre })
}

func pickNow(f *Fleet, now time.Time, tried ...*Target) Choice {
	return NewGroup([]*Fleet{f}).pickAt(now, tried...)
}

// Guards against new work for a target that says in its answers that it leaves, whatever
// its registration says, and against the loss of a shard while its last replica may serve.
func TestLeavingTargetIsTheLastChoice(t *testing.T) {
	f, notices := registeredPool(entry("a", "1", 1, 1), entry("b", "2", 1, 1))
	a, b := f.targets["a"], f.targets["b"]
	f.RecordStatement(start, a, Statement{Leaving: true})
	f.RecordStatement(start.Add(time.Second), a, Statement{Leaving: true})
	register(f, start, entry("a", "1", 1, 9), entry("b", "2", 1, 1))
	for range 100 {
		if c := pickNow(f, start); c.Target == a || c.Verdict == Lost {
			t.Fatalf("picked %+v", c)
		}
	}
	if c := pickNow(f, start); c.Verdict != Busy {
		t.Errorf("%+v while the other replica is busy, want Busy", c)
	}
	if c := pickNow(f, start, b); c.Target != a {
		t.Errorf("retry %+v, want the target that leaves", c)
	}
	if c := NewGroup([]*Fleet{f}).Pick(start, Query{View: f.Plan(), Tried: []*Target{b}, Hedge: true}); c.Target != nil {
		t.Errorf("hedge %+v, want none", c)
	}
	if len(*notices) != 1 || (*notices)[0].Kind != NoticeLeaving || (*notices)[0].For != testDrainTimeout-drainMargin {
		t.Errorf("notices %+v", *notices)
	}
	register(f, start, entry("a", "1", 1, 9))
	last := start.Add(testDrainTimeout - drainMargin - time.Millisecond)
	if c := pickNow(f, last); c.Target != a || !a.Admit(last) {
		t.Errorf("last replica within the drain time: %+v", c)
	}
	for _, after := range []time.Duration{0, time.Second, time.Hour} {
		now := start.Add(testDrainTimeout - drainMargin + after)
		if c := pickNow(f, now); c.Verdict != Lost || a.Admit(now) || NewGroup([]*Fleet{f}).AvailableShards(now) != 0 {
			t.Errorf("%v after the drain time: %+v", after, c)
		}
	}
}

// Guards against a target that leaves being used anew since its registration lapsed and
// came back, and against another target, or a later process, being taken for it.
func TestSelfReportBelongsToOneBoot(t *testing.T) {
	late := start.Add(testDrainTimeout)
	leave := Statement{Leaving: true, Pause: time.Minute}
	tests := []struct {
		name     string
		register func(f *Fleet, old *Target)
		admitted bool
	}{
		{"lapsed and back", func(f *Fleet, old *Target) {
			f.RecordStatement(start, old, leave)
			register(f, start)
			register(f, start, entry("a", "1", 1, 7))
		}, false},
		{"said after the registration lapsed", func(f *Fleet, old *Target) {
			register(f, start)
			f.RecordStatement(start, old, leave)
			register(f, start, entry("a", "1", 1, 7))
		}, false},
		{"said after the registration came back", func(f *Fleet, old *Target) {
			register(f, start)
			register(f, start, entry("a", "1", 1, 7))
			f.RecordStatement(start, old, leave)
		}, false},
		{"new boot with the same ID and address", func(f *Fleet, old *Target) {
			f.RecordStatement(start, old, leave)
			register(f, start, entry("a", "1", 2, 7))
		}, true},
		{"late answer of the old boot", func(f *Fleet, old *Target) {
			register(f, start, entry("a", "1", 2, 7))
			f.RecordStatement(start, old, leave)
		}, true},
		{"another target with the address", func(f *Fleet, old *Target) {
			f.RecordStatement(start, old, leave)
			register(f, start, entry("other", "1", 1, 7))
		}, true},
		{"the same boot at another address", func(f *Fleet, old *Target) {
			f.RecordStatement(start, old, leave)
			register(f, start, entry("a", "2", 1, 7))
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, _ := registeredPool(entry("a", "1", 1, 1))
			old := f.targets["a"]
			tt.register(f, old)
			if old.Admit(late) {
				t.Error("the target that said so is admitted")
			}
			current := f.order[0]
			if picked := pickNow(f, late).Target == current; picked != tt.admitted || current.Admit(late) != tt.admitted {
				t.Errorf("picked %t, admitted %t, want %t", picked, current.Admit(late), tt.admitted)
			}
		})
	}
}

// Guards against memory that grows with each target that has ever left.
func TestSelfReportsAreBounded(t *testing.T) {
	f, _ := registeredPool(entry("a", "1", 1, 1))
	f.RecordStatement(start, f.targets["a"], Statement{Leaving: true})
	for i := range 3 * maxSelfReports {
		id := strconv.Itoa(i)
		register(f, start, entry("a", "1", 1, 1), entry(id, id, 1, 1))
		f.RecordStatement(start, f.targets[id], Statement{Leaving: true})
	}
	if got := len(f.selfReports.byBoot); got != maxSelfReports || len(f.selfReports.oldest) != got {
		t.Errorf("%d reports, %d boots, want %d", got, len(f.selfReports.oldest), maxSelfReports)
	}
	if f.targets["a"].Admit(start.Add(testDrainTimeout)) {
		t.Error("a registered target's report was dropped")
	}
}

// Guards against requests to a target that has asked for a pause, against a pause that
// counts as a failure, and against all waiting requests reaching it at its end.
func TestPauseIsKept(t *testing.T) {
	f, notices := registeredPool(entry("a", "1", 1, 1))
	a := pickNow(f, start).Target
	recalled := a.Recalled()
	woken := false
	g := NewGroup([]*Fleet{f})
	for pickNow(f, start).Verdict == Picked {
	}
	g.Wait(start, Query{View: g.View}, 0, func(int) { woken = true })
	said := start.Add(10 * time.Millisecond)
	f.RecordStatement(said, a, Statement{Pause: 2 * time.Second})
	f.RecordStatement(said, a, Statement{Pause: time.Second})
	f.Finish(said, a, 0, Shed, 0.01, nil)
	f.Finish(said, a, 0, Failed, 0.01, nil)
	select {
	case <-recalled:
	default:
		t.Error("requests that wait for a connection are not recalled")
	}
	if !woken {
		t.Error("requests that wait for room are not woken")
	}
	for _, at := range []time.Duration{0, time.Second, 2*time.Second - 1} {
		if c := pickNow(f, said.Add(at)); c.Verdict != Lost || a.Admit(said.Add(at)) {
			t.Errorf("after %v: %+v", at, c)
		}
	}
	in, ok := g.ResumesIn(said, 1)
	if !ok || in < 2*time.Second || in > 2*time.Second+maxResumeSpread {
		t.Errorf("resumes in %v, %t", in, ok)
	}
	if !a.fullUntil.IsZero() || a.sheds != 0 || a.failures != 0 || a.rejections.rate != 0 || !a.lostAnswerAt.IsZero() {
		t.Errorf("the pause counts against the target: %+v", a)
	}
	if len(*notices) != 1 || (*notices)[0].Kind != NoticePause || (*notices)[0].For != 2*time.Second {
		t.Errorf("notices %+v", *notices)
	}
	for a.inFlight > 0 {
		f.Finish(said, a, 0, Cancelled, 0.01, nil)
	}
	back := said.Add(in)
	for round, want := range []int{1, 2, 4, 8} {
		got := 0
		for pickNow(f, back).Verdict == Picked {
			got++
		}
		if got != want {
			t.Errorf("round %d: %d in flight, want %d", round, got, want)
		}
		back = back.Add(10 * time.Millisecond)
		for range got {
			f.Finish(back, a, 0, Success, 0.01, nil)
		}
	}
}

// Guards against all daemons taking up a target at the same moment after a pause.
func TestEndsOfAPauseAreSpread(t *testing.T) {
	const daemons = 100
	tenths := map[time.Duration]int{}
	for i := range daemons {
		f := New(Config{Service: "p", Region: "here", Registered: true, Seed: uint64(i)})
		register(f, start, entry("a", "1", 1, 1))
		f.SetConnections(20)
		f.SetDaemons(daemons)
		f.Plan()
		f.RecordStatement(start, f.targets["a"], Statement{Pause: 2 * time.Second})
		late := f.targets["a"].selfReport.resumeAt.Sub(start.Add(2 * time.Second))
		if late < 0 || late > daemons*resumeSpread {
			t.Fatalf("a daemon resumes %v after the pause", late)
		}
		tenths[late/(daemons*resumeSpread/10)]++
	}
	for tenth, count := range tenths {
		if count > daemons/4 {
			t.Errorf("%d of %d daemons resume in tenth %d of the spread", count, daemons, tenth)
		}
	}
}

// Guards against a daemon whose few replicas of a shard all leave or pause while others,
// which it doesn't use, can serve.
func TestReplicasThatPauseAreReplacedInTheSubset(t *testing.T) {
	entries := make([]roster.Entry, 8)
	for i := range entries {
		entries[i] = entry(strconv.Itoa(i), strconv.Itoa(i), 1, 1)
	}
	f, _ := registeredPool(entries...)
	f.SetDaemons(300)
	used := slices.Clone(f.Plan().Replicas[0])
	if len(used) != minSubset {
		t.Fatalf("%d replicas used", len(used))
	}
	f.RecordStatement(start, used[0], Statement{Leaving: true})
	f.RecordStatement(start, used[1], Statement{Pause: time.Second})
	if got := f.Plan().Replicas[0]; len(got) != minSubset+2 || !slices.Contains(got, used[1]) {
		t.Errorf("%d replicas while one leaves and one pauses", len(got))
	}
	now := start.Add(time.Minute)
	for used[1].selfReport.reduced() {
		used[1].inFlight++
		f.Finish(now.Add(time.Millisecond), used[1], 0, Success, 0.001, nil)
	}
	if got := f.Plan().Replicas[0]; len(got) != minSubset+1 {
		t.Errorf("%d replicas after the pause", len(got))
	}
}

// Guards against a clock step that shortens or lengthens a pause or the drain time.
func TestSelfReportUsesMonotonicTime(t *testing.T) {
	f, _ := registeredPool(entry("a", "1", 1, 1))
	a := f.targets["a"]
	f.RecordStatement(time.Now(), a, Statement{Leaving: true, Pause: time.Second})
	for name, at := range map[string]time.Time{"resume": a.selfReport.resumeAt, "drained": a.selfReport.drainedAt} {
		if !strings.Contains(at.String(), " m=") {
			t.Errorf("%s at %v has no monotonic time", name, at)
		}
	}
}

// Guards against a faulty target whose pauses fill the log.
func TestInvalidPauseIsToldOnce(t *testing.T) {
	f, notices := registeredPool(entry("a", "1", 1, 1))
	for range 3 {
		f.RecordStatement(start, f.targets["a"], Statement{InvalidPause: "soon"})
	}
	if len(*notices) != 1 || (*notices)[0].Kind != NoticeInvalidPause || (*notices)[0].Invalid != "soon" {
		t.Errorf("notices %+v", *notices)
	}
	if !f.targets["a"].Admit(start) {
		t.Error("an invalid pause withholds the target")
	}
}

// Guards against a shard being told to come back while others that are needed still pause.
func TestGroupResumesWithTheLastShardNeeded(t *testing.T) {
	fleets := make([]*Fleet, 3)
	for i := range fleets {
		fleets[i], _ = registeredPool(entry("a", "1", 1, 1), entry("b", "2", 1, 1))
		if i == 0 {
			continue
		}
		fleets[i].RecordStatement(start, fleets[i].targets["a"], Statement{Pause: time.Duration(i) * time.Second})
		fleets[i].RecordStatement(start, fleets[i].targets["b"], Statement{Pause: 10 * time.Second})
	}
	g := NewGroup(fleets)
	for shards, want := range []time.Duration{0, 0, time.Second, 2 * time.Second} {
		in, ok := g.ResumesIn(start, shards)
		if ok != (want > 0) || in < want || in > want+100*time.Millisecond {
			t.Errorf("%d shards: in %v, %t, want %v", shards, in, ok, want)
		}
	}
}
