package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// peerDown is how long a daemon that did not answer in time is left alone.
const peerDown = time.Second

// far reaches daemons of other regions. Each daemon keeps to one peer of a
// region while that answers, so that few connections cross regions.
type far struct {
	node *Node

	mu   sync.Mutex
	down map[string]time.Time
}

// Peer returns the link of a daemon that takes the work of callers in a region. Any
// other one would have to open connections first, to here and to its targets.
func (f *far) Peer(region string) (peer string, found bool) {
	now := time.Now()
	var links []string
	for _, m := range f.node.taking(now, region) {
		if !f.isDown(now, m.Link) {
			links = append(links, m.Link)
		}
	}
	if len(links) == 0 {
		return "", false
	}
	return rendezvous.New(links, xxhash.Sum64String).Lookup(f.node.Setup.Name), true
}

func (f *far) isDown(now time.Time, peer string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	until, down := f.down[peer]
	if down && !now.Before(until) {
		delete(f.down, peer)
		return false
	}
	return down
}

// Ask sends a message to a peer and waits for its reply.
func (f *far) Ask(ctx context.Context, peer string, body []byte, accepted func() bool) ([]byte, error) {
	return f.node.link.AskGather(ctx, peer, body, accepted)
}

// Failed leaves a peer alone for a while.
func (f *far) Failed(peer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down == nil {
		f.down = map[string]time.Time{}
	}
	f.down[peer] = time.Now().Add(peerDown)
	f.node.Meter.Decide("PeerFailed")
}

// assist gathers shards for another daemon.
func (n *Node) assist(ctx context.Context, body []byte, confirmed <-chan struct{}) []byte {
	if !n.linked.Load() {
		return nil
	}
	n.assists.Add(1)
	defer n.assists.Add(-1)
	return n.runner.Assist(ctx, body, confirmed)
}
