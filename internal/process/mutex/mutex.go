//go:build !lockorder

// Package mutex is the mutual exclusion lock of all other packages. It is sync.Mutex, or
// with the build tag lockorder one that ends the process as soon as two locks are taken in
// both orders, even if no goroutine waits for the other one. CI runs the tests with the tag.
//
// While a lock is held, other packages may be called, since they lock what is theirs. A
// function that was passed in must not be called, since it may take any lock; see package
// calls.
//
// # Usage
//
//	mu mutex.Mutex
package mutex

import "sync"

// Mutex is sync.Mutex.
type Mutex = sync.Mutex
