package node

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/gossip"
)

// reportNotice logs what a target says of itself, and tells peers of its limit.
func (n *Node) reportNotice(pool string, t *fleet.Target, notice fleet.Notice) {
	n.Meter.CountDecision("Target" + string(notice.Kind))
	common := []any{"pool", pool, "target", t.ID, "address", t.Address, "born", notice.Born}
	switch notice.Kind {
	case fleet.NoticeLeaving:
		n.Log.State("target leaves", append(common, "evidence", "its reply", "request", notice.Request, "drainMillis", notice.For.Milliseconds())...)
	case fleet.NoticeLeavingRegistration:
		n.Log.State("target leaves", append(common, "evidence", "its registration")...)
	case fleet.NoticePause:
		n.Log.State("target pauses", append(common, "evidence", "its reply", "request", notice.Request, "pauseMillis", notice.For.Milliseconds())...)
	case fleet.NoticeLimit:
		n.Log.State("target limits its requests", append(common, "evidence", "its reply", "request", notice.Request, "limitPerSecond", notice.Rate)...)
		go n.gossip.Limit(pool, t.ID, gossip.Limit{Born: notice.Born, Rate: notice.Rate})
	case fleet.NoticeNoLimit:
		n.Log.State("target limits its requests no more", append(common, "evidence", "its reply", "request", notice.Request)...)
		go n.gossip.Limit(pool, t.ID, gossip.Limit{Born: notice.Born})
	case fleet.NoticeInvalidLimit:
		n.Log.State("target names a limit that is no number", append(common, "request", notice.Request, "value", notice.Invalid)...)
	case fleet.NoticeInvalidPause:
		n.Log.State("target asks for a pause that is no sensible time", append(common, "request", notice.Request, "value", notice.Invalid, "pauseMillis", notice.For.Milliseconds())...)
	}
}

// announceStall notifies other daemons that a target's answer is late.
func (n *Node) announceStall(pool string, t *fleet.Target, since time.Duration) {
	n.gossip.Stall(pool, t.ID, since)
}

// handleNotice applies another daemon's notice about a target.
func (n *Node) handleNotice(notice *gossip.Notice) {
	now := time.Now()
	age := time.Duration(notice.AgeMillis) * time.Millisecond
	f := n.Pools.Fleet(notice.Pool)
	if l := notice.Limit; l != nil {
		if f.RecordPeerLimit(now, notice.ID, l.Born, l.Rate) {
			n.Log.State("another daemon reported a target's limit", "pool", notice.Pool, "target", notice.ID, "born", l.Born, "limitPerSecond", l.Rate)
		}
		return
	}
	if notice.Lost {
		n.Log.State("another daemon reported that a target lost an answer", "pool", notice.Pool, "target", notice.ID, "ageMillis", notice.AgeMillis)
		f.RecordPeerLoss(notice.ID, now.Add(-age))
		return
	}
	f.RecordPeerStall(now, notice.ID, age)
}
