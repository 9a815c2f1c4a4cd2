//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// call is one requester attempt and what came of it.
type call struct {
	ID       string
	Method   string
	Host     string
	URI      string
	Body     []byte
	Deadline time.Duration

	Daemon   string
	Sent     time.Time
	Done     time.Time
	Status   int
	Header   http.Header
	Reply    []byte
	Err      error
	Answered bool
}

// connection is a kept connection to a daemon.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// connections keeps the idle connections to each daemon.
type connections struct {
	mu   sync.Mutex
	idle map[string][]*connection
}

func (p *connections) get(address string) (*connection, error) {
	p.mu.Lock()
	if list := p.idle[address]; len(list) > 0 {
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

func (p *connections) put(address string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*connection{}
	}
	p.idle[address] = append(p.idle[address], c)
}

// drop closes the idle connections to all other addresses.
func (p *connections) drop(keep []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		if slices.Contains(keep, address) {
			continue
		}
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
}

// do sends the call to a daemon and waits for the answer until the requester's deadline.
func (p *connections) do(address string, c *call) {
	c.Daemon, c.Sent = address, time.Now()
	defer func() { c.Done = time.Now() }()
	conn, err := p.get(address)
	if err != nil {
		c.Err = err
		return
	}
	_ = conn.SetDeadline(c.Sent.Add(c.Deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", c.Method, c.URI, c.Host, headerID, c.ID, headerDeadline, c.Deadline.Milliseconds())
	if len(c.Body) > 0 || c.Method == http.MethodPost {
		head += "Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n"
	}
	if _, err := conn.Write(append([]byte(head+"\r\n"), c.Body...)); err != nil {
		c.Err = err
		_ = conn.Close()
		return
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: c.Method})
	if err != nil {
		c.Err = err
		_ = conn.Close()
		return
	}
	defer response.Body.Close()
	c.Status, c.Header = response.StatusCode, response.Header
	if c.Reply, c.Err = io.ReadAll(response.Body); c.Err != nil {
		_ = conn.Close()
		return
	}
	c.Answered = true
	if response.Close || conn.reader.Buffered() > 0 {
		_ = conn.Close()
		return
	}
	p.put(address, conn)
}

// resolver asks daemons where to connect, as requesters do.
type resolver struct {
	Directories []string
	Host        string
	Region      string
	Zone        string

	mu    sync.Mutex
	addrs []string
	until time.Time
}

// addresses returns the addresses of daemons.
func (r *resolver) addresses() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.until) {
		return r.addrs
	}
	client := http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(r.Directories))[:min(3, len(r.Directories))] {
		response, err := client.Get("http://" + r.Directories[i] + "/resolution?name=" + r.Host + "&region=" + r.Region + "&zone=" + r.Zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addrs []string `json:"addrs"`
			TTL   float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err != nil || len(answer.Addrs) == 0 {
			continue
		}
		r.addrs, r.until = answer.Addrs, time.Now().Add(time.Duration(answer.TTL*float64(time.Second)))
		return r.addrs
	}
	r.until = time.Now().Add(200 * time.Millisecond)
	return r.addrs
}

var lastID atomic.Uint64

// newID returns a request ID that no other call has.
func newID() string { return fmt.Sprintf("r%08x%08x", lastID.Add(1), rand.Uint32()) }
