package guard

import (
	"bytes"
	"net"
	"net/http"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/chain"
	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
)

const (
	// headFactor is how many bytes each byte of a head takes while it is read and kept, and
	// fieldBytes what each field takes beyond them.
	headFactor = 2
	fieldBytes = 128
	// freeHeadBytes is how much a head may take without a claim. It is a part of what the
	// limit on connections keeps for each of them.
	freeHeadBytes = 4 << 10
	// pieceBytes is the size of the pieces in which a client is seen to read.
	pieceBytes = socketBufferBytes
	// deadlineSteps divides the time to read a piece; the result is how much earlier it may
	// end.
	deadlineSteps = 16
)

// Conn is a connection of a client. A nil Conn bounds nothing.
type Conn struct {
	net.Conn
	listener *Listener

	// The fields below are guarded by the lock of the listener.
	state  state
	since  time.Time
	closed bool
	// node is in the list of the state, unless that is stateServing.
	node chain.Node[*Conn]
	// claim is that of the request being read or served; nil if it needs none.
	claim *room.Claim
	// answer is the claim of the answer to it, if it has one of its own.
	answer *room.Claim
	// headBytes is what the head takes. HeadRead is true once it has been read whole.
	headBytes int64
	headRead  bool
	// writeDeadline is that of the server, and socketDeadline that of the socket; zero
	// means none.
	writeDeadline  time.Time
	socketDeadline time.Time
}

// errNoRoom is an error of a read, for which the server closes the connection.
var errNoRoom = &net.OpError{Op: "read", Net: "tcp", Err: &Error{Op: "read", Kind: KindNoRoom}}

// enter changes the state. The lock of the listener is held.
func (c *Conn) enter(now time.Time, s state) {
	if c.closed {
		return
	}
	c.unlist()
	c.state, c.since = s, now
	if s != stateServing {
		c.listener.waiting[s].PushBack(&c.node)
	}
}

// unlist removes the connection from the list of its state. The lock of the listener is held.
func (c *Conn) unlist() {
	if c.state != stateServing {
		c.listener.waiting[c.state].Remove(&c.node)
	}
}

// leave ends the connection. The lock of the listener is held.
func (c *Conn) leave() {
	if c.closed {
		return
	}
	c.unlist()
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
	c.leave()
	claim := c.claim
	c.claim = nil
	c.listener.mu.Unlock()
	if claim != nil {
		claim.Close()
	}
}

// Read reads from the client. While it reads the head of a request, it claims room for it.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && !c.received(data[:n]) {
		c.Abort()
		return 0, errNoRoom
	}
	return n, err
}

// received records bytes from the client, and reports whether there is room for them.
func (c *Conn) received(data []byte) bool {
	now := time.Now()
	c.listener.mu.Lock()
	if c.closed || c.headRead || c.state == stateServing || c.state == stateSending {
		c.listener.mu.Unlock()
		return true
	}
	if c.state != stateReceiving {
		c.enter(now, stateReceiving)
	}
	size := int64(headFactor*len(data) + fieldBytes*bytes.Count(data, []byte{'\n'}))
	claim, more := c.claimHead(now, c.headBytes+size)
	c.listener.mu.Unlock()
	return claim == nil || claim.Take(now, more)
}

// claimHead returns the claim for a head that takes so many bytes, nil if it needs none, and
// how many of them it does not hold yet. The lock of the listener is held.
func (c *Conn) claimHead(now time.Time, size int64) (claim *room.Claim, more int64) {
	if c.claim == nil && size <= freeHeadBytes {
		c.headBytes = size
		return nil, 0
	}
	more = size
	if c.claim != nil {
		more -= c.headBytes
	}
	c.headBytes = size
	return c.openClaim(now), more
}

// openClaim returns the claim of the request being read. The lock of the listener is held.
func (c *Conn) openClaim(now time.Time) *room.Claim {
	if c.claim == nil {
		c.claim = c.listener.Room.Open(c.Abort)
		c.claim.Await(now)
	}
	return c.claim
}

// Begin is called when the head of a request has been read. It reports whether there is
// room for it. The client is waited for until Serve.
func (c *Conn) Begin(r *http.Request) bool {
	if c == nil {
		return true
	}
	now := time.Now()
	size := int64(headFactor * (len(r.RequestURI) + len(r.Host)))
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(headFactor*(len(name)+len(value)) + fieldBytes)
		}
	}
	c.listener.mu.Lock()
	if c.closed {
		c.listener.mu.Unlock()
		return false
	}
	c.enter(now, stateReceiving)
	c.headRead = true
	// What was read may also belong to the body, or a part of the head came together with the
	// request before it.
	claim, more := c.claimHead(now, size)
	c.listener.mu.Unlock()
	switch {
	case claim == nil:
		return true
	case more < 0:
		claim.Give(-more)
		return true
	}
	return claim.Take(now, more)
}

// Take claims room for bytes of the request or its answer until End.
func (c *Conn) Take(count int64) bool {
	if c == nil {
		return true
	}
	now := time.Now()
	c.listener.mu.Lock()
	if c.closed {
		c.listener.mu.Unlock()
		return false
	}
	claim := c.openClaim(now)
	c.listener.mu.Unlock()
	return claim.Take(now, count)
}

// Serve is called when the request has been read whole: it will not be cut any more to make
// room. It returns false if that has happened already.
func (c *Conn) Serve() bool {
	if c == nil {
		return true
	}
	c.listener.mu.Lock()
	c.enter(time.Now(), stateServing)
	closed, claim := c.closed, c.claim
	c.listener.mu.Unlock()
	return !closed && (claim == nil || claim.Serve())
}

// End ends the request and gives back what it has claimed.
func (c *Conn) End() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	claim := c.claim
	c.claim, c.answer, c.headBytes, c.headRead = nil, nil, 0, false
	c.enter(time.Now(), stateIdle)
	c.listener.mu.Unlock()
	if claim != nil {
		claim.Close()
	}
}

// Answer makes the client be waited for under another claim as well, that of the answer,
// while it reads.
func (c *Conn) Answer(claim *room.Claim) {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.answer = claim
}

// Write sends to the client. Until it returns, the client is waited for, anew with each
// piece that it has read.
func (c *Conn) Write(data []byte) (int, error) {
	c.listener.mu.Lock()
	before, claims := c.state, [...]*room.Claim{c.claim, c.answer}
	c.listener.mu.Unlock()
	written := 0
	for {
		now := time.Now()
		if err := c.beginPiece(now); err != nil {
			c.endWrite(before, claims)
			return written, err
		}
		for _, claim := range claims {
			if claim != nil {
				claim.Await(now)
			}
		}
		n, err := c.Conn.Write(data[written:min(len(data), written+pieceBytes)])
		written += n
		if err != nil || written == len(data) {
			c.endWrite(before, claims)
			return written, err
		}
	}
}

// beginPiece begins to wait for the client to read a piece.
func (c *Conn) beginPiece(now time.Time) error {
	c.listener.mu.Lock()
	c.enter(now, stateSending)
	deadline := now.Add(c.listener.WriteTimeout)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		deadline = c.writeDeadline
	}
	// A deadline that is a little early saves setting it anew for each small answer.
	early := deadline.Sub(c.socketDeadline)
	if early >= 0 && early <= c.listener.WriteTimeout/deadlineSteps {
		c.listener.mu.Unlock()
		return nil
	}
	c.socketDeadline = deadline
	c.listener.mu.Unlock()
	return c.Conn.SetWriteDeadline(deadline)
}

func (c *Conn) endWrite(before state, claims [2]*room.Claim) {
	c.listener.mu.Lock()
	if c.state == stateSending {
		c.enter(time.Now(), before)
	}
	c.listener.mu.Unlock()
	for _, claim := range claims {
		if claim != nil && before == stateServing {
			claim.Serve()
		}
	}
}

// SetWriteDeadline sets the server's deadline for what is sent.
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	c.listener.mu.Lock()
	c.writeDeadline, c.socketDeadline = deadline, deadline
	c.listener.mu.Unlock()
	return c.Conn.SetWriteDeadline(deadline)
}

// SetDeadline sets the server's deadlines for what is received and sent.
func (c *Conn) SetDeadline(deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.SetReadDeadline(deadline)
}
