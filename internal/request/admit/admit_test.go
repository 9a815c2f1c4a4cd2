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
	l := &fixture{queue: New(), tickets: map[string]*Ticket{}}
	l.queue.SetCapacity(start, capacity)
	// A mean run time of 100 ms.
	l.queue.meanRunTime = 0.1
	return l
}

func (l *fixture) arrive(at time.Time, name, class, caller string, priority int, wait time.Duration) {
	t := &Ticket{Class: class, Priority: priority, Caller: caller, Deadline: at.Add(wait), QueueLength: 4}
	t.Decide = func(d Decision) {
		if d.Verdict == Admitted {
			l.admitted = append(l.admitted, name)
		} else {
			l.refused = append(l.refused, name)
		}
	}
	l.tickets[name] = t
	l.queue.Arrive(at, t)
}

func (l *fixture) leave(at time.Time, name string) { l.queue.Leave(at, l.tickets[name]) }

func TestUrgentClassGoesFirst(t *testing.T) {
	l := newFixture(1)
	l.arrive(start, "running", "Curators", "c", 6, time.Second)
	l.arrive(start, "curator", "Curators", "c", 6, time.Second)
	l.arrive(start, "label", "Labels", "d", 0, time.Second)
	l.leave(start, "running")
	l.leave(start, "label")
	if got := fmt.Sprint(l.admitted); got != "[running label curator]" {
		t.Errorf("admitted %v", got)
	}
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	l := newFixture(1)
	l.arrive(start, "running", "A", "c", 5, time.Second)
	l.arrive(start, "hopeless", "A", "c", 5, 150*time.Millisecond)
	l.arrive(start, "patient", "A", "c", 5, time.Second)
	if fmt.Sprint(l.refused) != "[hopeless]" {
		t.Errorf("refused %v", l.refused)
	}
	l.leave(start, "running")
	if fmt.Sprint(l.admitted) != "[running patient]" {
		t.Errorf("admitted %v", l.admitted)
	}
}

func TestCallersOfAClassTakeTurns(t *testing.T) {
	l := newFixture(1)
	l.arrive(start, "running", "A", "x", 5, time.Minute)
	for i := range 3 {
		l.arrive(start, fmt.Sprint("greedy", i), "A", "greedy", 5, time.Minute)
	}
	l.arrive(start, "modest", "A", "modest", 5, time.Minute)
	l.leave(start, "running")
	l.leave(start, "greedy0")
	if got := fmt.Sprint(l.admitted); got != "[running greedy0 modest]" {
		t.Errorf("admitted %v", got)
	}
}

func TestFullQueueRefusesTheCallerWithMostTickets(t *testing.T) {
	l := newFixture(1)
	l.arrive(start, "running", "A", "x", 5, time.Minute)
	for i := range 5 {
		l.arrive(start, fmt.Sprint("greedy", i), "A", "greedy", 5, time.Minute)
	}
	l.arrive(start, "modest", "A", "modest", 5, time.Minute)
	if got := fmt.Sprint(l.refused); got != "[greedy4 greedy3]" {
		t.Errorf("refused %v", got)
	}
}

func TestLessUrgentClassLeavesAReserveAndStillRuns(t *testing.T) {
	l := newFixture(4)
	l.arrive(start, "label", "Labels", "d", 0, time.Minute)
	for i := range 4 {
		l.arrive(start, fmt.Sprint("curator", i), "Curators", "c", 6, time.Minute)
	}
	if got := fmt.Sprint(l.admitted); got != "[label curator0 curator1]" {
		t.Errorf("admitted %v", got)
	}
	l.arrive(start, "label2", "Labels", "d", 0, time.Minute)
	if got := l.admitted[len(l.admitted)-1]; got != "label2" {
		t.Errorf("the reserved place went to %v", got)
	}
}

func TestWaitingTicketCanLeave(t *testing.T) {
	l := newFixture(1)
	l.arrive(start, "running", "A", "c", 5, time.Minute)
	l.arrive(start, "gone", "A", "c", 5, time.Minute)
	l.leave(start, "gone")
	l.leave(start, "running")
	if _, running, waiting := l.queue.Load(); running != 0 || waiting != 0 || len(l.admitted) != 1 {
		t.Errorf("running %d, waiting %d, admitted %v", running, waiting, l.admitted)
	}
}

// For any order of arrivals and departures, at most the capacity runs, each ticket
// gets at most one decision, and no ticket waits while the queue is idle.
func TestQueueInvariants(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(5))
	properties.Property("capacity, single decisions, no waiting while idle", prop.ForAll(func(steps []int) bool {
		l := newFixture(3)
		at := start
		for i, step := range steps {
			at = at.Add(time.Duration(step%40) * time.Millisecond)
			name := fmt.Sprint(i)
			if step%3 == 0 && len(l.admitted) > 0 {
				l.leave(at, l.admitted[step%len(l.admitted)])
			} else {
				l.arrive(at, name, []string{"A", "B"}[step%2], fmt.Sprint("c", step%5), step%10, time.Duration(step%1000)*time.Millisecond)
			}
			capacity, running, waiting := l.queue.Load()
			idle := running == 0 && waiting > 0
			if running > capacity || idle || len(l.admitted)+len(l.refused)+waiting > len(l.tickets) {
				return false
			}
		}
		return true
	}, gen.SliceOfN(150, gen.IntRange(0, 100000))))
	properties.TestingRun(t)
}
