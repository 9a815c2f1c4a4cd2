// Package search runs one search of one service. It pins an index version,
// drives the gather, sends its attempts, checks and merges the replies, and
// reports the coverage of the result.
//
// # Usage
//
//	r := &search.Runner{Deployment: "Erbacee", Service: "Herbarium", Fleet: f, ...}
//	answer, refusal := r.Run(ctx, &search.Request{ID: id, Query: "oregano", ...})
//
// Exactly one of the two results is set.
package search
