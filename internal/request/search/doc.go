// Package search carries out one search of one service: it pins an index
// version, runs the gather that decides the course of the scatter, sends its
// attempts, checks and merges the replies, and tells the truth about the
// result.
//
// # Usage
//
//	r := &search.Runner{Deployment: "Erbacee", Service: "Herbarium", Fleet: f, ...}
//	answer, refusal := r.Run(ctx, &search.Request{ID: id, Query: "oregano", ...})
//
// Exactly one of the two results is set.
package search
