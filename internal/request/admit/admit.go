package admit

import (
	"math"
	"sync"
	"time"
)

const (
	// durationWeight is the weight of a new sample in the mean run time and in
	// its deviation, and deviations how many of the latter a run may take beyond
	// the mean before it counts as unlikely.
	durationWeight = 0.1
	deviations     = 3
	// lowTurn is how often the least urgent waiting class is started first,
	// so that it makes progress whatever the others do.
	lowTurn = 10
	// reserveShare is the part of the capacity that less urgent classes leave
	// free while a more urgent one is active.
	reserveShare = 0.25
	// activeFor is how long a class counts as active after an arrival.
	activeFor = time.Second
	// leastRetry is the least time that a refused caller is told to wait.
	leastRetry = 10 * time.Millisecond
)

// Verdict is what became of a ticket.
type Verdict int

// The verdicts.
const (
	// Admitted means that the request runs; Leave must follow.
	Admitted Verdict = iota
	// Full means that the queue of the class is full.
	Full
	// TooLate means that the deadline can not be met.
	TooLate
)

// Decision is passed to Ticket.Decide.
type Decision struct {
	Verdict Verdict
	// RetryAfter is when a refused request has a chance.
	RetryAfter time.Duration
}

// Ticket is one request before the queue.
type Ticket struct {
	Class    string
	Priority int
	Caller   string
	Deadline time.Time
	// QueueLength bounds the waiting tickets of the class.
	QueueLength int
	// Decide receives the decision, once.
	Decide func(Decision)

	started time.Time
	running bool
	waiting bool
}

// Queue is the state of one service's admission. Its methods may be called
// from any goroutine.
type Queue struct {
	mu       sync.Mutex
	capacity int
	running  int
	classes  map[string]*class
	starts   int
	// duration and deviation describe the run time, in seconds.
	duration  float64
	deviation float64
}

// New returns a queue with a capacity of one.
func New() *Queue {
	return &Queue{capacity: 1, classes: map[string]*class{}}
}

// SetCapacity sets how many requests may run at once; at least one.
func (q *Queue) SetCapacity(now time.Time, capacity int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = max(capacity, 1)
	q.start(now)
}

// Arrive decides on a ticket or makes it wait.
func (q *Queue) Arrive(now time.Time, t *Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.class(t)
	c.active = now
	if q.waitingAhead(t.Priority) == 0 && q.mayRun(now, c) {
		q.admit(now, c, t)
		return
	}
	wait := q.expectedWait(c, t)
	if now.Add(wait + q.needed()).After(t.Deadline) {
		t.Decide(Decision{Verdict: TooLate, RetryAfter: max(wait, leastRetry)})
		return
	}
	if c.waiting >= t.QueueLength && !q.makeRoom(c, t, wait) {
		t.Decide(Decision{Verdict: Full, RetryAfter: max(wait, leastRetry)})
		return
	}
	t.waiting = true
	c.push(t)
}

// Leave ends an admitted request, or gives up a waiting one; the latter is not
// told a decision. It reports whether the ticket had been admitted.
func (q *Queue) Leave(now time.Time, t *Ticket) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
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
	q.learn(now.Sub(t.started).Seconds())
	q.start(now)
	return true
}

// Load returns the capacity and the requests running and waiting.
func (q *Queue) Load() (capacity, running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
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

func (q *Queue) learn(seconds float64) {
	if q.duration == 0 {
		q.duration = seconds
		return
	}
	q.deviation += durationWeight * (math.Abs(seconds-q.duration) - q.deviation)
	q.duration += durationWeight * (seconds - q.duration)
}

// needed is the time that a run is likely to end within.
func (q *Queue) needed() time.Duration {
	return time.Duration((q.duration + deviations*q.deviation) * float64(time.Second))
}

// mayRun reports whether the class may start one more: less urgent classes
// leave a reserve while a more urgent one is active.
func (q *Queue) mayRun(now time.Time, c *class) bool {
	if q.running >= q.capacity {
		return false
	}
	if q.capacity < 2 || !q.urgentActive(now, c) {
		return true
	}
	reserve := max(1, int(reserveShare*float64(q.capacity)))
	return q.running < q.capacity-reserve || c.running == 0 && q.running < q.capacity-reserve+1
}

func (q *Queue) urgentActive(now time.Time, c *class) bool {
	for _, other := range q.classes {
		if other.priority < c.priority && now.Sub(other.active) < activeFor {
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

// expectedWait is the time until the ticket would start: the tickets that go
// before it, divided by the rate at which the capacity takes them.
func (q *Queue) expectedWait(c *class, t *Ticket) time.Duration {
	ahead := c.ahead(t.Caller)
	for _, other := range q.classes {
		if other != c && other.priority <= c.priority {
			ahead += other.waiting
		}
	}
	return time.Duration(float64(ahead+1) / float64(q.capacity) * q.duration * float64(time.Second))
}

// makeRoom refuses the newest ticket of the caller that waits with most, if
// the arriving one's caller waits with fewer.
func (q *Queue) makeRoom(c *class, t *Ticket, wait time.Duration) bool {
	longest := c.longest()
	if longest == nil || len(longest.tickets) <= c.count(t.Caller)+1 {
		return false
	}
	victim := longest.tickets[len(longest.tickets)-1]
	victim.waiting = false
	c.remove(victim)
	victim.Decide(Decision{Verdict: Full, RetryAfter: max(wait, leastRetry)})
	return true
}

func (q *Queue) admit(now time.Time, c *class, t *Ticket) {
	t.waiting = false
	t.running = true
	t.started = now
	q.running++
	c.running++
	q.starts++
	t.Decide(Decision{Verdict: Admitted})
}

// start admits waiting tickets while there is room.
func (q *Queue) start(now time.Time) {
	for q.running < q.capacity {
		c := q.next(now)
		if c == nil {
			return
		}
		t := c.pop()
		if now.Add(q.needed()).After(t.Deadline) {
			t.waiting = false
			t.Decide(Decision{Verdict: TooLate, RetryAfter: leastRetry})
			continue
		}
		q.admit(now, c, t)
	}
}

// next chooses the class to start from: the most urgent, and now and then the
// least urgent.
func (q *Queue) next(now time.Time) *class {
	var first, last *class
	for _, c := range q.classes {
		if c.waiting == 0 {
			continue
		}
		if last == nil || c.priority > last.priority {
			last = c
		}
		if (first == nil || c.priority < first.priority) && q.mayRun(now, c) {
			first = c
		}
	}
	if last != nil && last.running == 0 && q.starts%lowTurn == lowTurn-1 {
		return last
	}
	return first
}
