package node

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

// refusalLogInterval is the minimum time between two log lines about refusals: each peer
// that is refused connects again with every heartbeat, and a client as often as it likes.
const refusalLogInterval = 2 * time.Second

// refusals counts what a daemon refuses, for log lines that come at most once in
// refusalLogInterval.
type refusals struct {
	mu mutex.Mutex
	// count is the number of refusals since the last line.
	count  int
	logged time.Time
}

// add counts a refusal and returns the number to log now, or zero.
func (r *refusals) add(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	if now.Sub(r.logged) < refusalLogInterval {
		return 0
	}
	count := r.count
	r.count, r.logged = 0, now
	return count
}

// trusts reports whether a peer with this certificate is a daemon in the table. Nobody is
// trusted before the table exists.
func (n *Node) trusts(fingerprint []byte) bool {
	if !n.tableReady.Load() {
		return false
	}
	if n.Table.Trusts(fingerprint) {
		return true
	}
	n.Meter.CountDecision("RefuseUnknownPeer")
	if count := n.refused.add(time.Now()); count > 0 {
		n.Log.State("refused peers whose certificate is in no daemon's record", "count", count, "members", n.Table.Live(),
			"uptimeMillis", time.Since(n.started).Milliseconds())
	}
	return false
}
