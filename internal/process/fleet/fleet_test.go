package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

var start = time.Unix(1000, 0)

// status returns the status of a searcher that holds some shards of one
// version.
func status(version uint64, count int, shards ...int) *wire.TargetStatus {
	return &wire.TargetStatus{
		Incarnation: "1", Slots: 4, Connections: 40,
		Indexes: []wire.Index{{Service: "S", Version: version, ShardCount: count, Shards: shards}},
	}
}

// fleetOf returns a fleet with targets t0, t1 and so on, each with the only
// shard of version 1.
func fleetOf(replicas int) *Fleet {
	f := New(Config{Deployment: "D", Service: "S", Seed: 1})
	var hosts []wire.Host
	for r := range replicas {
		hosts = append(hosts, wire.Host{Address: fmt.Sprint("t", r), DataCentre: "dc", Rack: fmt.Sprint("r", r)})
	}
	f.SetHosts(start, hosts)
	for r := range replicas {
		f.Report(start, fmt.Sprint("t", r), status(1, 1, 0))
	}
	return f
}

func pick(f *Fleet, tried ...*Target) Choice {
	return f.Pick(start, Query{View: f.Plan(), Shard: 0, Tried: tried})
}

func TestPlanReturnsNewestCompleteVersion(t *testing.T) {
	tests := []struct {
		name     string
		statuses []*wire.TargetStatus
		want     uint64
		lost     int
	}{
		{"one version", []*wire.TargetStatus{status(1, 2, 0, 1)}, 1, 0},
		{"newer but incomplete", []*wire.TargetStatus{status(1, 2, 0, 1), status(2, 2, 0)}, 1, 0},
		{"newer and complete", []*wire.TargetStatus{status(1, 2, 0, 1), status(2, 2, 0, 1)}, 2, 0},
		{"newer with another number of shards", []*wire.TargetStatus{status(1, 2, 0, 1), status(2, 1, 0)}, 2, 0},
		{
			"newer on too few replicas",
			[]*wire.TargetStatus{status(1, 1, 0), status(1, 1, 0), status(1, 1, 0), status(2, 1, 0)},
			1, 0,
		},
		{"none complete", []*wire.TargetStatus{status(1, 3, 0, 1), status(2, 3, 2)}, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := New(Config{Service: "S"})
			var hosts []wire.Host
			for i := range tt.statuses {
				hosts = append(hosts, wire.Host{Address: fmt.Sprint("t", i)})
			}
			f.SetHosts(start, hosts)
			for i, s := range tt.statuses {
				f.Report(start, fmt.Sprint("t", i), s)
			}
			view := f.Plan()
			if view.Version != tt.want || len(view.Lost()) != tt.lost {
				t.Errorf("version %d with %d lost, want %d with %d", view.Version, len(view.Lost()), tt.want, tt.lost)
			}
		})
	}
}

func TestPickVerdicts(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(f *Fleet) []*Target
		want    Verdict
	}{
		{"one free", func(*Fleet) []*Target { return nil }, Picked},
		{"all at their limit", func(f *Fleet) []*Target {
			pick(f)
			pick(f)
			return nil
		}, Busy},
		{"all tried", func(f *Fleet) []*Target {
			a := pick(f).Target
			b := pick(f, a).Target
			for _, x := range []*Target{a, b} {
				f.Finish(start, x, 0, Failed, 0, nil)
			}
			return []*Target{a, b}
		}, Exhausted},
		{"all down", func(f *Fleet) []*Target {
			f.Unreachable("t0", true)
			f.Unreachable("t1", true)
			return nil
		}, Lost},
		{"all silent, still used", func(f *Fleet) []*Target {
			f.Unreachable("t0", false)
			f.Unreachable("t1", false)
			return nil
		}, Picked},
		{"all leaving", func(f *Fleet) []*Target {
			f.SetHosts(start, []wire.Host{{Address: "t0", Leaving: true}, {Address: "t1", Leaving: true}})
			return nil
		}, Lost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := fleetOf(2)
			f.SetDaemons(4)
			view := f.Plan()
			tried := tt.prepare(f)
			if got := f.Pick(start, Query{View: view, Shard: 0, Tried: tried}); got.Verdict != tt.want {
				t.Errorf("verdict %v, want %v", got.Verdict, tt.want)
			}
		})
	}
}

func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	for _, how := range []string{"host list", "status", "reply", "refusal"} {
		t.Run(how, func(t *testing.T) {
			f := fleetOf(2)
			leaving := f.targets["t0"]
			switch how {
			case "host list":
				f.SetHosts(start, []wire.Host{{Address: "t0", Leaving: true}, {Address: "t1"}})
			case "status":
				s := status(1, 1, 0)
				s.Load.Draining = true
				f.Report(start, "t0", s)
			case "reply":
				leaving.inFlight++
				f.Finish(start, leaving, 0, Success, 0.01, &wire.Load{Draining: true})
			case "refusal":
				leaving.inFlight++
				f.Finish(start, leaving, 0, Draining, 0.01, nil)
			}
			for range 3 {
				if got := pick(f); got.Target == leaving {
					t.Fatal("the leaving target was picked")
				}
			}
		})
	}
}

// A target that sends replies is not polled, except when a reply shows that its
// index has changed and, at long intervals, as a routine.
func TestChangedIndexIsPolledUnderTraffic(t *testing.T) {
	f := fleetOf(1)
	const interval = time.Second
	f.PollDue(start, interval)
	reply := func(at time.Time, generation uint64) {
		target := f.targets["t0"]
		target.inFlight++
		f.Finish(at, target, 0, Success, 0.001, &wire.Load{Generation: generation})
	}
	at := start.Add(1500 * time.Millisecond)
	reply(at, 0)
	if due := f.PollDue(at, interval); len(due) != 0 {
		t.Errorf("polled %v although they send replies", due)
	}
	reply(at, 1)
	if due := f.PollDue(at, interval); len(due) != 1 {
		t.Error("not polled although the index has changed")
	}
	at = at.Add(pollFactor * interval)
	reply(at, 0)
	f.Report(at, "t0", status(1, 1, 0))
	if due := f.PollDue(at, interval); len(due) != 1 {
		t.Error("never polled while it sends replies")
	}
}

func TestLastReplicaIsNotEjected(t *testing.T) {
	f := fleetOf(2)
	fail := func(at *Target) {
		for range ejectAfter {
			at.inFlight++
			f.Finish(start, at, 0, Failed, 0.01, nil)
		}
	}
	fail(f.targets["t0"])
	for range 4 {
		c := pick(f)
		if c.Target != f.targets["t1"] {
			t.Fatalf("picked %v while t0 is ejected", c.Target)
		}
		f.Finish(start, c.Target, 0, Success, 0.01, nil)
	}
	fail(f.targets["t1"])
	if got := pick(f); got.Verdict != Picked {
		t.Errorf("verdict %v when all are ejected", got.Verdict)
	}
}

func TestSlowTargetIsAvoided(t *testing.T) {
	f := fleetOf(3)
	for name, target := range f.targets {
		latency := 0.005
		if name == "t1" {
			latency = 0.1
		}
		target.inFlight++
		f.Finish(start, target, 0, Success, latency, nil)
	}
	slow := 0
	for range 300 {
		c := pick(f)
		if c.Target.Address == "t1" {
			slow++
		}
		f.Finish(start, c.Target, 0, Gone, 0, nil)
	}
	if slow > 0 {
		t.Errorf("the slow target was picked %d times of 300", slow)
	}
}

// A restarted target is slow at first: it gets no attempts just after its
// restart, and some after a while, even before it has answered.
func TestRestartedTargetGetsFewerAttempts(t *testing.T) {
	f := fleetOf(3)
	for _, target := range f.targets {
		target.inFlight++
		f.Finish(start, target, 0, Success, 0.005, nil)
	}
	again := status(1, 1, 0)
	again.Incarnation = "2"
	f.Report(start, "t1", again)
	picks := func(at time.Time) int {
		cold := 0
		for range 300 {
			// Each of the other targets has one attempt in flight, as under
			// steady traffic.
			f.targets["t0"].inFlight, f.targets["t2"].inFlight = 1, 1
			c := f.Pick(at, Query{View: f.Plan(), Shard: 0})
			if c.Target.Address == "t1" {
				cold++
			}
			f.Finish(at, c.Target, 0, Gone, 0, nil)
		}
		return cold
	}
	if got := picks(start.Add(100 * time.Millisecond)); got > 0 {
		t.Errorf("picked %d times of 300 just after its restart", got)
	}
	if got := picks(start.Add(10 * time.Second)); got == 0 {
		t.Error("got no attempts long after its restart")
	}
}

func TestSharesOfSlotsAddUp(t *testing.T) {
	tests := []struct{ slots, daemons, most int }{{6, 2, 6}, {6, 3, 6}, {4, 8, 8}, {2, 9, 9}}
	for _, tt := range tests {
		f := fleetOf(1)
		f.targets["t0"].slots = tt.slots
		f.targets["t0"].limit = 1
		f.SetDaemons(tt.daemons)
		f.Plan()
		sum := 0
		for range tt.daemons {
			sum += f.polledLimit(f.targets["t0"])
		}
		if sum > tt.most {
			t.Errorf("%d daemons may have %d attempts in flight at a target with %d slots", tt.daemons, sum, tt.slots)
		}
	}
}

// Each of many daemons uses a few replicas of a shard. All daemons together
// must stay within the connections of every target, and every replica must be
// used.
func TestSubsetsOfManyDaemons(t *testing.T) {
	const daemons, replicas, connections = 400, 60, 40
	used := map[string]int{}
	for d := range daemons {
		var targets []*Target
		for r := range replicas {
			targets = append(targets, &Target{Address: fmt.Sprint("t", r), state: StateReady, connections: connections})
		}
		v := &View{Replicas: [][]*Target{targets}}
		if sharers := v.restrict(fmt.Sprint("d", d), daemons); sharers > connections {
			t.Fatalf("%d daemons expected at a target", sharers)
		}
		if len(v.Replicas[0]) < minSubset {
			t.Fatalf("daemon %d uses %d replicas", d, len(v.Replicas[0]))
		}
		for _, x := range v.Replicas[0] {
			used[x.Address]++
		}
	}
	for address, count := range used {
		if count > connections {
			t.Errorf("%d daemons use %s, over its %d connections", count, address, connections)
		}
	}
	if len(used) != replicas {
		t.Errorf("only %d of %d replicas are used", len(used), replicas)
	}
}

func TestWaitersAreWokenByPriority(t *testing.T) {
	f := fleetOf(1)
	f.SetDaemons(4)
	busy := pick(f).Target
	q := Query{View: f.Plan(), Shard: 0}
	var woken []string
	f.Wait(start, q, 5, func(int) { woken = append(woken, "curator") })
	f.Wait(start, q, 0, func(int) { woken = append(woken, "label") })
	giveUp := f.Wait(start, q, 0, func(int) { woken = append(woken, "gone") })
	giveUp()
	for range 3 {
		f.Finish(start, busy, 0, Success, 0.01, nil)
		busy.inFlight++
	}
	if got := fmt.Sprint(woken); got != "[label curator]" {
		t.Errorf("woken %v", got)
	}
}

// If an attempt ends between a Pick that returned Busy and the call of Wait,
// the waiter must be woken at once, since no later event may wake it.
func TestWaitWakesAtOnceIfThereIsRoom(t *testing.T) {
	f := fleetOf(1)
	f.SetDaemons(4)
	busy := pick(f).Target
	if got := pick(f); got.Verdict != Busy {
		t.Fatalf("verdict %v", got.Verdict)
	}
	f.Finish(start, busy, 0, Success, 0.01, nil)
	woken := false
	f.Wait(start, Query{View: f.Plan(), Shard: 0}, 5, func(int) { woken = true })
	if !woken {
		t.Error("waits although there is room")
	}
}

func BenchmarkPickAndFinish(b *testing.B) {
	f := fleetOf(3)
	view := f.Plan()
	settings := *tree.Default()
	f.Configure(&settings)
	b.ReportAllocs()
	for b.Loop() {
		c := f.Pick(start, Query{View: view, Shard: 0})
		f.Finish(start, c.Target, 0, Success, 0.005, nil)
	}
}
