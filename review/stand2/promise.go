//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	orderSearchers = 7
	orderRate      = 40
	orderTime      = 14 * time.Second
	orderDeadline  = 4 * time.Second
	// failTime, failSearchers and failShare are the dose of the disruption.
	failTime      = 9 * time.Second
	failSearchers = 5
	failShare     = 0.6
	// orderRetries is the number of times that a requester sends an order again.
	orderRetries = 2
)

// runs counts what searchers have run, by request ID and by body.
type runs struct {
	mu     sync.Mutex
	byID   map[string]int
	byBody map[string]int
}

func (r *runs) add(id, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id]++
	r.byBody[body]++
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// playPromise sends orders that must run at most once, while a searcher fails part of its
// requests after it has begun to work on them.
func playPromise(w *world) (result, error) {
	ran := &runs{byID: map[string]int{}, byBody: map[string]int{}}
	var failing atomic.Bool
	note := func(s *searcher, r *http.Request) {
		id, order := r.Header.Get(headerID), strings.TrimPrefix(r.URL.Path, "/cert/")
		ran.add(id, order)
		w.record.line("searcher %s runs request %s, order %s", s.ID, id, order)
	}
	fail := func(s *searcher, writer http.ResponseWriter, r *http.Request) {
		if !failing.Load() || rand.Float64() >= failShare {
			s.succeed(writer, r)
			return
		}
		s.head(writer, r)
		writer.Header().Set(headerSignature, s.signature(r.Header.Get(headerID)))
		writer.WriteHeader(http.StatusServiceUnavailable)
		_, _ = writer.Write([]byte("the ledger is not available"))
		w.record.line("searcher %s fails request %s with status 503, without %s", s.ID, r.Header.Get(headerID), headerNotRun)
	}
	zones := []string{"zagreb-a", "rijeka-a", "osijek-a"}
	for i := range orderSearchers {
		s := &searcher{ID: fmt.Sprintf("i-ledger-%d", i), Service: "ledger", Zone: zones[i%len(zones)], Slots: 2, Queue: 12, Work: 40 * time.Millisecond, Run: note}
		if i < failSearchers {
			s.Finish = fail
		}
		if err := w.addSearcher(s); err != nil {
			return result{}, err
		}
	}
	routes := []route{{
		Name: "cert", Host: "radic.example", Prefix: "/cert/", OnlyOnce: true, Timeout: 4000, Target: 800, Priority: 2, Service: "ledger", Attempts: 2,
	}}
	if err := w.configure(1, routes, []service{{Name: "ledger", Health: "/health", Connections: 100}}); err != nil {
		return result{}, err
	}
	if err := w.start(zones...); err != nil {
		return result{}, err
	}
	o := &orders{world: w, resolver: &resolver{Directories: w.directories(), Host: "radic.example", Region: "zagreb", Zone: "zagreb-a"}}
	go func() {
		time.Sleep(2 * time.Second)
		failing.Store(w.Trouble)
		time.Sleep(failTime)
		failing.Store(false)
	}()
	o.send()
	return o.judge(ran), nil
}

// orders sends orders, each again after a promise that it has not run.
type orders struct {
	world    *world
	resolver *resolver
	conns    connections
	mu       sync.Mutex
	calls    []*call
}

func (o *orders) send() {
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / orderRate)
	defer ticker.Stop()
	for n, end := 0, time.Now().Add(orderTime); time.Now().Before(end); n++ {
		<-ticker.C
		group.Go(func() { o.order(n) })
	}
	group.Wait()
}

func (o *orders) order(n int) {
	end := time.Now().Add(orderDeadline)
	for range 1 + orderRetries {
		addresses := o.resolver.addresses()
		if len(addresses) == 0 || time.Until(end) <= 0 {
			return
		}
		c := &call{ID: newID(), Method: http.MethodPost, Host: "radic.example", URI: fmt.Sprintf("/cert/%d", n), Body: []byte("turn"), Deadline: time.Until(end)}
		o.conns.do(addresses[rand.IntN(len(addresses))], c)
		o.mu.Lock()
		o.calls = append(o.calls, c)
		o.mu.Unlock()
		o.world.record.line("request %s for order %d at %s: status %d, error %v", c.ID, n, o.world.nameOf(c.Daemon), c.Status, c.Err)
		if !promised(c) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// promised reports whether the answer says that the request has not run and never will.
func promised(c *call) bool {
	switch c.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return c.Answered
	}
	return false
}

func (o *orders) judge(ran *runs) result {
	o.mu.Lock()
	defer o.mu.Unlock()
	sent, refused, untrue, twice := len(o.calls), 0, 0, 0
	for _, c := range o.calls {
		if promised(c) {
			if refused++; ran.of(c.ID) > 0 {
				untrue++
			}
		}
	}
	ran.mu.Lock()
	defer ran.mu.Unlock()
	for _, count := range ran.byBody {
		if count > 1 {
			twice++
		}
	}
	for id, count := range ran.byID {
		if count > 1 {
			o.world.record.line("request %s has run %d times", id, count)
		}
	}
	return result{Broken: untrue > 0, Text: fmt.Sprintf(
		"%d requests; %d refused as not run, of which %d had run; %d orders ran more than once after such a refusal", sent, refused, untrue, twice)}
}
