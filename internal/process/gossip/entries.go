package gossip

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/link"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

type entriesRequest struct {
	Have stamp.Stamp
	// Withheld asks for what the daemon knows of targets whose registrations it holds back, and
	// for nothing else.
	Withheld bool
}

// compareRosters fetches registrations from a peer that has a newer roster, or
// sends a heartbeat to a peer that has an older one.
func (g *Gossip) compareRosters(announced stamp.Stamp, from *member.Member) {
	if g.Roster == nil {
		return
	}
	own := g.Roster.Stamp()
	switch {
	case announced.After(own):
		g.pull(from, func() bool { return announced.After(g.Roster.Stamp()) }, func() { g.fetchEntries(from.Link, announced) })
	case own.After(announced) && from.State < member.Silent:
		g.Link.Send(from.Link, link.Heartbeat, g.encode(time.Now(), nil))
	}
}

// fetchEntries fetches registrations from a daemon, and then from those daemons
// that have announced newer ones in the meantime.
func (g *Gossip) fetchEntries(address string, announced stamp.Stamp) {
	if g.Roster == nil || !g.entryPulls.begin(address, announced) {
		return
	}
	for found := true; found; address, found = g.entryPulls.next(g.Roster.Stamp()) {
		g.fetchEntriesFrom(address)
	}
}

func (g *Gossip) fetchEntriesFrom(address string) {
	// If it fails, the next heartbeat from a daemon with a newer roster triggers another attempt.
	if delta, ok := g.askEntries(context.Background(), address, &entriesRequest{Have: g.Roster.Stamp()}); ok {
		g.announceRegistrations(g.Roster.Merge(time.Now(), *delta), address)
	}
}

// FetchWithheld asks daemons, one after the other until one answers, which registrations in the
// store are from an older copy and contradict what the daemon knows. It reports whether one has
// answered.
func (g *Gossip) FetchWithheld(ctx context.Context, addresses []string) bool {
	for _, address := range addresses {
		if delta, ok := g.askEntries(ctx, address, &entriesRequest{Withheld: true}); ok {
			g.announceRegistrations(g.Roster.Withhold(time.Now(), delta.Entries), address)
			return true
		}
	}
	return false
}

func (g *Gossip) askEntries(ctx context.Context, address string, request *entriesRequest) (*roster.Delta, bool) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	body, err := codec.Encode(request)
	if err != nil {
		klog.ErrorS(err, "cannot encode the request for registrations")
		return nil, false
	}
	reply, err := g.Link.Ask(ctx, address, link.Entries, body)
	if err != nil {
		g.Meter.CountDecision("RegistrationsNotFetched")
		return nil, false
	}
	var delta roster.Delta
	if err := codec.Unpack(reply, &delta); err != nil {
		g.Meter.CountDecision("DropMalformedRegistrations")
		return nil, false
	}
	return &delta, true
}

// AnnounceRegistrations announces that registrations of some pools have changed in the
// store.
func (g *Gossip) AnnounceRegistrations(pools []string) { g.announceRegistrations(pools, FromStore) }

func (g *Gossip) announceRegistrations(pools []string, from string) {
	if len(pools) == 0 {
		return
	}
	g.Registered(pools, from)
	g.Push()
}

func (g *Gossip) serveEntries(body []byte) []byte {
	var request entriesRequest
	if err := codec.Decode(body, &request); err != nil || g.Roster == nil {
		return nil
	}
	delta := g.Roster.Since(time.Now(), request.Have)
	if request.Withheld {
		delta = roster.Delta{Entries: g.Roster.Withheld()}
	}
	reply, err := codec.Pack(delta)
	if err != nil {
		klog.ErrorS(err, "cannot encode the registrations for a peer")
		return nil
	}
	return reply
}
