package gossip

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/link"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
)

func (g *Gossip) compareRevisions(revision int64, from *member.Member) {
	own := g.Keeper.Current().Change.Revision
	switch {
	case revision > own:
		g.pull(from, func() bool { return revision > g.Keeper.Current().Change.Revision }, func() { g.fetchSettings(from.Link, revision) })
	case revision < own && from.State < member.Silent:
		g.Link.Send(from.Link, link.Heartbeat, g.encode(time.Now(), nil))
	}
}

// pull runs a request to a daemon that has announced a newer revision. If the
// daemon is in another data centre, pull waits for remotePullDelay first, and
// sends no request if the revision has arrived from the own data centre by then.
func (g *Gossip) pull(from *member.Member, lacks func() bool, ask func()) {
	if from.DataCentre == g.Table.Self(time.Now()).DataCentre {
		go ask()
		return
	}
	time.AfterFunc(remotePullDelay, func() {
		if lacks() {
			ask()
		}
	})
}

// fetchSettings fetches settings from a daemon with a newer revision, and then from
// those daemons that have announced a newer one in the meantime.
func (g *Gossip) fetchSettings(address string, revision int64) {
	if !g.settingsPulls.begin(address, revision) {
		return
	}
	for found := true; found; address, found = g.settingsPulls.next(g.Keeper.Current().Change.Revision) {
		g.fetchSettingsFrom(address)
	}
}

func (g *Gossip) fetchSettingsFrom(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	change, ok := g.askChange(ctx, address, g.Keeper.Current().Change.Revision)
	if !ok {
		change, ok = g.askChange(ctx, address, 0)
	}
	if !ok {
		g.Meter.CountDecision("SettingsNotFetched")
		return
	}
	g.applySettings(change, address)
}

// ApplySettings puts a change of the settings that the store holds in force and announces it to the other
// daemons, if it is newer than the current one.
func (g *Gossip) ApplySettings(change epoch.Change) { g.applySettings(change, FromStore) }

func (g *Gossip) applySettings(change epoch.Change, from string) {
	accepted, err := g.Keeper.Apply(time.Now(), change)
	if err != nil {
		g.Meter.CountDecision("RefuseInvalidSettings")
		klog.Errorf("settings revision %d are invalid and not in force: %v", change.Revision, err)
		return
	}
	if !accepted {
		return
	}
	klog.Infof("settings revision %d (change %d) are in force", change.Revision, change.Number)
	g.Accepted(from)
	g.Push()
}

type settingsRequest struct{ Have int64 }

func (g *Gossip) askChange(ctx context.Context, address string, have int64) (epoch.Change, bool) {
	body, err := codec.Encode(&settingsRequest{Have: have})
	if err != nil {
		return epoch.Change{}, false
	}
	reply, err := g.Link.Ask(ctx, address, link.Fetch, body)
	if err != nil {
		return epoch.Change{}, false
	}
	var delta epoch.Delta
	if err := codec.Unpack(reply, &delta); err != nil {
		return epoch.Change{}, false
	}
	return g.Keeper.Patch(delta)
}

func (g *Gossip) serveSettings(body []byte) []byte {
	var request settingsRequest
	if err := codec.Decode(body, &request); err != nil {
		return nil
	}
	reply, err := codec.Pack(g.Keeper.Since(request.Have))
	if err != nil {
		return nil
	}
	return reply
}
