package admit

import "time"

// line is the tickets of one caller, oldest first.
type line struct {
	caller  string
	tickets []*Ticket
}

// class is the waiting tickets of one class, by caller in turn.
type class struct {
	priority int
	active   time.Time
	running  int
	waiting  int
	byCaller map[string]*line
	// turn lists the callers with waiting tickets; the first is next.
	turn []*line
}

func newClass() *class { return &class{byCaller: map[string]*line{}} }

func (c *class) push(t *Ticket) {
	l := c.byCaller[t.Caller]
	if l == nil {
		l = &line{caller: t.Caller}
		c.byCaller[t.Caller] = l
		c.turn = append(c.turn, l)
	}
	l.tickets = append(l.tickets, t)
	c.waiting++
}

// pop takes the oldest ticket of the caller whose turn it is.
func (c *class) pop() *Ticket {
	l := c.turn[0]
	t := l.tickets[0]
	l.tickets = l.tickets[1:]
	c.waiting--
	c.turn = c.turn[1:]
	if len(l.tickets) == 0 {
		delete(c.byCaller, l.caller)
	} else {
		c.turn = append(c.turn, l)
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
		c.drop(l)
	}
}

func (c *class) drop(l *line) {
	delete(c.byCaller, l.caller)
	for i := range c.turn {
		if c.turn[i] == l {
			c.turn = append(c.turn[:i], c.turn[i+1:]...)
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

// ahead counts the tickets that go before a new one of the caller, when the
// callers take turns.
func (c *class) ahead(caller string) int {
	own := c.count(caller)
	ahead := 0
	for _, l := range c.turn {
		ahead += min(len(l.tickets), own+1)
	}
	return ahead
}

func (c *class) longest() *line {
	var longest *line
	for _, l := range c.turn {
		if longest == nil || len(l.tickets) > len(longest.tickets) {
			longest = l
		}
	}
	return longest
}
