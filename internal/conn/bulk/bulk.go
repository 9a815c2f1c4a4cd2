// Package bulk bounds the memory that a process uses for long bodies that are
// still being read, over all connections together.
//
// # Usage
//
//	b := &bulk.Budget{MaxBytes: 16 << 20}
//	if !b.Take(size) {
//		// reject the body
//	}
//	defer b.Give(size)
package bulk

import "sync/atomic"

// Budget bounds the bytes in use. Exported fields are set before the first call.
type Budget struct {
	// MaxBytes bounds the number of bytes taken at any moment.
	MaxBytes int64

	taken atomic.Int64
}

// Take takes bytes from the budget and returns true, or takes none and returns
// false if they would exceed it.
func (b *Budget) Take(count int64) bool {
	if b.taken.Add(count) > b.MaxBytes {
		b.taken.Add(-count)
		return false
	}
	return true
}

// Give returns taken bytes to the budget.
func (b *Budget) Give(count int64) { b.taken.Add(-count) }
