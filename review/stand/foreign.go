//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// lotWork is how long a lot-fetch request takes at a target.
	lotWork = 90 * time.Millisecond
	// entryPause is the time between two entries of the other writer.
	entryPause = 5 * time.Second
)

// foreignEntry: another writer writes an entry that lacks four of the eight fields of an
// entry, under the key of a target of another service.
func foreignEntry(c *cluster, trouble bool) (verdict, error) {
	if err := c.startStore(); err != nil {
		return verdict{}, err
	}
	zones := []string{zonePalermo, zoneCatania, zoneRagusa}
	var foreign []*target
	for i, zone := range zones {
		for _, service := range []string{"lot-ledger", "herbarium-view"} {
			t, err := c.addTarget(fmt.Sprintf("i-%s-%d", service, i), service, zone, func(t *target) { t.slots, t.connections, t.work = 6, 110, lotWork })
			if err != nil {
				return verdict{}, err
			}
			if service != "lot-ledger" {
				foreign = append(foreign, t)
			}
		}
	}
	stop := c.beat()
	defer stop()
	single := func(name, prefix, service string) jsonMap {
		return route(name, prefix, 4*time.Second, jsonMap{"service": service})
	}
	if err := c.configure(limits(), single("lot-fetch", "/timi402/", "lot-ledger"), single("view", "/popu7/", "herbarium-view")); err != nil {
		return verdict{}, err
	}
	if err := c.start(zones...); err != nil {
		return verdict{}, err
	}
	if trouble {
		go func() {
			for _, t := range foreign {
				time.Sleep(entryPause)
				entry := fmt.Appendf(nil, `{"service":"lot-ledger","address":%q,"zone":%q,"slots":%d,"state":"ready"}`, t.address, t.zone, t.slots)
				c.store.Put("servers/"+t.id, entry)
				c.record.line("another writer writes servers/%s: %s", t.id, entry)
			}
		}()
	}
	callers := newCaller(c.record)
	callers.load(c.nodes, 60, time.Duration(len(foreign)+1)*entryPause, func(p *process, number int) {
		prefix := []string{"/timi402/", "/popu7/"}[number%2]
		callers.send(p, http.MethodGet, prefix+strconv.Itoa(number), 4*time.Second, nil)
	})
	return c.judgeForeign(callers, foreign), nil
}

// judgeForeign finds requests to lot-ledger that the targets of the other service have run.
func (c *cluster) judgeForeign(callers *caller, foreign []*target) verdict {
	ran, answered := 0, 0
	for _, t := range foreign {
		for id := range t.ran {
			a := callers.calls[id]
			if a == nil || !strings.HasPrefix(a.path, "/timi402/") {
				continue
			}
			ran++
			c.record.line("ROUTE %s %s was run by %s of %s", a.path, id, t.id, t.service)
			if a.status == http.StatusOK && string(a.body) == records(t.id) {
				answered++
				c.record.line("the caller of %s has got the answer of %s", id, t.id)
			}
		}
	}
	return verdict{ran > 0, fmt.Sprintf("%d requests to lot-ledger were run by herbarium-view, and %d of their callers got its answer; statuses %v",
		ran, answered, callers.count("/"))}
}

// beat makes all targets write their entries at each heartbeat until stop is called.
func (c *cluster) beat() (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			for _, t := range c.targets {
				c.register(t, "ready")
			}
		}
	}()
	return func() { close(done) }
}
