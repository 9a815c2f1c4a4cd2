// Package gather is the state machine of one scatter. It decides which shard is
// sent to which target and when, which slow shards are hedged, which failed
// shards are retried, and when the request is done.
//
// The package does no I/O and reads no clock. Every call returns a Step, which
// lists what the caller has to send, wait for and cancel.
//
// # Usage
//
//	g := gather.New(gather.Config{View: view, Targets: f, HedgeBudget: h, RetryBudget: r, Settings: s})
//	step := g.Begin(now)
//	for !step.Done {
//		// carry out step.Send, step.AwaitRoom and step.Cancel; wait for an event
//		step = g.Ended(now, attempt, outcome) // or g.Freed, or g.Tick
//	}
//	missing := g.Missing()
package gather
