package gossip

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/link"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

const (
	// noticeInterval is the minimum time between two notices about the same silent
	// target.
	noticeInterval = 250 * time.Millisecond
	// maxNoticePeers is the maximum number of daemons that get a notice; the others
	// detect the state of the target by themselves.
	maxNoticePeers = 16
)

// Notice tells other daemons of an event at a target: it fell silent, lost an answer, or
// named a limit.
type Notice struct {
	_    struct{} `cbor:",toarray"`
	Pool string
	ID   string
	// AgeMillis is the time since the event.
	AgeMillis int64
	// Lost is true if the target lost an answer, and false if it is silent.
	Lost bool
	// Limit is what the target said of its limit, or nil.
	Limit *Limit
}

// Limit is what a process of a target said of its limit.
type Limit struct {
	_ struct{} `cbor:",toarray"`
	// Born is the start of the process, in Unix milliseconds.
	Born int64
	// Rate is in requests a second, of all daemons together; zero means no limit.
	Rate float64
}

// noticeLimiter limits the rate of notices about each target.
type noticeLimiter struct {
	mu    mutex.Mutex
	until map[string]time.Time
}

// allow reports whether a notice about the target is due, and if so counts it as
// sent.
func (l *noticeLimiter) allow(now time.Time, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.until[id]) {
		return false
	}
	if l.until == nil {
		l.until = map[string]time.Time{}
	}
	for other, until := range l.until {
		if !now.Before(until) {
			delete(l.until, other)
		}
	}
	l.until[id] = now.Add(noticeInterval)
	return true
}

// Stall notifies the daemons of the own region that a target has been late to
// answer for some time, so that they need not find out with requests of their own.
func (g *Gossip) Stall(pool, id string, since time.Duration) {
	if g.recentNotices.allow(time.Now(), id) {
		g.sendNotice(&Notice{Pool: pool, ID: id, AgeMillis: since.Milliseconds()}, g.Users(true))
	}
}

// Lost notifies daemons of all regions that a target has just lost the answer to a
// request that cannot be sent again.
func (g *Gossip) Lost(pool, id string) {
	g.sendNotice(&Notice{Pool: pool, ID: id, Lost: true}, g.Users(false))
}

// Limit notifies daemons of all regions of the limit that a target has named.
func (g *Gossip) Limit(pool, id string, limit Limit) {
	g.sendNotice(&Notice{Pool: pool, ID: id, Limit: &limit}, g.Users(false))
}

func (g *Gossip) sendNotice(notice *Notice, to []member.Member) {
	body, err := codec.Encode(notice)
	if err != nil {
		klog.ErrorS(err, "cannot encode a notice about a target", "target", notice.ID)
		return
	}
	g.Meter.CountDecision("TellOfTarget")
	for i := range to[:min(len(to), maxNoticePeers)] {
		g.Link.Send(to[i].Link, link.Stall, body)
	}
}

func (g *Gossip) handleNotice(body []byte) {
	var notice Notice
	if err := codec.Decode(body, &notice); err != nil || g.Noticed == nil {
		g.Meter.CountDecision("DropMalformedNotice")
		return
	}
	if !notice.Lost && notice.Limit == nil {
		// Other daemons have this notice too, so this daemon need not send its own.
		g.recentNotices.allow(time.Now(), notice.ID)
	}
	g.Noticed(&notice)
}
