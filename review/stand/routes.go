//go:build review

package main

import "time"

const settle = 3 * time.Second

// start starts the store, and the nodes once targets and configuration are there.
func (c *cluster) start(zones ...string) error {
	for _, zone := range zones {
		if _, err := c.startNode(zone); err != nil {
			return err
		}
	}
	if err := c.waitReady(); err != nil {
		return err
	}
	time.Sleep(settle)
	return nil
}

// route returns an idempotent route.
func route(name, prefix string, timeout time.Duration, more jsonMap) jsonMap {
	r := jsonMap{
		"name": name, "host": callerHost, "prefix": prefix, "kind": "idempotent", "timeoutMs": timeout.Milliseconds(),
		names.LatencyTarget: timeout.Milliseconds() / 10, "priority": 2, "maxAttempts": 2,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}
