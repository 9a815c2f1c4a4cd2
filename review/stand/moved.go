//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/proxy"
)

const (
	// signalled is the number of nodes of five that get SIGHUP, a share of 0.6.
	signalled = 3
	// overlap is for how long the store is still reached at its old address.
	overlap = 5 * time.Second
)

// movedStore: the store gets another address, and the settings files tell it.
func movedStore(c *cluster, trouble bool) (verdict, error) {
	if err := c.startStore(storeDelay); err != nil {
		return verdict{}, err
	}
	zones := []string{zonePalermo, zoneCatania, zoneRagusa, zonePalermo, zoneCatania}
	for i := range 3 {
		for _, service := range []string{"lot-ledger", "herbarium-view"} {
			if _, err := c.addTarget(fmt.Sprintf("i-%s-%d", service, i), service, zones[i], func(t *target) { t.slots, t.connections = 6, 110 }); err != nil {
				return verdict{}, err
			}
		}
	}
	move := func(service string) error {
		return c.configure(limits(), route("lot-fetch", "/timi402/", "idempotent", 4*time.Second, jsonMap{"service": service}))
	}
	if err := move("lot-ledger"); err != nil {
		return verdict{}, err
	}
	if err := c.start(zones...); err != nil {
		return verdict{}, err
	}
	if trouble {
		if err := c.moveStore(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(2 * stability)
	if err := move("herbarium-view"); err != nil {
		return verdict{}, err
	}
	confirmed := time.Now()
	time.Sleep(configApply)
	due := time.Now()
	callers := newCaller(c.record)
	callers.load(c.nodes, 20, 15*time.Second, func(p *process, number int) {
		callers.send(p, http.MethodGet, "/timi402/"+strconv.Itoa(number), "", 4*time.Second, nil)
	})
	return c.judgeStale(callers, due, confirmed), nil
}

// moveStore makes the store reachable at a second address, writes that into the settings
// files, and closes the first address after overlap.
func (c *cluster) moveStore() error {
	old, moved := c.storeLink, &proxy.Proxy{Target: c.store.Address()}
	if err := moved.Start(); err != nil {
		return err
	}
	moved.SetFaults(proxy.Faults{Delay: storeDelay})
	c.storeLink = moved
	for i, p := range c.nodes {
		content, err := os.ReadFile(p.config)
		if err != nil {
			return err
		}
		if err := os.WriteFile(p.config, []byte(strings.ReplaceAll(string(content), old.Address(), moved.Address())), 0o600); err != nil {
			return err
		}
		if i < signalled {
			if err := p.command.Process.Signal(syscall.SIGHUP); err != nil {
				return err
			}
		}
		c.record.line("settings of %s: the store is at %s; SIGHUP %v", p.name, moved.Address(), i < signalled)
	}
	time.Sleep(overlap)
	old.Stop()
	c.record.line("the store is no longer reached at %s", old.Address())
	return nil
}
