//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	firstPrefix = "/timi402/"
	addedPrefix = "/popu7/"
	// minAdded is the number of requests on added routes from which on the rule holds, and
	// servedDivisor divides the share that is served on the first routes.
	minAdded      = 20
	servedDivisor = 4
)

// headOnAddedRoute: the operator adds a route, which callers use with HEAD.
func headOnAddedRoute(c *cluster, trouble bool) (verdict, error) {
	if err := c.startStore(); err != nil {
		return verdict{}, err
	}
	zones := []string{zonePalermo, zoneCatania, zoneRagusa}
	for i, zone := range zones {
		for _, service := range []string{"lot-ledger", "herbarium-view"} {
			if _, err := c.addTarget(fmt.Sprintf("i-%s-%d", service, i), service, zone, func(t *target) { t.slots, t.connections = 6, 110 }); err != nil {
				return verdict{}, err
			}
		}
	}
	first := route("lot-fetch", firstPrefix, 4*time.Second, jsonMap{"service": "lot-ledger"})
	added := route("view", addedPrefix, 4*time.Second, jsonMap{"service": "herbarium-view"})
	return c.playAddedRoute(trouble, first, added, 30, 20*time.Second, func(callers *caller, p *process, number int, useAdded bool) {
		if useAdded {
			callers.send(p, http.MethodHead, addedPrefix+strconv.Itoa(number), 4*time.Second, nil)
			return
		}
		callers.send(p, http.MethodGet, firstPrefix+strconv.Itoa(number), 4*time.Second, nil)
	})
}

// latinOnAddedRoute: the operator adds a route whose shards have targets in one zone each.
// A header of the callers has a byte that is not UTF-8.
func latinOnAddedRoute(c *cluster, trouble bool) (verdict, error) {
	if err := c.startStore(); err != nil {
		return verdict{}, err
	}
	zones := []string{zonePalermo, zoneCatania, zoneRagusa}
	const shards = 9
	var everywhere, apart []string
	for i := range shards {
		everywhere, apart = append(everywhere, fmt.Sprintf("label-desk-%d", i)), append(apart, fmt.Sprintf("inspector-portal-%d", i))
		for j, zone := range zones {
			if _, err := c.addTarget(fmt.Sprintf("i-label-%d-%d", i, j), everywhere[i], zone, nil); err != nil {
				return verdict{}, err
			}
		}
		for j := range 2 {
			if _, err := c.addTarget(fmt.Sprintf("i-portal-%d-%d", i, j), apart[i], zones[i%len(zones)], nil); err != nil {
				return verdict{}, err
			}
		}
	}
	gather := func(name, prefix string, pools []string) jsonMap {
		return route(name, prefix, 1200*time.Millisecond, jsonMap{"gather": pools, "topK": 5, names.MinShare: 0.75})
	}
	header := http.Header{"X-Stall-Holder": {"Jos\xe9"}}
	return c.playAddedRoute(trouble, gather("lookup", firstPrefix, everywhere), gather("portal", addedPrefix, apart), 2, time.Minute,
		func(callers *caller, p *process, number int, useAdded bool) {
			prefix := firstPrefix
			if useAdded {
				prefix = addedPrefix
			}
			callers.send(p, http.MethodGet, prefix+strconv.Itoa(number), 1200*time.Millisecond, header)
		})
}

// playAddedRoute adds a route if there is trouble, waits until it is due, and sends
// requests on both routes by turns.
func (c *cluster) playAddedRoute(trouble bool, first, added jsonMap, perSecond int, duration time.Duration, send func(*caller, *process, int, bool)) (verdict, error) {
	if err := c.configure(limits(), first); err != nil {
		return verdict{}, err
	}
	if err := c.start(zonePalermo, zoneCatania, zoneRagusa); err != nil {
		return verdict{}, err
	}
	if trouble {
		if err := c.configure(limits(), first, added); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(configApply + stability)
	callers := newCaller(c.record)
	callers.load(c.nodes, perSecond, duration, func(p *process, number int) {
		// Each node gets requests on both routes.
		send(callers, p, number, trouble && number/len(c.nodes)%2 == 1)
	})
	onFirst, onAdded := callers.count(firstPrefix), callers.count(addedPrefix)
	firstShare, firstCount := share(onFirst)
	addedShare, addedCount := share(onAdded)
	c.logFailures()
	return verdict{
		broken: addedCount >= minAdded && addedShare < firstShare/servedDivisor,
		summary: fmt.Sprintf("statuses on the first route %v, on the added one %v: %.2f of %d served, and %.2f of %d",
			onFirst, onAdded, firstShare, firstCount, addedShare, addedCount),
	}, nil
}

// share returns the share of calls with status 200.
func share(counts map[int]int) (served float64, calls int) {
	for _, count := range counts {
		calls += count
	}
	return float64(counts[http.StatusOK]) / float64(max(calls, 1)), calls
}

// logFailures adds to the record the first lines about failures in the nodes' logs.
func (c *cluster) logFailures() {
	for _, p := range c.nodes {
		for _, line := range slices.Compact(failureLines(p.config + ".log")) {
			c.record.line("log of %s: %s", p.name, line)
		}
	}
}
