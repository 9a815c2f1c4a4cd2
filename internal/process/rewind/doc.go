// Package rewind holds the randomized test of a tier whose store is put back to older copies.
// The daemons run in virtual time, with the real table, keeper, roster, tracker, gossip and feed;
// the store, the network, the operator and the targets are simulated.
//
// # Usage
//
//	go test ./internal/process/rewind
//	REWIND_SEEDS=50 go test -timeout 30m -run TestTier/daemons=60 ./internal/process/rewind
//	REWIND_SEEDS=7-7 go test -v -run TestTier/daemons=3$ ./internal/process/rewind
//
// A seed decides what happens and when. Timers that fall due at the same time run in any order, and
// the daemons' own delays are random, so the traces of two runs of a seed may differ.
package rewind
