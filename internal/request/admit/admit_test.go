package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1000, 0)

// fixture is a queue that records the decisions on its tickets in order.
type fixture struct {
	queue    *Queue
	admitted []string
	refused  []string
	tickets  map[string]*Ticket
}

func newFixture(capacity int) *fixture {
	f := &fixture{queue: New(), tickets: map[string]*Ticket{}}
	f.queue.SetCapacity(start, capacity)
	// A mean run time of 100 ms.
	f.queue.meanRunTime = 0.1
	return f
}

func (f *fixture) arrive(at time.Time, name, class, caller string, priority int, wait time.Duration) {
	t := &Ticket{Class: class, Priority: priority, Caller: caller, Deadline: at.Add(wait), QueueLength: 4}
	t.Decide = func(d Decision) {
		if d.Verdict == Admitted {
			f.admitted = append(f.admitted, name)
		} else {
			f.refused = append(f.refused, name)
		}
	}
	f.tickets[name] = t
	f.queue.Arrive(at, t)
}

func (f *fixture) leave(at time.Time, name string) { f.queue.Leave(at, f.tickets[name]) }

func TestUrgentClassGoesFirst(t *testing.T) {
	f := newFixture(1)
	f.arrive(start, "running", "Curators", "c", 6, time.Second)
	f.arrive(start, "curator", "Curators", "c", 6, time.Second)
	f.arrive(start, "label", "Labels", "d", 0, time.Second)
	f.leave(start, "running")
	f.leave(start, "label")
	if got := fmt.Sprint(f.admitted); got != "[running label curator]" {
		t.Errorf("admitted %v", got)
	}
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	f := newFixture(1)
	f.arrive(start, "running", "A", "c", 5, time.Second)
	f.arrive(start, "hopeless", "A", "c", 5, 150*time.Millisecond)
	f.arrive(start, "patient", "A", "c", 5, time.Second)
	if fmt.Sprint(f.refused) != "[hopeless]" {
		t.Errorf("refused %v", f.refused)
	}
	f.leave(start, "running")
	if fmt.Sprint(f.admitted) != "[running patient]" {
		t.Errorf("admitted %v", f.admitted)
	}
}

func TestCallersOfAClassTakeTurns(t *testing.T) {
	f := newFixture(1)
	f.arrive(start, "running", "A", "x", 5, time.Minute)
	for i := range 3 {
		f.arrive(start, fmt.Sprint("greedy", i), "A", "greedy", 5, time.Minute)
	}
	f.arrive(start, "modest", "A", "modest", 5, time.Minute)
	f.leave(start, "running")
	f.leave(start, "greedy0")
	if got := fmt.Sprint(f.admitted); got != "[running greedy0 modest]" {
		t.Errorf("admitted %v", got)
	}
}

func TestFullQueueRefusesTheCallerWithMostTickets(t *testing.T) {
	f := newFixture(1)
	f.arrive(start, "running", "A", "x", 5, time.Minute)
	for i := range 5 {
		f.arrive(start, fmt.Sprint("greedy", i), "A", "greedy", 5, time.Minute)
	}
	f.arrive(start, "modest", "A", "modest", 5, time.Minute)
	if got := fmt.Sprint(f.refused); got != "[greedy4 greedy3]" {
		t.Errorf("refused %v", got)
	}
}

func TestLessUrgentClassLeavesAReserveAndStillRuns(t *testing.T) {
	f := newFixture(4)
	f.arrive(start, "label", "Labels", "d", 0, time.Minute)
	for i := range 4 {
		f.arrive(start, fmt.Sprint("curator", i), "Curators", "c", 6, time.Minute)
	}
	if got := fmt.Sprint(f.admitted); got != "[label curator0 curator1]" {
		t.Errorf("admitted %v", got)
	}
	f.arrive(start, "label2", "Labels", "d", 0, time.Minute)
	if got := f.admitted[len(f.admitted)-1]; got != "label2" {
		t.Errorf("the reserved place went to %v", got)
	}
}

func TestWaitingTicketCanLeave(t *testing.T) {
	f := newFixture(1)
	f.arrive(start, "running", "A", "c", 5, time.Minute)
	f.arrive(start, "gone", "A", "c", 5, time.Minute)
	f.leave(start, "gone")
	f.leave(start, "running")
	if _, running, waiting := f.queue.Load(); running != 0 || waiting != 0 || len(f.admitted) != 1 {
		t.Errorf("running %d, waiting %d, admitted %v", running, waiting, f.admitted)
	}
}

// For any order of arrivals and departures, at most the capacity runs, each ticket
// gets at most one decision, and no ticket waits while the queue is idle.
func TestQueueInvariants(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(5))
	properties.Property("capacity, single decisions, no waiting while idle", prop.ForAll(func(steps []int) bool {
		f := newFixture(3)
		at := start
		for i, step := range steps {
			at = at.Add(time.Duration(step%40) * time.Millisecond)
			name := fmt.Sprint(i)
			if step%3 == 0 && len(f.admitted) > 0 {
				f.leave(at, f.admitted[step%len(f.admitted)])
			} else {
				f.arrive(at, name, []string{"A", "B"}[step%2], fmt.Sprint("c", step%5), step%10, time.Duration(step%1000)*time.Millisecond)
			}
			capacity, running, waiting := f.queue.Load()
			idle := running == 0 && waiting > 0
			if running > capacity || idle || len(f.admitted)+len(f.refused)+waiting > len(f.tickets) {
				return false
			}
		}
		return true
	}, gen.SliceOfN(150, gen.IntRange(0, 100000))))
	properties.TestingRun(t)
}

// Guards against a deadlock between the lock of a queue and others: a decision may make its
// receiver use the queue, as one that leaves at once does.
func TestDecideMayUseTheQueue(t *testing.T) {
	const timeout = 5 * time.Second
	q := New()
	var decided []Verdict
	ticket := func(wait time.Duration) *Ticket {
		ticket := &Ticket{Class: "A", Caller: "c", Deadline: start.Add(wait), QueueLength: 1}
		ticket.Decide = func(d Decision) {
			decided = append(decided, d.Verdict)
			q.Leave(start, ticket)
		}
		return ticket
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		q.Arrive(start, ticket(time.Second))
		q.Arrive(start, ticket(time.Second))
		running := ticket(time.Second)
		running.Decide = func(Decision) {}
		q.Arrive(start, running)
		q.Arrive(start, ticket(time.Second))
		q.Arrive(start, ticket(-time.Second))
		q.Leave(start, running)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
		t.Fatal("a call does not return")
	}
	if got, want := fmt.Sprint(decided), fmt.Sprint([]Verdict{Admitted, Admitted, TooLate, Admitted}); got != want {
		t.Errorf("decided %v, want %v", got, want)
	}
}
