//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// caller sends requests to the nodes over connections that it keeps open.
type caller struct {
	record *record
	client *http.Client
	next   atomic.Int64
	mu     sync.Mutex
	calls  map[string]*call
}

// call is one attempt of a caller, with an ID of its own.
type call struct {
	id, method, path string
	node             string
	status           int
	header           http.Header
	body             []byte
	err              error
	sent             time.Time
	took             time.Duration
}

const callerConnections = 64

func newCaller(r *record) *caller {
	return &caller{record: r, calls: map[string]*call{}, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: callerConnections, DisableCompression: true},
	}}
}

// send makes one attempt.
func (c *caller) send(p *process, method, path string, timeout time.Duration, header http.Header) {
	a := &call{id: fmt.Sprintf("%08x%08x", rand.Uint32(), c.next.Add(1)), method: method, path: path, node: p.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	defer func() {
		a.took = time.Since(a.sent)
		c.mu.Lock()
		c.calls[a.id] = a
		c.mu.Unlock()
		c.record.line("caller gets status %d for %s %s %s from %s after %v, %d bytes, error %v",
			a.status, method, path, a.id, p.name, a.took.Round(time.Millisecond), len(a.body), a.err)
	}()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.front, http.NoBody)
	if err != nil {
		a.err = err
		return
	}
	r.URL.Opaque = path
	r.Host = callerHost
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set(names.HeaderID, a.id)
	r.Header.Set(names.HeaderDeadline, fmt.Sprint(timeout.Milliseconds()))
	response, err := c.client.Do(r)
	if err != nil {
		a.err = err
		return
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
}

// count returns how many calls to a path have each status; zero stands for an error.
func (c *caller) count(prefix string) map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, a := range c.calls {
		if strings.HasPrefix(a.path, prefix) {
			counts[a.status]++
		}
	}
	return counts
}

// load sends requests of one kind at a steady rate until the time is over, and waits for
// their ends.
func (c *caller) load(nodes []*process, perSecond int, duration time.Duration, send func(p *process, number int)) {
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	end := time.Now().Add(duration)
	for number := 0; time.Now().Before(end); number++ {
		<-ticker.C
		group.Go(func() { send(nodes[number%len(nodes)], number) })
	}
	group.Wait()
}
