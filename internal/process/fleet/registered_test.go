package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// pool returns a fleet with two targets: "near" in the local region and "far" in
// a remote one.
func pool() (*Fleet, *Group) {
	f := New(Config{Service: "p", Region: "here", Registered: true, Seed: 1})
	f.SetEntries(start, []roster.Entry{
		{ID: "far", Pool: "p", Address: "b", DataCentre: "there", Slots: 2, Revision: 2},
		{ID: "near", Pool: "p", Address: "a", DataCentre: "here", Slots: 2, Revision: 1},
	}, func(dataCentre string) string { return dataCentre })
	f.SetConnections(20)
	return f, NewGroup([]*Fleet{f})
}

func (g *Group) pickAt(now time.Time, tried ...*Target) Choice {
	return g.Pick(now, Query{View: g.View, Tried: tried})
}

func TestRegistrationsAddAndRemoveTargets(t *testing.T) {
	f, g := pool()
	leaving := []roster.Entry{
		{ID: "far", Pool: "p", Address: "b", DataCentre: "there", Slots: 2, Revision: 2},
		{ID: "near", Pool: "p", Address: "a", DataCentre: "here", Slots: 2, Revision: 3, Leaving: true},
	}
	if got := g.pickAt(start).Target.ID; got != "near" {
		t.Fatalf("picked %s", got)
	}
	same := func(dataCentre string) string { return dataCentre }
	f.SetEntries(start, leaving, same)
	if got := g.pickAt(start).Target.ID; got != "far" {
		t.Errorf("picked %s though it leaves", got)
	}
	if gone := f.SetEntries(start, leaving[:1], same); len(gone) != 1 || gone[0] != "near" {
		t.Errorf("gone: %v", gone)
	}
	again := []roster.Entry{{ID: "far", Pool: "p", Address: "b", DataCentre: "there", Slots: 2, Revision: 9, Born: 7}}
	old := f.targets["far"]
	f.SetEntries(start, again, same)
	if f.targets["far"] == old {
		t.Error("a restarted target keeps its record")
	}
}

// A target answers 421 because its address now belongs to another service. It
// must get no more requests, also when the pool's registrations change
// elsewhere.
func TestMisdirectedTargetGetsNoRequests(t *testing.T) {
	f, g := pool()
	near := g.pickAt(start).Target
	g.Finish(start, near, 0, Gone, 0.001, nil)
	// The other registration changes; that of the misdirected target does not.
	f.SetEntries(start, []roster.Entry{
		{ID: "far", Pool: "p", Address: "b", DataCentre: "there", Slots: 2, Revision: 5},
		{ID: "near", Pool: "p", Address: "a", DataCentre: "here", Slots: 2, Revision: 1},
	}, func(dataCentre string) string { return dataCentre })
	for range 3 {
		if got := g.pickAt(start).Target.ID; got != "far" {
			t.Errorf("picked %s", got)
		}
	}
}

// Both targets refuse connections, as after a power cut of a rack. The shard
// counts as lost at once and is tried again after minDownTime.
func TestRefusingTargetsGetNoAttempts(t *testing.T) {
	_, g := pool()
	for range 2 {
		g.Finish(start, g.pickAt(start).Target, 0, Refused, 0.001, nil)
	}
	if got := g.pickAt(start); got.Verdict != Lost || g.AvailableShards(start) != 0 {
		t.Errorf("verdict %v, %d shards up", got.Verdict, g.AvailableShards(start))
	}
	later := start.Add(minDownTime)
	if got := g.pickAt(later); got.Verdict != Picked || g.AvailableShards(later) != 1 {
		t.Errorf("later: verdict %v, %d shards up", got.Verdict, g.AvailableShards(later))
	}
}

// Each change of a target's state is reported once.
func TestStateChangesAreReported(t *testing.T) {
	f, g := pool()
	var reported []State
	f.config.OnStateChange = func(_ *Target, state State, _ Outcome) { reported = append(reported, state) }
	near := g.pickAt(start).Target
	for i, outcome := range []Outcome{Success, Refused, Refused, Success, Success, Gone} {
		f.Finish(start.Add(time.Duration(i)*time.Millisecond), near, 0, outcome, 0.001, nil)
	}
	if want := []State{StateDown, StateReady, StateLeaving}; !slices.Equal(reported, want) {
		t.Errorf("reported %v, want %v", reported, want)
	}
}

// Both targets stop answering for good. They get attempts at growing intervals,
// and full use again after the first answer.
func TestSilentTargetsAreProbed(t *testing.T) {
	_, g := pool()
	tries := 0
	var newest *Target
	const watched = 20 * time.Second
	for at := time.Duration(0); at < watched; at += 20 * time.Millisecond {
		if choice := g.pickAt(start.Add(at)); choice.Verdict == Picked {
			tries++
			newest = choice.Target
			g.Finish(start.Add(at), newest, 0, Cancelled, 0, nil)
		}
	}
	dark := int(2 * watched / maxProbeInterval)
	early := int(2*(silentAfter+time.Second)/(20*time.Millisecond)) + 8
	if tries > dark+early {
		t.Errorf("%d attempts", tries)
	}
	end := start.Add(watched)
	g.Finish(end, newest, 0, Success, 0.005, nil)
	if got := g.pickAt(end); got.Verdict != Picked || got.Target != newest {
		t.Errorf("after an answer: %+v", got)
	}
}

func TestAttemptsStayWithinTheShareOfConnections(t *testing.T) {
	f, _ := pool()
	f.SetDaemons(6)
	g := NewGroup([]*Fleet{f})
	for i := range 6 {
		if got := g.pickAt(start); got.Verdict != Picked {
			t.Fatalf("attempt %d: verdict %v", i, got.Verdict)
		}
	}
	if got := g.pickAt(start); got.Verdict != Busy {
		t.Errorf("verdict %v, want Busy", got.Verdict)
	}
}

func TestRemoteRegions(t *testing.T) {
	f, g := pool()
	if regions, remote := g.RemoteRegions(start, 0); remote {
		t.Errorf("remote regions %v although a local target is available", regions)
	}
	f.targets["near"].downUntil = start.Add(time.Second)
	if regions, remote := g.RemoteRegions(start, 0); !remote || fmt.Sprint(regions) != "[there]" {
		t.Errorf("%v %v", regions, remote)
	}
}

// In a deployment under full load, attempts that are no longer needed are
// cancelled at slow targets. At a target that is usually fast, a daemon's only
// attempt stays, since its answer shows when the target's pause ends.
func TestOnlyAttemptStaysDuringPause(t *testing.T) {
	f, g := pool()
	near := f.targets["near"]
	for range recentReplies {
		near.responses.recordReply(start, start.Add(-10*time.Millisecond))
	}
	choice := g.pickAt(start)
	if !g.OnlyAttempt(start, 0, choice.Target, 20*time.Millisecond) {
		t.Error("the only attempt does not stay in flight")
	}
	g.pickAt(start)
	if g.OnlyAttempt(start, 0, choice.Target, 20*time.Millisecond) {
		t.Error("one of two attempts stays")
	}
	g.Finish(start, near, 0, Cancelled, 0, nil)
	for i := range recentReplies {
		sent := start.Add(time.Duration(i+1) * time.Second)
		near.responses.recordReply(sent.Add(200*time.Millisecond), sent)
	}
	if g.OnlyAttempt(start, 0, choice.Target, 20*time.Millisecond) {
		t.Error("an attempt stays at a slow target")
	}
}

// Under heavy load, targets with full queues reject requests. Each gets no
// attempts for a short time; a request waits for room and keeps its attempts,
// unless another target is not much slower.
func TestFullTargetsGetNoRequests(t *testing.T) {
	_, g := pool()
	first := g.pickAt(start).Target
	second := g.pickAt(start, first).Target
	for _, target := range []*Target{first, second} {
		g.Finish(start, target, 0, Shed, 0.001, nil)
	}
	if got := g.pickAt(start.Add(minFullTime / 2)); got.Verdict != Busy {
		t.Errorf("verdict %v, want Busy", got.Verdict)
	}
	if got := g.pickAt(start.Add(minFullTime)); got.Verdict != Picked {
		t.Errorf("afterwards: verdict %v, want Picked", got.Verdict)
	}
}

// All daemons restart after a power cut while their old connections still count
// at the target. A daemon whose second connection is reset must go on with its
// first one and open no other for a while.
func TestCrowdedTargetIsUsedOverOpenConnections(t *testing.T) {
	f, _ := pool()
	f.SetEntries(start, []roster.Entry{{ID: "near", Pool: "p", Address: "a", DataCentre: "here", Slots: 2, Revision: 1}},
		func(dataCentre string) string { return dataCentre })
	g := NewGroup([]*Fleet{f})
	first, second := g.pickAt(start).Target, g.pickAt(start).Target
	g.Finish(start, second, 0, Crowded, 0.001, nil)
	if got := g.pickAt(start); got.Verdict != Busy {
		t.Errorf("verdict %v with the only open connection in use", got.Verdict)
	}
	g.Finish(start, first, 0, Success, 0.005, nil)
	if got := g.pickAt(start); got.Verdict != Picked {
		t.Errorf("verdict %v with an open connection free", got.Verdict)
	}
	if got := g.pickAt(start.Add(crowdedTime)); got.Verdict != Picked {
		t.Errorf("verdict %v after %v", got.Verdict, crowdedTime)
	}
}

// Nine daemons, three of them in the target's region, share 26 connections to a
// target with two slots. Daemons in the region get what the even share leaves
// over, up to one more than the slots, and only while the target has no queue.
func TestSharesOfConnections(t *testing.T) {
	tests := []struct {
		name           string
		connections    int
		daemons, local int
		queued         int
		want           map[string]int
	}{
		{"three of nine", 26, 9, 3, 0, map[string]int{"near": 3, "far": 2}},
		{"requests wait", 26, 9, 3, 2, map[string]int{"near": 2, "far": 2}},
		{"all are local", 26, 9, 9, 0, map[string]int{"near": 2, "far": 2}},
		{"fewer connections than daemons", 6, 9, 3, 0, map[string]int{"near": 1, "far": 1}},
		{"not known", 0, 9, 3, 0, map[string]int{"near": defaultSlots, "far": defaultSlots}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, _ := pool()
			f.SetConnections(tt.connections)
			f.SetDaemons(tt.daemons)
			f.SetLocalDaemons(tt.local)
			f.Plan()
			for id, want := range tt.want {
				target := f.targets[id]
				target.recordLoad(start, &wire.Load{Queued: tt.queued})
				got := f.registeredLimit(start, target)
				if got != want {
					t.Errorf("%s: room for %d, want %d", id, got, want)
				}
			}
			local := f.targets["near"]
			total := tt.local*f.connectionShare(local) + (tt.daemons-tt.local)*f.evenShare(local)
			if tt.connections >= tt.daemons && total > tt.connections {
				t.Errorf("all daemons together open %d of %d connections", total, tt.connections)
			}
		})
	}
}

// Guards against a target that leaves in a new era of the store, whose revisions are lower, and
// goes on getting requests.
func TestRegistrationOfNewEraCounts(t *testing.T) {
	f, g := pool()
	f.SetEntries(start, []roster.Entry{
		{ID: "far", Pool: "p", Address: "b", DataCentre: "there", Slots: 2, Revision: 2},
		{ID: "near", Pool: "p", Address: "a", DataCentre: "here", Slots: 2, Revision: 1, Era: 1, Leaving: true},
	}, func(dataCentre string) string { return dataCentre })
	if got := g.pickAt(start).Target.ID; got != "far" {
		t.Errorf("picked %s though it leaves", got)
	}
}

// Guards against a target that has said itself that it is gone, and is used again since its registration
// was read again, unchanged, in a new era of the store.
func TestRegistrationReadAgainKeepsTheTargetsWord(t *testing.T) {
	f, g := pool()
	near := g.pickAt(start).Target
	g.Finish(start, near, 0, Gone, 0.001, nil)
	f.SetEntries(start, []roster.Entry{
		{ID: "far", Pool: "p", Address: "b", DataCentre: "there", Slots: 2, Revision: 2},
		{ID: "near", Pool: "p", Address: "a", DataCentre: "here", Slots: 2, Revision: 9, Era: 1, Stated: near.Registered()},
	}, func(dataCentre string) string { return dataCentre })
	if got := g.pickAt(start).Target.ID; got != "far" {
		t.Errorf("picked %s though it has said that it is gone", got)
	}
}
