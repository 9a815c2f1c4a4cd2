package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/drain"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

// peerRetryDelay is how long no message is sent to a peer that did not answer in time.
const peerRetryDelay = time.Second

// remotePeers sends messages to daemons of other regions. Each daemon uses the same
// peer of a region as long as that peer answers, so that few connections cross
// regions.
type remotePeers struct {
	node *Node

	mu        mutex.Mutex
	downUntil map[string]time.Time
}

// Peer returns the link address of an active daemon of a region. A daemon that is
// not active would first have to open connections to this daemon and to its targets.
func (p *remotePeers) Peer(region string) (peer string, found bool) {
	now := time.Now()
	var links []string
	for _, m := range p.node.activeDaemons(now, region) {
		if !p.isDown(now, m.Link) {
			links = append(links, m.Link)
		}
	}
	if len(links) == 0 {
		return "", false
	}
	return rendezvous.New(links, xxhash.Sum64String).Lookup(p.node.Setup.Name), true
}

func (p *remotePeers) isDown(now time.Time, peer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, down := p.downUntil[peer]
	if down && !now.Before(until) {
		delete(p.downUntil, peer)
		return false
	}
	return down
}

// Ask sends a message to a peer and waits for its reply.
func (p *remotePeers) Ask(ctx context.Context, peer string, body []byte, accepted func() bool) ([]byte, error) {
	return p.node.link.AskGather(ctx, peer, body, accepted)
}

// Failed excludes a peer from Peer for peerRetryDelay.
func (p *remotePeers) Failed(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.downUntil == nil {
		p.downUntil = map[string]time.Time{}
	}
	p.downUntil[peer] = time.Now().Add(peerRetryDelay)
	p.node.Meter.CountDecision("PeerFailed")
}

// assist gathers shards on behalf of another daemon.
func (n *Node) assist(ctx context.Context, body []byte, confirmed <-chan struct{}) []byte {
	if !n.tableReady.Load() {
		return nil
	}
	n.assistsInFlight.Add(1)
	defer n.assistsInFlight.Add(-1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(n.peerContext, func() { cancel(context.Cause(n.peerContext)) })()
	return n.runner.Assist(ctx, body, confirmed)
}

// stopAssisting ends the gathers on behalf of other daemons with the shards that have
// answered, and returns their number.
func (n *Node) stopAssisting() int {
	n.endPeerContext(drain.ErrStopping)
	return int(n.assistsInFlight.Load())
}
