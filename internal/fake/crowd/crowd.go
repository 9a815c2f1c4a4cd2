// Package crowd simulates callers that keep using one daemon's address, over open
// connections and new ones, until the process is gone. It records how each request ended.
//
// # Usage
//
//	c := &crowd.Crowd{Address: "127.0.0.1:8104", Callers: 8, Request: request}
//	c.Start()
//	// stop the daemon
//	for _, call := range c.Stop() {
//		if call.Unanswered() { ... }
//	}
package crowd

import (
	"bufio"
	"cmp"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

const (
	// answerTimeout is how long a caller waits for an answer.
	answerTimeout = 20 * time.Second
	// redialDelay is the delay before a caller tries again to connect to a daemon that
	// refused the connection.
	redialDelay = 20 * time.Millisecond
	dialTimeout = time.Second
)

// Call is one request and how it ended.
type Call struct {
	ID      string
	Address string
	Sent    time.Time
	// Ended is when the answer was read or the connection ended.
	Ended  time.Time
	Status int
	Header http.Header
	Body   []byte
	// Reused is set if the connection has carried an answer before.
	Reused bool
	// Extra is set if bytes follow the answer.
	Extra bool
	// Err is set if there is no complete answer, and Left if that is since the caller left.
	Err  error
	Left bool
}

// Crowd simulates the callers. Exported fields are set before Start.
type Crowd struct {
	// Address is the "ip:port" of the daemon.
	Address string
	// Pick, if set, returns the address for each connection instead.
	Pick func(random *rand.Rand) string
	// Requests is the number of requests on a connection; 0 means until the daemon closes it.
	Requests int
	// Patience, if set, is the mean time after which a caller closes its connection without
	// an answer.
	Patience time.Duration
	Callers  int
	// Pause is the mean time between an answer and the next request of a caller.
	Pause time.Duration
	// Idle is the time between opening a connection and the first request on it.
	Idle time.Duration
	// Request returns a request with a new ID.
	Request func() (id string, request *http.Request)
	Seed    uint64

	group   sync.WaitGroup
	stopped chan struct{}
	mu      mutex.Mutex
	calls   []Call
}

// Start starts the callers.
func (c *Crowd) Start() {
	c.stopped = make(chan struct{})
	for i := range c.Callers {
		random := rand.New(rand.NewPCG(c.Seed, uint64(i)))
		c.group.Go(func() {
			for c.wait(0) {
				c.useConnection(random)
			}
		})
	}
}

// Stop waits for the answers to the requests in flight and returns all calls.
func (c *Crowd) Stop() []Call {
	close(c.stopped)
	c.group.Wait()
	return c.calls
}

// wait waits and reports whether the callers go on.
func (c *Crowd) wait(d time.Duration) bool {
	select {
	case <-c.stopped:
		return false
	case <-time.After(d):
		return true
	}
}

// useConnection sends requests over one connection until the daemon closes it.
func (c *Crowd) useConnection(random *rand.Rand) {
	address := c.Address
	if c.Pick != nil {
		address = c.Pick(random)
	}
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		c.wait(redialDelay)
		return
	}
	defer conn.Close()
	if !c.wait(c.Idle) {
		return
	}
	reader := bufio.NewReader(conn)
	for count := 1; ; count++ {
		timeout := answerTimeout
		if c.Patience > 0 {
			timeout = time.Duration(2 * random.Float64() * float64(c.Patience))
		}
		call, open := c.send(conn, reader, timeout)
		call.Address, call.Reused = address, count > 1
		c.mu.Lock()
		c.calls = append(c.calls, call)
		c.mu.Unlock()
		if !c.wait(time.Duration((0.5+random.Float64())*float64(c.Pause))) || !open || count == c.Requests {
			return
		}
	}
}

// send sends a request and reads its answer. Open is false if the connection has ended
// or the daemon will close it.
func (c *Crowd) send(conn net.Conn, reader *bufio.Reader, timeout time.Duration) (call Call, open bool) {
	id, request := c.Request()
	call = Call{ID: id, Sent: time.Now()}
	defer func() {
		call.Ended = time.Now()
		// The error does not tell: net/http hides that of a body that was not written in time.
		call.Left = c.Patience > 0 && call.Err != nil && call.Ended.Sub(call.Sent) >= timeout
	}()
	if call.Err = conn.SetDeadline(call.Sent.Add(timeout)); call.Err != nil {
		return call, false
	}
	// A daemon may answer and close the connection before it has read the whole request.
	writeErr := request.Write(conn)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		call.Err = cmp.Or(writeErr, err)
		return call, false
	}
	defer response.Body.Close()
	call.Status, call.Header = response.StatusCode, response.Header
	call.Body, call.Err = io.ReadAll(response.Body)
	call.Extra = reader.Buffered() > 0
	return call, call.Err == nil && writeErr == nil && !response.Close
}
