package node

import (
	"context"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/request/relay"
)

const (
	// maxStartWait is how long a request waits at most for a daemon that starts, which
	// takes two round trips to the store; and not longer than the caller's timeout
	// divided by startWaitDivisor, so that time remains to retry elsewhere.
	maxStartWait     = 150 * time.Millisecond
	startWaitDivisor = 8
)

// awaitStart lets a request wait for a short time while the daemon starts.
func (n *Node) awaitStart(ctx context.Context, request *relay.Request) {
	select {
	case <-n.serving:
		return
	default:
	}
	patience := maxStartWait
	if request.Timeout > 0 {
		patience = min(patience, request.Timeout/startWaitDivisor)
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-n.serving:
	case <-timer.C:
	case <-ctx.Done():
	}
}
