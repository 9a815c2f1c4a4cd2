//go:build lockorder

package mutex

import "github.com/sasha-s/go-deadlock"

// Mutex is sync.Mutex with a check of the order in which locks are taken.
type Mutex = deadlock.Mutex

// The check of how long a lock is waited for would take virtual time for real time.
func init() { deadlock.Opts.DeadlockTimeout = 0 } //nolint:gochecknoinits // the library takes its options from a variable
