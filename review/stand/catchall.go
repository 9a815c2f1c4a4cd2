//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// rawPaths begin with two slashes and have a character that HTTP clients send as it is.
var rawPaths = []string{"//stalls|oregano/", "//caffè/", "//lots{a,b}/", "//plain/"}

// catchAllRoute: the operator adds a route for all paths of a host.
func catchAllRoute(c *cluster, trouble bool) (verdict, error) {
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
	if err := c.configure(limits(), first); err != nil {
		return verdict{}, err
	}
	if err := c.start(zones...); err != nil {
		return verdict{}, err
	}
	if trouble {
		if err := c.configure(limits(), first, route("all", "/", 4*time.Second, jsonMap{"service": "herbarium-view"})); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(configApply + stability)
	callers := newCaller(c.record)
	callers.load(c.nodes, 20, 10*time.Second, func(p *process, number int) {
		callers.sendRaw(p, rawPaths[number%len(rawPaths)]+strconv.Itoa(number))
	})
	changed, ran := 0, 0
	for _, t := range c.targets {
		for id, uri := range t.uris {
			ran++
			if a := callers.calls[id]; a == nil || a.path != uri {
				changed++
				c.record.line("UNASKED %s, sent as %q, was run by %s as %q", id, a.path, t.id, uri)
			}
		}
	}
	return verdict{changed > 0, fmt.Sprintf("%d of %d runs had another path than their request; statuses %v", changed, ran, callers.count("/"))}, nil
}

// sendRaw makes one attempt whose path is written as it is.
func (c *caller) sendRaw(p *process, path string) {
	const timeout = 4 * time.Second
	a := &call{id: fmt.Sprintf("raw%013x", c.next.Add(1)), method: http.MethodGet, path: path, node: p.name, sent: time.Now()}
	defer func() {
		c.mu.Lock()
		c.calls[a.id] = a
		c.mu.Unlock()
		c.record.line("caller gets status %d for GET %s %s from %s, error %v", a.status, path, a.id, p.name, a.err)
	}()
	conn, err := net.DialTimeout("tcp", p.front, time.Second)
	if err != nil {
		a.err = err
		return
	}
	defer conn.Close()
	if a.err = conn.SetDeadline(time.Now().Add(timeout)); a.err != nil {
		return
	}
	if _, a.err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", path, callerHost, names.HeaderID, a.id, names.HeaderDeadline, timeout.Milliseconds()); a.err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		return
	}
	a.status = response.StatusCode
	a.err = response.Body.Close()
}
