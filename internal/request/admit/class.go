package admit

import "time"

// callerQueue holds the waiting tickets of one caller, oldest first.
type callerQueue struct {
	caller  string
	tickets []*Ticket
}

// class holds the waiting tickets of one class. Its callers take turns.
type class struct {
	priority    int
	lastArrival time.Time
	running     int
	waiting     int
	byCaller    map[string]*callerQueue
	// rotation holds the callers with waiting tickets, the next one first.
	rotation []*callerQueue
}

func newClass() *class { return &class{byCaller: map[string]*callerQueue{}} }

func (c *class) push(t *Ticket) {
	q := c.byCaller[t.Caller]
	if q == nil {
		q = &callerQueue{caller: t.Caller}
		c.byCaller[t.Caller] = q
		c.rotation = append(c.rotation, q)
	}
	q.tickets = append(q.tickets, t)
	c.waiting++
}

// pop removes and returns the oldest ticket of the next caller in rotation.
func (c *class) pop() *Ticket {
	q := c.rotation[0]
	t := q.tickets[0]
	q.tickets = q.tickets[1:]
	c.waiting--
	c.rotation = c.rotation[1:]
	if len(q.tickets) == 0 {
		delete(c.byCaller, q.caller)
	} else {
		c.rotation = append(c.rotation, q)
	}
	return t
}

func (c *class) remove(t *Ticket) {
	q := c.byCaller[t.Caller]
	if q == nil {
		return
	}
	for i := range q.tickets {
		if q.tickets[i] == t {
			q.tickets = append(q.tickets[:i], q.tickets[i+1:]...)
			c.waiting--
			break
		}
	}
	if len(q.tickets) == 0 {
		c.removeCaller(q)
	}
}

func (c *class) removeCaller(q *callerQueue) {
	delete(c.byCaller, q.caller)
	for i := range c.rotation {
		if c.rotation[i] == q {
			c.rotation = append(c.rotation[:i], c.rotation[i+1:]...)
			return
		}
	}
}

func (c *class) count(caller string) int {
	if q := c.byCaller[caller]; q != nil {
		return len(q.tickets)
	}
	return 0
}

// ahead returns how many tickets of the class start before a new one of the
// caller, given that callers take turns.
func (c *class) ahead(caller string) int {
	own := c.count(caller)
	ahead := 0
	for _, q := range c.rotation {
		ahead += min(len(q.tickets), own+1)
	}
	return ahead
}

func (c *class) longest() *callerQueue {
	var longest *callerQueue
	for _, q := range c.rotation {
		if longest == nil || len(q.tickets) > len(longest.tickets) {
			longest = q
		}
	}
	return longest
}
