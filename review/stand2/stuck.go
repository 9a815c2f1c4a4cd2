//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	stuckShards  = 20
	stuckTimeout = 1500 * time.Millisecond
	// stuckDeadline is the requesters' deadline.
	stuckDeadline = 4 * time.Second
	// stuckRate is the number of requests a second at all daemons together.
	stuckRate = 250
	// shedTime and shedShare are the dose of the disruption. One of the two searchers of each
	// shard rejects.
	shedTime  = 9 * time.Second
	shedShare = 0.6
	// restartRounds is how often each daemon is restarted.
	restartRounds = 2
)

// playStuck restarts the daemons one after the other, while searchers of many shards reject
// part of their requests, and then checks that every request gets its final answer.
func playStuck(w *world) (result, error) {
	var shedding atomic.Bool
	shed := func(s *searcher, writer http.ResponseWriter, r *http.Request) bool {
		if !shedding.Load() || rand.Float64() >= shedShare {
			return false
		}
		s.notRun(writer, r, http.StatusServiceUnavailable)
		return true
	}
	var names []string
	var services []service
	for shard := range stuckShards {
		name := fmt.Sprintf("lathe%02d", shard)
		names = append(names, name)
		services = append(services, service{Name: name, Health: "/health", Connections: 26})
		for replica, zone := range []string{"zagreb-a", "rijeka-a"} {
			s := &searcher{ID: fmt.Sprintf("i-%s-%d", name, replica), Service: name, Zone: zone, Slots: 2, Queue: 12, Work: 4 * time.Millisecond}
			if replica == 0 {
				s.Behave = shed
			}
			if err := w.addSearcher(s); err != nil {
				return result{}, err
			}
		}
	}
	routes := []route{{
		Name: "profile-lookup", Host: "radic.example", Prefix: "/profile/", Timeout: int(stuckTimeout.Milliseconds()),
		Target: 250, Priority: 1, Gather: names, Attempts: 2, Top: 10, Least: 0.89,
	}}
	if err := w.configure(1, routes, services); err != nil {
		return result{}, err
	}
	if err := w.start("zagreb-a", "zagreb-a", "zagreb-a"); err != nil {
		return result{}, err
	}
	load := &load{World: w, Rate: stuckRate, Resolver: &resolver{Directories: w.directories(), Host: "radic.example", Region: "zagreb", Zone: "zagreb-a"}}
	load.start()
	for i := range restartRounds * len(w.daemons) {
		d := w.daemons[i%len(w.daemons)]
		d.terminate()
		if err := d.start(false); err != nil {
			return result{}, err
		}
		if err := d.awaitReady(); err != nil {
			return result{}, err
		}
		if w.Trouble {
			w.record.line("one searcher of each shard rejects %.0f%% of its requests", 100*shedShare)
		}
		shedding.Store(w.Trouble)
		time.Sleep(shedTime)
		shedding.Store(false)
		w.record.line("the searchers serve all requests")
	}
	time.Sleep(2 * stability)
	load.stop()
	return judgeTimeouts(w, load.calls), nil
}

// load sends requests at a constant rate, each from one of several requesters, and a few
// directly to each daemon that is ready.
type load struct {
	World    *world
	Rate     int
	Resolver *resolver

	requesters []*requester
	mu         sync.Mutex
	calls      []*call
	group      sync.WaitGroup
	done       chan struct{}
}

// requester keeps connections, and avoids the daemons that have failed it.
type requester struct {
	conns  connections
	mu     sync.Mutex
	failed map[string]bool
}

// pick returns a random address of those that have not failed the requester, or of all if
// each of them has.
func (r *requester) pick(addresses []string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sound []string
	for _, address := range addresses {
		if !r.failed[address] {
			sound = append(sound, address)
		}
	}
	if len(sound) == 0 {
		r.failed = map[string]bool{}
		sound = addresses
	}
	return sound[rand.IntN(len(sound))]
}

const (
	stuckRequesters = 60
	// directInterval is the time between two requests that are sent directly to a daemon.
	directInterval = 500 * time.Millisecond
)

func (l *load) start() {
	l.done = make(chan struct{})
	for range stuckRequesters {
		l.requesters = append(l.requesters, &requester{failed: map[string]bool{}})
	}
	go func() {
		ticker := time.NewTicker(time.Second / time.Duration(l.Rate))
		defer ticker.Stop()
		for {
			select {
			case <-l.done:
				return
			case <-ticker.C:
			}
			l.group.Go(l.send)
		}
	}()
	for _, d := range l.World.daemons {
		go l.sendDirectly(d)
	}
}

func (l *load) send() {
	addresses := l.Resolver.addresses()
	if len(addresses) == 0 {
		return
	}
	r := l.requesters[rand.IntN(len(l.requesters))]
	r.conns.drop(addresses)
	address := r.pick(addresses)
	if c := l.call(&r.conns, address); !c.Answered {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.failed[address] = true
	}
}

// sendDirectly sends requests to a daemon while it says that it is ready.
func (l *load) sendDirectly(d *daemon) {
	var conns connections
	client := http.Client{Timeout: time.Second}
	for {
		select {
		case <-l.done:
			return
		case <-time.After(directInterval):
		}
		response, err := client.Get("http://" + d.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			l.group.Go(func() { l.call(&conns, d.front) })
		}
	}
}

func (l *load) call(conns *connections, address string) *call {
	id := newID()
	c := &call{ID: id, Method: http.MethodGet, Host: "radic.example", URI: "/profile/" + id, Deadline: stuckDeadline}
	conns.do(address, c)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
	return c
}

func (l *load) stop() {
	close(l.done)
	l.group.Wait()
}

// judgeTimeouts checks that requests to daemons in touch, which are still unanswered at the
// timeout of their route, have a final answer half a second later.
func judgeTimeouts(w *world, calls []*call) result {
	const bound = stuckTimeout + 500*time.Millisecond
	late, unanswered := map[string]int{}, map[string]int{}
	total, totalLate, totalUnanswered := 0, 0, 0
	for _, c := range calls {
		d := w.daemonAt(c.Daemon)
		took := c.Done.Sub(c.Sent)
		w.record.line("request %s sent at %.3f to %s: status %d after %d ms, error %v", c.ID, c.Sent.Sub(w.record.start).Seconds(),
			d.Name, c.Status, took.Milliseconds(), c.Err)
		if !d.inTouch(c.Sent, c.Sent.Add(bound)) {
			continue
		}
		total++
		if took <= stuckTimeout {
			continue
		}
		late[d.Name]++
		totalLate++
		if took > bound {
			unanswered[d.Name]++
			totalUnanswered++
		}
	}
	text := fmt.Sprintf("%d requests to daemons in touch; %d unanswered at the timeout, of which %d half a second later", total, totalLate, totalUnanswered)
	for _, d := range w.daemons {
		text += fmt.Sprintf("; %s: %d, %d", d.Name, late[d.Name], unanswered[d.Name])
	}
	return result{Broken: totalUnanswered >= 8 && 4*totalUnanswered > totalLate, Text: text}
}
