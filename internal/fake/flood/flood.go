// Package flood simulates clients that don't behave: many connections that send the same
// bytes at once, stop short of the end of a request or of reading an answer, and stay open.
//
// # Usage
//
//	c := &flood.Crowd{Address: "127.0.0.1:8104", Clients: 300, Bytes: request[:len(request)-1]}
//	c.Start()
//	c.Settle()
//	// check what the clients hold
//	c.Stop()
package flood

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

const (
	dialTimeout = 5 * time.Second
	// stallTime is how long a client must not have moved for Settle to stop waiting for it.
	stallTime    = time.Second
	pollInterval = 20 * time.Millisecond
	// readBufferBytes is the receive buffer of a client, which never reads.
	readBufferBytes = 4 << 10
)

// Crowd simulates the clients. Exported fields are set before Start.
type Crowd struct {
	// Address is the "ip:port" that the clients connect to.
	Address string
	Clients int
	// Bytes is what each connection sends. It may hold several requests.
	Bytes []byte
	// PieceBytes is the size of each write; zero means all at once.
	PieceBytes int
	// Rounds is the number of times that each client closes its connection, opens another
	// and sends Bytes there; the last one stays open.
	Rounds int

	stopped chan struct{}
	group   sync.WaitGroup

	mu      mutex.Mutex
	movedAt time.Time
}

// Start starts the clients.
func (c *Crowd) Start() {
	c.stopped = make(chan struct{})
	c.movedAt = time.Now()
	for range c.Clients {
		c.group.Go(c.run)
	}
}

// Settle waits until no client has been able to send anything for a while, or to connect.
func (c *Crowd) Settle() {
	for {
		c.mu.Lock()
		settled := time.Since(c.movedAt) > stallTime
		c.mu.Unlock()
		if settled {
			return
		}
		time.Sleep(pollInterval)
	}
}

// Stop closes all connections.
func (c *Crowd) Stop() {
	close(c.stopped)
	c.group.Wait()
}

func (c *Crowd) run() {
	var conn net.Conn
	for range c.Rounds + 1 {
		if conn != nil {
			_ = conn.Close()
		}
		// The daemon may refuse a connection, and close it at any time.
		if conn = c.dial(); conn != nil {
			c.send(conn)
		}
	}
	<-c.stopped
	if conn != nil {
		_ = conn.Close()
	}
}

func (c *Crowd) dial() net.Conn {
	conn, err := net.DialTimeout("tcp", c.Address, dialTimeout)
	if err != nil {
		return nil
	}
	c.moved()
	// A default buffer would hold all that a daemon answers.
	_ = conn.(*net.TCPConn).SetReadBuffer(readBufferBytes)
	// A blocked write ends with the crowd.
	go func() {
		<-c.stopped
		_ = conn.Close()
	}()
	return conn
}

func (c *Crowd) send(conn net.Conn) {
	rest := c.Bytes
	for len(rest) > 0 {
		size := len(rest)
		if c.PieceBytes > 0 {
			size = min(size, c.PieceBytes)
		}
		n, err := conn.Write(rest[:size])
		rest = rest[n:]
		c.moved()
		if err != nil {
			return
		}
	}
}

func (c *Crowd) moved() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.movedAt = time.Now()
}

// Chunked appends a chunked body of the given size to the head of a request, with its end.
func Chunked(head string, bodyBytes, chunkBytes int) []byte {
	b := bytes.NewBufferString(head + "Transfer-Encoding: chunked\r\n\r\n")
	chunk := bytes.Repeat([]byte("x"), chunkBytes)
	for sent := 0; sent < bodyBytes; sent += chunkBytes {
		fmt.Fprintf(b, "%x\r\n%s\r\n", chunkBytes, chunk)
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// Sized appends a body and its length to the head of a request.
func Sized(head string, body []byte) []byte {
	return append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head, len(body)), body...)
}

// Fields appends fields to the head of a request, as many as fit into the given size.
func Fields(head string, size int) string {
	var b strings.Builder
	b.WriteString(head)
	for i := 0; b.Len() < size; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}
