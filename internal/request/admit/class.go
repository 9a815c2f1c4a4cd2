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
	l := c.byCaller[t.Caller]
	if l == nil {
		l = &callerQueue{caller: t.Caller}
		c.byCaller[t.Caller] = l
		c.rotation = append(c.rotation, l)
	}
	l.tickets = append(l.tickets, t)
	c.waiting++
}

// pop removes and returns the oldest ticket of the next caller in rotation.
func (c *class) pop() *Ticket {
	l := c.rotation[0]
	t := l.tickets[0]
	l.tickets = l.tickets[1:]
	c.waiting--
	c.rotation = c.rotation[1:]
	if len(l.tickets) == 0 {
		delete(c.byCaller, l.caller)
	} else {
		c.rotation = append(c.rotation, l)
	}
	return t
}

func (c *class) remove(t *Ticket) {
	l := c.byCaller[t.Caller]
	if l == nil {
		return
	}
	for i := range l.tickets {
		if l.tickets[i] == t {
			l.tickets = append(l.tickets[:i], l.tickets[i+1:]...)
			c.waiting--
			break
		}
	}
	if len(l.tickets) == 0 {
		c.removeCaller(l)
	}
}

func (c *class) removeCaller(l *callerQueue) {
	delete(c.byCaller, l.caller)
	for i := range c.rotation {
		if c.rotation[i] == l {
			c.rotation = append(c.rotation[:i], c.rotation[i+1:]...)
			return
		}
	}
}

func (c *class) count(caller string) int {
	if l := c.byCaller[caller]; l != nil {
		return len(l.tickets)
	}
	return 0
}

// ahead returns how many tickets of the class start before a new one of the
// caller, given that callers take turns.
func (c *class) ahead(caller string) int {
	own := c.count(caller)
	ahead := 0
	for _, l := range c.rotation {
		ahead += min(len(l.tickets), own+1)
	}
	return ahead
}

func (c *class) longest() *callerQueue {
	var longest *callerQueue
	for _, l := range c.rotation {
		if longest == nil || len(l.tickets) > len(longest.tickets) {
			longest = l
		}
	}
	return longest
}
