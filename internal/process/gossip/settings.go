package gossip

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/link"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

func (g *Gossip) compareSettings(announced stamp.Stamp, from *member.Member) {
	own := g.Keeper.Stamp()
	switch {
	case announced.After(own):
		g.pull(from, func() bool { return announced.After(g.Keeper.Stamp()) }, func() { g.fetchSettings(from.Link, announced) })
	case own.After(announced) && from.State < member.Silent:
		g.Link.Send(from.Link, link.Heartbeat, g.encode(time.Now(), nil))
	}
}

// pull runs a request to a daemon that has announced a newer state. If the daemon is
// in another data centre, pull waits for remotePullDelay first, and sends no request
// if that state has arrived from the own data centre by then.
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

// fetchSettings fetches settings from a daemon with newer ones, and then from
// those daemons that have announced newer ones in the meantime.
func (g *Gossip) fetchSettings(address string, announced stamp.Stamp) {
	if !g.settingsPulls.begin(address, announced) {
		return
	}
	for found := true; found; address, found = g.settingsPulls.next(g.Keeper.Stamp()) {
		g.fetchSettingsFrom(address)
	}
}

func (g *Gossip) fetchSettingsFrom(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	change, ok := g.askChange(ctx, address, g.Keeper.Stamp())
	if !ok {
		change, ok = g.askChange(ctx, address, stamp.Stamp{})
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

type settingsRequest struct{ Have stamp.Stamp }

func (g *Gossip) askChange(ctx context.Context, address string, have stamp.Stamp) (epoch.Change, bool) {
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
