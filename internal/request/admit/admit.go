package admit

import (
	"math"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/calls"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

const (
	// durationWeight is the weight of a new sample in the mean run time and in its
	// mean deviation. A run is expected to end within the mean plus
	// deviationFactor times the mean deviation.
	durationWeight  = 0.1
	deviationFactor = 3
	// lowPriorityCycle is a number of admissions. One in each cycle goes to the
	// least urgent waiting class if none of its requests runs, so that this class
	// always makes progress.
	lowPriorityCycle = 10
	// reserveShare is the share of the capacity that is kept free of less urgent
	// classes while a more urgent class is active.
	reserveShare = 0.25
	// activeWindow is how long a class counts as active after an arrival.
	activeWindow = time.Second
	// minRetryAfter is the minimum of Decision.RetryAfter for a refusal.
	minRetryAfter = 10 * time.Millisecond
)

// Verdict is the decision on a ticket.
type Verdict int

// The verdicts.
const (
	// Admitted means that the request runs; Leave must follow.
	Admitted Verdict = iota
	// Full means that the queue of the class is full.
	Full
	// TooLate means that the request could not meet its deadline.
	TooLate
)

// Decision is passed to Ticket.Decide.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the delay after which a refused request may be admitted.
	RetryAfter time.Duration
}

// Ticket is one request for admission.
type Ticket struct {
	Class    string
	Priority int
	Caller   string
	Deadline time.Time
	// QueueLength is the maximum number of waiting tickets of the class.
	QueueLength int
	// Decide is called with the decision, at most once. It may use the queue.
	Decide func(Decision)

	started time.Time
	running bool
	waiting bool
}

// Queue is the admission queue of one service. Its methods may be called from
// any goroutine.
type Queue struct {
	mu         mutex.Mutex
	capacity   int
	running    int
	classes    map[string]*class
	admissions int
	// meanRunTime and runTimeDeviation are in seconds.
	meanRunTime      float64
	runTimeDeviation float64
	// calls are those of Ticket.Decide, which are made without mu.
	calls calls.Queue
}

// New returns a queue with a capacity of one.
func New() *Queue {
	return &Queue{capacity: 1, classes: map[string]*class{}}
}

// SetCapacity sets how many requests may run at once. The minimum is one.
func (q *Queue) SetCapacity(now time.Time, capacity int) {
	q.mu.Lock()
	defer q.calls.Unlock(&q.mu)
	q.capacity = max(capacity, 1)
	q.admitWaiting(now)
}

// Arrive admits, queues or refuses a ticket.
func (q *Queue) Arrive(now time.Time, t *Ticket) {
	q.mu.Lock()
	defer q.calls.Unlock(&q.mu)
	c := q.class(t)
	c.lastArrival = now
	if q.waitingAhead(t.Priority) == 0 && q.mayRun(now, c) {
		q.admit(now, c, t)
		return
	}
	wait := q.expectedWait(c, t)
	if now.Add(wait + q.likelyRunTime()).After(t.Deadline) {
		q.decide(t, Decision{Verdict: TooLate, RetryAfter: max(wait, minRetryAfter)})
		return
	}
	if c.waiting >= t.QueueLength && !q.makeRoom(c, t, wait) {
		q.decide(t, Decision{Verdict: Full, RetryAfter: max(wait, minRetryAfter)})
		return
	}
	t.waiting = true
	c.push(t)
}

// Leave ends an admitted request, or removes a waiting one without calling its
// Decide. It reports whether the ticket was admitted and had not left before.
func (q *Queue) Leave(now time.Time, t *Ticket) bool {
	q.mu.Lock()
	defer q.calls.Unlock(&q.mu)
	c := q.class(t)
	if t.waiting {
		t.waiting = false
		c.remove(t)
		return false
	}
	if !t.running {
		return false
	}
	t.running = false
	q.running--
	c.running--
	q.recordRunTime(now.Sub(t.started).Seconds())
	q.admitWaiting(now)
	return true
}

// Load returns the capacity and the numbers of running and waiting requests.
func (q *Queue) Load() (capacity, running, waiting int) {
	q.mu.Lock()
	defer q.calls.Unlock(&q.mu)
	for _, c := range q.classes {
		waiting += c.waiting
	}
	return q.capacity, q.running, waiting
}

func (q *Queue) class(t *Ticket) *class {
	c := q.classes[t.Class]
	if c == nil {
		c = newClass()
		q.classes[t.Class] = c
	}
	c.priority = t.Priority
	return c
}

func (q *Queue) recordRunTime(seconds float64) {
	if q.meanRunTime == 0 {
		q.meanRunTime = seconds
		return
	}
	q.runTimeDeviation += durationWeight * (math.Abs(seconds-q.meanRunTime) - q.runTimeDeviation)
	q.meanRunTime += durationWeight * (seconds - q.meanRunTime)
}

// likelyRunTime returns the time within which a run is likely to end.
func (q *Queue) likelyRunTime() time.Duration {
	return time.Duration((q.meanRunTime + deviationFactor*q.runTimeDeviation) * float64(time.Second))
}

// mayRun reports whether the class may start one more request. While a more
// urgent class is active, less urgent classes leave a reserve of the capacity
// free. A class with no running request may use one place of the reserve.
func (q *Queue) mayRun(now time.Time, c *class) bool {
	if q.running >= q.capacity {
		return false
	}
	if q.capacity < 2 || !q.moreUrgentActive(now, c) {
		return true
	}
	reserve := max(1, int(reserveShare*float64(q.capacity)))
	return q.running < q.capacity-reserve || c.running == 0 && q.running < q.capacity-reserve+1
}

func (q *Queue) moreUrgentActive(now time.Time, c *class) bool {
	for _, other := range q.classes {
		if other.priority < c.priority && now.Sub(other.lastArrival) < activeWindow {
			return true
		}
	}
	return false
}

func (q *Queue) waitingAhead(priority int) int {
	count := 0
	for _, c := range q.classes {
		if c.priority <= priority {
			count += c.waiting
		}
	}
	return count
}

// expectedWait returns the time until the ticket would start: the number of
// tickets ahead of it, divided by the rate at which requests are started.
func (q *Queue) expectedWait(c *class, t *Ticket) time.Duration {
	ahead := c.ahead(t.Caller)
	for _, other := range q.classes {
		if other != c && other.priority <= c.priority {
			ahead += other.waiting
		}
	}
	return time.Duration(float64(ahead+1) / float64(q.capacity) * q.meanRunTime * float64(time.Second))
}

// makeRoom refuses the newest ticket of the caller with the most waiting tickets,
// and reports whether it did. It refuses none if the caller of the arriving ticket
// would have at least as many waiting tickets, counting the arriving one.
func (q *Queue) makeRoom(c *class, t *Ticket, wait time.Duration) bool {
	longest := c.longest()
	if longest == nil || len(longest.tickets) <= c.count(t.Caller)+1 {
		return false
	}
	evicted := longest.tickets[len(longest.tickets)-1]
	evicted.waiting = false
	c.remove(evicted)
	q.decide(evicted, Decision{Verdict: Full, RetryAfter: max(wait, minRetryAfter)})
	return true
}

func (q *Queue) decide(t *Ticket, d Decision) {
	q.calls.Add(func() { t.Decide(d) })
}

func (q *Queue) admit(now time.Time, c *class, t *Ticket) {
	t.waiting = false
	t.running = true
	t.started = now
	q.running++
	c.running++
	q.admissions++
	q.decide(t, Decision{Verdict: Admitted})
}

// admitWaiting admits waiting tickets while the capacity allows it.
func (q *Queue) admitWaiting(now time.Time) {
	for q.running < q.capacity {
		c := q.nextClass(now)
		if c == nil {
			return
		}
		t := c.pop()
		if now.Add(q.likelyRunTime()).After(t.Deadline) {
			t.waiting = false
			q.decide(t, Decision{Verdict: TooLate, RetryAfter: minRetryAfter})
			continue
		}
		q.admit(now, c, t)
	}
}

// nextClass returns the class to start a ticket of: the most urgent one that may
// run, or once in lowPriorityCycle admissions the least urgent one. It returns nil
// if there is none.
func (q *Queue) nextClass(now time.Time) *class {
	var mostUrgent, leastUrgent *class
	for _, c := range q.classes {
		if c.waiting == 0 {
			continue
		}
		if leastUrgent == nil || c.priority > leastUrgent.priority {
			leastUrgent = c
		}
		if (mostUrgent == nil || c.priority < mostUrgent.priority) && q.mayRun(now, c) {
			mostUrgent = c
		}
	}
	if leastUrgent != nil && leastUrgent.running == 0 && q.admissions%lowPriorityCycle == lowPriorityCycle-1 {
		return leastUrgent
	}
	return mostUrgent
}
