package gossip

import (
	"net"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/link"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fresh"
	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mono"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

func TestPullsAskOneAfterTheOther(t *testing.T) {
	var p pulls
	if !p.begin("a", stamp.Stamp{Revision: 5}) {
		t.Fatal("the first daemon is not asked")
	}
	for _, o := range []offer{{"b", stamp.Stamp{Revision: 5}}, {"c", stamp.Stamp{Revision: 7}}, {"b", stamp.Stamp{Revision: 6}}} {
		if p.begin(o.address, o.announced) {
			t.Errorf("%s is asked while another request is running", o.address)
		}
	}
	if got, found := p.next(stamp.Stamp{Revision: 5}); !found || got != "b" {
		t.Errorf("next is %q, %v, want b, which has announced revision 6 as well", got, found)
	}
	if got, found := p.next(stamp.Stamp{Revision: 7}); found {
		t.Errorf("%q is asked for a revision that is known", got)
	}
	if !p.begin("d", stamp.Stamp{Revision: 8}) {
		t.Error("no daemon is asked after the end of a pull")
	}
}

// startGossip returns a gossip over a real link.
func startGossip(t *testing.T, name string) *Gossip {
	t.Helper()
	k, err := keys.Pinned(name)
	if err != nil {
		t.Fatal(err)
	}
	k.Trusted = func([]byte) bool { return true }
	g := &Gossip{Keeper: epoch.NewKeeper(), Poison: poison.New(), Meter: meter.New(), Roster: roster.New(), Fresh: fresh.New(mono.Now(), 1), Clock: mono.Now, Accepted: func(string) {}, Registered: func([]string, string) {}}
	g.Init()
	l := &link.Link{Address: "127.0.0.1:0", Keys: k, Handle: g.Handle}
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	g.Link = l
	g.Table = member.New(time.Now(), member.Member{Name: name, Link: l.Address, State: member.Ready, Incarnation: 1}, 1)
	return g
}

// The first daemon to announce a change loses power while another daemon asks it for
// the change. The asking daemon must fetch the change from another daemon that has
// announced it, without waiting for the next heartbeat.
func TestChangeIsFetchedFromAnotherPeerWhenTheFirstDies(t *testing.T) {
	behind, other := startGossip(t, "behind"), startGossip(t, "other")
	dead, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dead.Close() })
	other.ApplySettings(epoch.Change{Revision: 85, Number: 15, Files: tree.Files{"firm.ini": "[Cost]\nQueueLength = 9\n"}})
	other.Roster.Apply(time.Now(), []roster.Entry{{ID: "t", Pool: "p", Revision: 85}}, stamp.Stamp{Revision: 85})
	address, from := dead.LocalAddr().String(), other.Table.Self(time.Now()).Link
	go behind.fetchSettings(address, stamp.Stamp{Revision: 85})
	go behind.fetchEntries(address, stamp.Stamp{Revision: 85})
	buffer := make([]byte, 2048)
	if _, _, err := dead.ReadFrom(buffer); err != nil {
		t.Fatal(err)
	}
	behind.fetchSettings(from, stamp.Stamp{Revision: 85})
	behind.fetchEntries(from, stamp.Stamp{Revision: 85})
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		settings, entries := behind.Keeper.Current().Change.Revision, behind.Roster.Stamp().Revision
		if settings == 85 && entries == 85 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("settings at revision %d, registrations at %d", settings, entries)
		}
	}
}

// Guards against a daemon that has announced a new era of the store, whose revisions are lower, and
// is not asked.
func TestPullsAskForNewEra(t *testing.T) {
	var p pulls
	p.begin("a", stamp.Stamp{Era: 1, Revision: 5})
	p.begin("b", stamp.Stamp{Era: 2, Revision: 3})
	if got, found := p.next(stamp.Stamp{Era: 1, Revision: 5}); !found || got != "b" {
		t.Errorf("next is %q, %v, want b", got, found)
	}
}

// Guards against a daemon that hears of a new era of the store, whose revisions are lower, from a peer
// alone and keeps the settings and registrations of the earlier one.
func TestNewEraIsFetchedFromPeer(t *testing.T) {
	const wait = 5 * time.Second
	behind, ahead := startGossip(t, "behind"), startGossip(t, "ahead")
	now := time.Now()
	for era, g := range []*Gossip{behind, ahead} {
		written := stamp.Stamp{Era: int64(era), Revision: int64(9 - era)}
		if _, err := g.Keeper.Apply(now, epoch.Change{Era: written.Era, Revision: written.Revision, Number: 1, Files: tree.Files{}}); err != nil {
			t.Fatal(err)
		}
		g.Roster.Replace(now, nil, written)
	}
	behind.Table.Merge(now, []member.Member{ahead.Table.Self(now)})
	for end := now.Add(wait); behind.Roster.Stamp() != ahead.Roster.Stamp() || behind.Keeper.Stamp() != ahead.Keeper.Stamp(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("registrations at %v, settings at %v", behind.Roster.Stamp(), behind.Keeper.Stamp())
		}
		behind.Handle(t.Context(), nil, link.Heartbeat, ahead.encode(time.Now(), nil))
	}
}
