//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// configApply and stability are the bounds of the settings file.
	configApply = 4 * time.Second
	stability   = 5 * time.Second
	// tierNodes is the number of nodes, and tierRounds that of restarts of all of them.
	tierNodes  = 24
	tierRounds = 3
	// roundTime is how long callers send requests after a restart.
	roundTime = 8 * time.Second
	// startSpread is the time within which the users' platform starts all machines.
	startSpread = 300 * time.Millisecond
	// startSlack shortens the pauses between starts, since a start takes a moment itself.
	startSlack = 6
	// storeDelay is half of the time in which the users' store answers.
	storeDelay = 2 * time.Millisecond
)

// restartedTier: all nodes are killed at the same moment and started again; then the
// operator moves a route to another service. The whole is played some rounds.
func restartedTier(c *cluster, trouble bool) (verdict, error) {
	zones := []string{zonePalermo, zoneCatania, zoneRagusa}
	services := []string{"lot-ledger", "herbarium-view"}
	if err := c.startStore(); err != nil {
		return verdict{}, err
	}
	for i := range 3 {
		for _, service := range services {
			if _, err := c.addTarget(fmt.Sprintf("i-%s-%d", service, i), service, zones[i%len(zones)], func(t *target) { t.slots, t.connections = 6, 110 }); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := c.moveRoute(services[0]); err != nil {
		return verdict{}, err
	}
	var all []string
	for i := range tierNodes {
		all = append(all, zones[i%len(zones)])
	}
	if err := c.start(all...); err != nil {
		return verdict{}, err
	}
	time.Sleep(stability)
	found := verdict{}
	for round := range tierRounds {
		before, after := services[round%len(services)], services[(round+1)%len(services)]
		v, err := c.restartAndMove(trouble, before, after)
		if err != nil {
			return verdict{}, err
		}
		found.broken = found.broken || v.broken
		found.summary += fmt.Sprintf("round %d: %s. ", round+1, v.summary)
	}
	return found, nil
}

// moveRoute writes a configuration whose only route leads to the service.
func (c *cluster) moveRoute(service string) error {
	return c.configure(limits(), route("lot-fetch", "/timi402/", 4*time.Second, jsonMap{"service": service}))
}

// restartAndMove plays one round.
func (c *cluster) restartAndMove(trouble bool, before, after string) (verdict, error) {
	started := time.Now()
	if trouble {
		if err := c.killAndStartAll(); err != nil {
			return verdict{}, err
		}
		started = time.Now()
	}
	if err := c.waitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Until(started.Add(time.Second)))
	if err := c.moveRoute(after); err != nil {
		return verdict{}, err
	}
	confirmed := time.Now()
	due := confirmed.Add(configApply)
	if inTouch := started.Add(stability); inTouch.After(due) {
		due = inTouch
	}
	time.Sleep(time.Until(due))
	due = time.Now()
	for _, p := range c.nodes {
		c.resolve(p)
	}
	callers := newCaller(c.record)
	callers.load(c.nodes, 5*tierNodes, roundTime, func(p *process, number int) {
		callers.send(p, http.MethodGet, "/timi402/"+strconv.Itoa(number), 4*time.Second, nil)
	})
	return c.judgeStale(callers, before, due, confirmed), nil
}

// killAndStartAll kills all nodes at once, and starts them within startSpread, in any order.
func (c *cluster) killAndStartAll() error {
	c.record.line("all nodes are killed")
	for _, p := range c.nodes {
		if err := p.command.Process.Kill(); err != nil {
			return err
		}
	}
	for _, p := range c.nodes {
		<-p.ended
	}
	if err := c.restarted(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	for _, i := range rand.Perm(len(c.nodes)) {
		if err := c.launch(c.nodes[i]); err != nil {
			return err
		}
		time.Sleep(startSpread / time.Duration(len(c.nodes)+startSlack))
	}
	return nil
}

// judgeStale finds requests sent since due that the service of the older version has run.
func (c *cluster) judgeStale(callers *caller, before string, due, confirmed time.Time) verdict {
	stale, last := map[string]int{}, time.Duration(0)
	for _, t := range c.targets {
		if t.service != before {
			continue
		}
		for id := range t.ran {
			a := callers.calls[id]
			if a == nil || a.sent.Before(due) {
				continue
			}
			stale[a.node]++
			last = max(last, a.sent.Sub(confirmed))
			c.record.line("CONFIG %s, sent to %s %v after the confirmation, was run by %s of %s", id, a.node, a.sent.Sub(confirmed).Round(time.Millisecond), t.id, before)
		}
	}
	return verdict{len(stale) > 0, fmt.Sprintf(
		"run by the old service: %v; the last was sent %v after the confirmation; statuses of all calls: %v", stale, last.Round(time.Millisecond), callers.count("/"))}
}
