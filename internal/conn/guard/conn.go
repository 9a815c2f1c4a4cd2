package guard

import (
	"container/list"
	"net"
	"time"
)

// Conn is a connection of a client. A nil Conn bounds nothing.
type Conn struct {
	net.Conn
	listener *Listener

	// The fields below are guarded by the lock of the listener.
	state   state
	since   time.Time
	element *list.Element
	closed  bool
}

// enter changes the state. The lock of the listener is held.
func (c *Conn) enter(now time.Time, s state) {
	if c.closed {
		return
	}
	if c.element != nil {
		c.listener.waiting[c.state].Remove(c.element)
	}
	c.state, c.since, c.element = s, now, nil
	if s != stateServing {
		c.element = c.listener.waiting[s].PushBack(c)
	}
}

// leave ends the connection. The lock of the listener is held.
func (c *Conn) leave() {
	if c.closed {
		return
	}
	if c.element != nil {
		c.listener.waiting[c.state].Remove(c.element)
	}
	c.closed = true
	c.listener.open--
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.release()
	return c.Conn.Close()
}

// Abort closes the connection at once; what has been sent and not been read is lost.
func (c *Conn) Abort() {
	if c == nil {
		return
	}
	c.release()
	reset(c.Conn)
}

func (c *Conn) release() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.leave()
}

// Read reads from the client.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.listener.mu.Lock()
		if c.state == stateNew || c.state == stateIdle {
			c.enter(time.Now(), stateReceiving)
		}
		c.listener.mu.Unlock()
	}
	return n, err
}

// Begin is called when the head of a request has been read. The client is waited for until
// Serve.
func (c *Conn) Begin() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.enter(time.Now(), stateReceiving)
}

// Serve is called when the request has been read whole: it will not be cut any more to make
// room. It returns false if that has happened already.
func (c *Conn) Serve() bool {
	if c == nil {
		return true
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.enter(time.Now(), stateServing)
	return !c.closed
}

// End ends the request.
func (c *Conn) End() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.enter(time.Now(), stateIdle)
}

// Write sends to the client. Until it returns, the client is waited for.
func (c *Conn) Write(data []byte) (int, error) {
	c.listener.mu.Lock()
	before := c.state
	c.enter(time.Now(), stateSending)
	c.listener.mu.Unlock()
	n, err := c.Conn.Write(data)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.state == stateSending {
		c.enter(time.Now(), before)
	}
	return n, err
}
