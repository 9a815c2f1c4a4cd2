// Package gossip exchanges state between daemons: heartbeats, membership changes,
// revisions of the settings and of the registrations, and suspects.
//
// # Usage
//
//	g := &gossip.Gossip{Table: table, Link: l, Clock: mono.Now, Keeper: keeper, Fresh: tracker, Poison: register, Quota: q, Meter: m, Accepted: apply}
//	g.Init()
//	l.Handle = g.Handle
//	g.Join(ctx, seeds, 3)
//	go g.Run(ctx)
//	g.Push() // after a change that has to spread at once
package gossip

import (
	"context"
	"net"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/link"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fresh"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/quota"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

const (
	// pushDelay is how long updates are collected before they are sent.
	pushDelay = 20 * time.Millisecond
	// maxSuspects is the maximum number of suspects in one heartbeat.
	maxSuspects = 8
	// maxTableSuspects is the maximum number of suspects sent to a daemon that joins.
	maxTableSuspects = 512
	// maxSuspectAge is the age up to which heartbeats carry a suspect.
	maxSuspectAge = 30 * time.Second
	// mismatchTimeout is how long a table may differ from those of all other daemons
	// before this daemon requests the differences: updates take a fraction of this
	// time to spread.
	mismatchTimeout = 3 * time.Second
	askTimeout      = 3 * time.Second
	// pullTimeout is the timeout of a request for settings or registrations to one
	// daemon, after which another daemon is asked. It covers several round trips
	// between regions, and is a fraction of the time within which a change has to be
	// in force.
	pullTimeout = 500 * time.Millisecond
	// remotePullDelay is the delay before this daemon requests settings or registrations
	// that a daemon of another data centre has announced. Daemons of its own data centre
	// follow the store too, and changes arrive from them in half this time.
	remotePullDelay = 300 * time.Millisecond
	// maxAgeMillis bounds the ages that heartbeats carry.
	maxAgeMillis = 24 * 60 * 60 * 1000
)

// Heartbeat is the message of type link.Heartbeat.
type Heartbeat struct {
	_       struct{} `cbor:",toarray"`
	From    member.Brief
	Updates []member.Member
	// Settings is the stamp of the sender's settings, and Digest the checksum of its table.
	Settings stamp.Stamp
	Digest   uint64
	Suspects []poison.Entry
	Claims   []quota.Claim
	// Roster is the stamp up to which the sender's roster is complete.
	Roster stamp.Stamp
	// ConfirmedMillis is the time since the store confirmed the sender's settings and
	// roster, and AttemptedMillis the time since a daemon on whose word the sender relies
	// has asked the store; negative if unknown.
	ConfirmedMillis int64
	AttemptedMillis int64
	// Complete is the stamp of the store up to which the sender's settings and roster are
	// complete.
	Complete stamp.Stamp
}

// Link carries messages to other daemons. *link.Link implements it.
type Link interface {
	// Send sends a message, which may be lost.
	Send(address string, kind link.Type, body []byte)
	// Ask sends a message and returns the reply.
	Ask(ctx context.Context, address string, kind link.Type, body []byte) ([]byte, error)
	// Renew closes the connection to an earlier incarnation of a daemon.
	Renew(address string, fingerprint []byte)
}

// FromStore stands for the store where the sender of a state is named.
const FromStore = "store"

// Gossip exchanges state with other daemons on behalf of one daemon. Exported
// fields are set before Run.
type Gossip struct {
	Table *member.Table
	Link  Link
	// Clock returns the time on a clock that advances while the host is suspended.
	Clock  func() time.Time
	Keeper *epoch.Keeper
	Poison *poison.Register
	Quota  *quota.Quota
	Meter  *meter.Meter
	// Accepted is called after a new revision of the settings has come into force, with the
	// address of the daemon that has sent it, or FromStore.
	Accepted func(from string)
	// Execute answers a forwarded request; it is nil if this daemon accepts none.
	Execute func(body []byte) []byte
	// Roster holds the registrations of targets if the store keeps them. Registered is
	// called with the pools whose registrations have changed, and with the address of the
	// daemon that has sent the changes, or FromStore.
	Roster     *roster.Roster
	Registered func(pools []string, from string)
	// Fresh tracks what the settings and the roster rest on.
	Fresh *fresh.Tracker
	// Users returns the other daemons that use targets, in random order: those of the
	// own region if local is true, otherwise all. It must be set if Stall, Resume or
	// Lost is called.
	Users func(local bool) []member.Member
	// Noticed is called with each notice that another daemon sends about a target.
	Noticed func(notice *Notice)

	push          chan struct{}
	settingsPulls pulls
	entryPulls    pulls
	recentNotices noticeLimiter
	mismatch      mismatchTimer
}

// Init prepares the gossip to handle messages.
func (g *Gossip) Init() { g.push = make(chan struct{}, 1) }

// Run sends heartbeats until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		settings := g.Keeper.Current().Tree.Resolve("", "", "")
		select {
		case <-ctx.Done():
			return
		case <-g.push:
			time.Sleep(pushDelay)
			g.sendHeartbeats(false)
		case <-timer.C:
			g.expire(settings.SilentAfter)
			g.sendHeartbeats(true)
			timer.Reset(settings.HeartbeatInterval)
		}
	}
}

// Push sends pending updates without waiting for the next heartbeat interval.
func (g *Gossip) Push() {
	select {
	case g.push <- struct{}{}:
	default:
	}
}

func (g *Gossip) expire(silentAfter time.Duration) {
	for _, m := range g.Table.Expire(time.Now(), silentAfter) {
		klog.Infof("daemon %s at %s is silent", m.Name, m.Link)
		g.Meter.CountDecision("MemberSilent")
		g.Push()
	}
}

// sendHeartbeats sends one heartbeat to each recipient. Between the routine
// heartbeats, only neighbours in the own data centre and gateways get one, and
// other daemons only if this daemon alone has something to report.
func (g *Gossip) sendHeartbeats(routine bool) {
	now := time.Now()
	news := g.Table.News(now)
	recipients := g.Table.Recipients(now, routine || len(news.Own) > 0)
	g.send(recipients.Local, now, news.Local)
	g.send(recipients.Gateways, now, news.Gateways)
	g.send(recipients.Remote, now, news.Own)
}

func (g *Gossip) send(to []member.Member, now time.Time, updates []member.Member) {
	if len(to) == 0 {
		return
	}
	body := g.encode(now, updates)
	for i := range to {
		if to[i].State < member.Silent {
			g.Link.Send(to[i].Link, link.Heartbeat, body)
			continue
		}
		// If it lives, it corrects the record.
		g.Link.Send(to[i].Link, link.Heartbeat, g.encode(now, append(slices.Clip(updates), to[i])))
	}
}

func (g *Gossip) encode(now time.Time, updates []member.Member) []byte {
	self := g.Table.Self(now)
	h := &Heartbeat{
		From:     self.Brief(),
		Updates:  updates,
		Digest:   g.Table.Digest(),
		Suspects: g.recentSuspects(now),
	}
	if g.Quota != nil {
		h.Claims = g.Quota.Claims(now)
	}
	// The ages and Complete come first: what is read after them is as new as they say, or newer.
	confirmed, attempted := g.Fresh.Ages(g.Clock())
	h.ConfirmedMillis, h.AttemptedMillis = ageMillis(confirmed), ageMillis(attempted)
	h.Complete = g.Fresh.Stamp()
	if g.Roster != nil {
		h.Roster = g.Roster.Stamp()
	}
	h.Settings = g.Keeper.Stamp()
	body, err := codec.Encode(h)
	if err != nil {
		klog.Errorf("heartbeat: %v", err)
	}
	return body
}

// recentSuspects returns the suspects younger than maxSuspectAge, which other daemons
// may lack.
func (g *Gossip) recentSuspects(now time.Time) []poison.Entry {
	var recent []poison.Entry
	for _, e := range g.Poison.Entries(now, maxSuspects) {
		if time.Duration(e.AgeMillis)*time.Millisecond < maxSuspectAge {
			recent = append(recent, e)
		}
	}
	return recent
}

// Handle processes a message from the link and returns the reply, if any.
func (g *Gossip) Handle(_ context.Context, _ net.Addr, kind link.Type, body []byte) []byte {
	switch kind {
	case link.Heartbeat:
		g.handleHeartbeat(body)
	case link.Fetch:
		return g.serveSettings(body)
	case link.Table:
		return g.serveTable(body)
	case link.Execute:
		if g.Execute != nil {
			return g.Execute(body)
		}
	case link.Entries:
		return g.serveEntries(body)
	case link.Stall:
		g.handleNotice(body)
	}
	return nil
}

func (g *Gossip) handleHeartbeat(body []byte) {
	var h Heartbeat
	if err := codec.Decode(body, &h); err != nil {
		g.Meter.CountDecision("DropMalformedHeartbeat")
		return
	}
	now := time.Now()
	if g.Quota != nil {
		g.Quota.Merge(now, h.Claims)
	}
	news := g.Table.MergeFrom(now, h.From.Name, h.Updates)
	g.renewConnections(news)
	if g.Poison.Merge(now, h.Suspects) || len(news) > 0 {
		g.Push()
	}
	from, known := g.Table.RecordHeartbeat(now, h.From)
	if known && (g.Table.Outdated(h.Updates) || slices.ContainsFunc(news, func(m member.Member) bool { return m.Name == g.Table.Name() })) {
		// The sender had a false record of this daemon; send it the correct one.
		g.Link.Send(from.Link, link.Heartbeat, g.encode(now, []member.Member{g.Table.Self(now)}))
	}
	if !known {
		// One of the sender's next heartbeats carries its whole record.
		return
	}
	if from.State >= member.Silent || from.Version > h.From.Version {
		g.Link.Send(from.Link, link.Heartbeat, g.encode(now, []member.Member{from}))
	}
	g.compareSettings(h.Settings, &from)
	g.compareRosters(h.Roster, &from)
	g.compareDigests(now, h.Digest, &from)
	g.Fresh.Merge(g.Clock(), ageOf(h.ConfirmedMillis), ageOf(h.AttemptedMillis), h.Settings, h.Roster, h.Complete)
}

// ageMillis and ageOf convert an age that may be unknown.
func ageMillis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

func ageOf(millis int64) time.Duration {
	if millis < 0 || millis > maxAgeMillis {
		return fresh.Unknown
	}
	return time.Duration(millis) * time.Millisecond
}

// MembersChanged spreads a change of the table that did not come from another daemon, with
// the records that are new.
func (g *Gossip) MembersChanged(news []member.Member) {
	g.renewConnections(news)
	g.Push()
}

// renewConnections closes the connections to earlier incarnations of the daemons
// in the updates.
func (g *Gossip) renewConnections(news []member.Member) {
	for i := range news {
		if m := &news[i]; m.State < member.Silent && len(m.Fingerprint) > 0 {
			g.Link.Renew(m.Link, m.Fingerprint)
		}
	}
}

// compareDigests requests the records that the own table lacks once the table has
// differed from those of all other daemons for mismatchTimeout.
func (g *Gossip) compareDigests(now time.Time, digest uint64, from *member.Member) {
	if !g.mismatch.overdue(now, digest != g.Table.Digest()) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		g.Meter.CountDecision("CompareTables")
		g.askTable(ctx, from.Link)
	}()
}

// mismatchTimer holds the time since which the own table has differed from all
// others.
type mismatchTimer struct {
	mu    mutex.Mutex
	since time.Time
}

// overdue records whether the tables differ now. It returns true once they have
// differed for mismatchTimeout, and again after each further mismatchTimeout.
func (m *mismatchTimer) overdue(now time.Time, differs bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !differs:
		m.since = time.Time{}
	case m.since.IsZero():
		m.since = now
	case now.Sub(m.since) > mismatchTimeout:
		m.since = now
		return true
	}
	return false
}

// tableRequest asks for the records that the sender's table lacks.
type tableRequest struct {
	From     member.Member
	Have     []member.RecordDigest
	Suspects []poison.Entry
}

// tableReply holds the records that the asking daemon lacks.
type tableReply struct {
	Members []member.Member
	// Wanted are the hashes of the records that the asking daemon has in a newer
	// version.
	Wanted []uint64
	// Suspects are the suspects of the replying daemon. A daemon that joins needs them,
	// so that it does not lose targets to a query that all others already hold back.
	Suspects []poison.Entry
}

// askTable requests from a daemon the records that the own table lacks.
func (g *Gossip) askTable(ctx context.Context, address string) bool {
	now := time.Now()
	body, err := codec.Encode(&tableRequest{
		From: g.Table.Self(now), Have: g.Table.Digests(), Suspects: g.Poison.Entries(now, maxTableSuspects),
	})
	if err != nil {
		klog.ErrorS(err, "cannot encode the request for a membership table")
		return false
	}
	reply, err := g.Link.Ask(ctx, address, link.Table, body)
	if err != nil {
		return false
	}
	var message tableReply
	if err := codec.Decode(reply, &message); err != nil {
		return false
	}
	now = time.Now()
	if len(message.Wanted) > 0 {
		g.Link.Send(address, link.Heartbeat, g.encode(now, g.Table.Records(now, message.Wanted)))
	}
	g.renewConnections(g.Table.Merge(now, message.Members))
	g.Poison.Merge(now, message.Suspects)
	g.Push()
	return true
}

func (g *Gossip) serveTable(body []byte) []byte {
	var request tableRequest
	if err := codec.Decode(body, &request); err != nil {
		return nil
	}
	now := time.Now()
	newer, older := g.Table.Compare(now, request.Have)
	if news := g.Table.Merge(now, []member.Member{request.From}); len(news) > 0 {
		g.renewConnections(news)
		g.Push()
	}
	g.Poison.Merge(now, request.Suspects)
	reply, err := codec.Encode(&tableReply{Members: newer, Wanted: older, Suspects: g.Poison.Entries(now, maxTableSuspects)})
	if err != nil {
		klog.ErrorS(err, "cannot encode the membership table for a peer")
		return nil
	}
	return reply
}

// Join requests membership tables, settings and registrations from the seeds, one
// after the other, until the given number have answered. It reports whether any
// seed has answered.
func (g *Gossip) Join(ctx context.Context, seeds []string, limit int) bool {
	joined := 0
	own := g.Table.Self(time.Now()).Link
	for _, seed := range seeds {
		if joined == limit || ctx.Err() != nil {
			break
		}
		if seed == own {
			continue
		}
		ask, cancel := context.WithTimeout(ctx, askTimeout)
		if g.askTable(ask, seed) {
			joined++
			g.fetchSettings(seed, stamp.Latest)
			g.fetchEntries(seed, stamp.Latest)
		}
		cancel()
	}
	return joined > 0
}
