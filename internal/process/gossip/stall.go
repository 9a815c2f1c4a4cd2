package gossip

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/link"
)

const (
	// stallRepeat is the time for which one word about a target is enough.
	stallRepeat = 250 * time.Millisecond
	// stallPeers bounds the daemons that are told of a late target; the others
	// of a large region find out by themselves.
	stallPeers = 16
)

// stallNotice tells that a target has been silent for some time.
type stallNotice struct {
	_           struct{} `cbor:",toarray"`
	Pool        string
	ID          string
	SinceMillis int64
}

// warnings remembers which targets daemons were told of lately.
type warnings struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// fresh reports whether nothing was said of the target lately, and notes it.
func (w *warnings) fresh(now time.Time, id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Before(w.until[id]) {
		return false
	}
	if w.until == nil {
		w.until = map[string]time.Time{}
	}
	for other, until := range w.until {
		if !now.Before(until) {
			delete(w.until, other)
		}
	}
	w.until[id] = now.Add(stallRepeat)
	return true
}

// Stall tells the daemons of the own region that a target is late to answer,
// so that they need not find out by requests of their own.
func (g *Gossip) Stall(pool, id string, since time.Duration) {
	now := time.Now()
	if !g.warned.fresh(now, id) {
		return
	}
	body, err := codec.Encode(&stallNotice{Pool: pool, ID: id, SinceMillis: since.Milliseconds()})
	if err != nil {
		klog.ErrorS(err, "a late target can not be told of", "target", id)
		return
	}
	g.Meter.Decide("TellStall")
	for _, m := range g.Table.Near(now, stallPeers) {
		g.Link.Send(m.Link, link.Stall, body)
	}
}

func (g *Gossip) hearStall(body []byte) {
	var notice stallNotice
	if err := codec.Decode(body, &notice); err != nil || g.Stalled == nil {
		return
	}
	g.warned.fresh(time.Now(), notice.ID)
	g.Stalled(notice.Pool, notice.ID, time.Duration(notice.SinceMillis)*time.Millisecond)
}
