package member

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

// State is a daemon's state. Within one version of a record, the later state wins.
type State uint8

// The states of a daemon.
const (
	Joining State = iota
	Ready
	Leaving
	Silent
	Gone
)

// String names the state.
func (s State) String() string {
	return [...]string{"Joining", "Ready", "Leaving", "Silent", "Gone"}[min(s, Gone)]
}

const (
	// degree is the number of successors that each daemon sends heartbeats to, on the
	// ring of its data centre and on the ring of all daemons.
	degree = 2
	// gatewaysPerDataCentre is the number of daemons per data centre, its gateways,
	// that report the changes of their data centre to the other ones.
	gatewaysPerDataCentre = 2
	// forgetAfter is how long the table keeps the record of a silent or gone daemon.
	forgetAfter = 10 * time.Minute
	// updateSends is the number of heartbeat rounds that carry an update.
	updateSends = 3
	// randomEvery is the number of routine heartbeat rounds per heartbeat to a random
	// daemon, which is sent in addition to those to the successors.
	randomEvery = 4
	// maxUpdates is the maximum number of updates in one heartbeat.
	maxUpdates = 32
	// selfRecordEvery is the number of heartbeat rounds after which a daemon sends its
	// full record again, for neighbours that have missed it.
	selfRecordEvery = 10
	// randomPeerLifetime is how long a daemon keeps its choice of a random peer, since
	// a new connection costs far more than a heartbeat.
	randomPeerLifetime = 30 * time.Second
)

// Member is one daemon's record.
type Member struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Link is the UDP "ip:port" at which other daemons reach this one.
	Link string
	// URL is the base address for callers.
	URL        string
	DataCentre string
	Region     string
	// Incarnation tells a replaced or restarted daemon from its predecessor.
	Incarnation uint64
	Version     uint64
	State       State
	// UptimeMillis is the daemon's own monotonic clock when the record was sent. Each
	// daemon that passes the record on adds the time for which it held it.
	UptimeMillis int64
	// Fingerprint identifies the daemon's certificate if no certificate authority
	// signed it.
	Fingerprint []byte
	// StoreLost is true while the daemon cannot reach the store.
	StoreLost bool
	// Capacity is the load that the daemon's host is sized for, and Busy the part of
	// it in use. The daemons define the unit; this package only carries the numbers.
	Capacity uint32
	Busy     uint32
}

// Brief is the sender's part of a heartbeat. It is enough for the receiver to tell
// whether its record of the sender is up to date.
type Brief struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Version     uint64
	State       State
	StoreLost   bool
	Busy        uint32
}

// Brief returns the short form of the record: the fields that can change within an
// incarnation.
func (m *Member) Brief() Brief {
	return Brief{
		Name: m.Name, Incarnation: m.Incarnation, Version: m.Version, State: m.State, StoreLost: m.StoreLost, Busy: m.Busy,
	}
}

// Serves reports whether the daemon accepts requests of callers.
func (m *Member) Serves() bool { return m.State == Ready }

type entry struct {
	Member
	hash          uint64
	updated       time.Time
	lastHeartbeat time.Time
	watchedSince  time.Time
	sends         int
	// ownClaim is true if this daemon itself has found the other one silent, and
	// fromLocal if a daemon of the own data centre has sent the record.
	ownClaim, fromLocal bool
}

// Table is one daemon's view of the membership. Its methods may be called from any
// goroutine.
type Table struct {
	// RaiseIncarnation makes the daemon take a higher incarnation when it receives the
	// record of a predecessor of its name whose incarnation was higher than its own, as
	// happens after a wall clock was set back. It is set before the first call.
	RaiseIncarnation bool

	mu      mutex.Mutex
	self    *entry
	started time.Time
	members map[string]*entry
	// ring holds the live daemons sorted by hash, and local those of the own data
	// centre.
	ring          []*entry
	local         []*entry
	dirty         bool
	random        *rand.Rand
	newsRounds    int
	routineRounds int
	// randomPeer is a random daemon of any data centre, and randomLocalPeer one of the
	// own.
	randomPeer      cachedPeer
	randomLocalPeer cachedPeer
}

// cachedPeer is a random peer and the time at which it was chosen.
type cachedPeer struct {
	name string
	at   time.Time
}

// New returns a table that holds only the daemon itself.
func New(now time.Time, self Member, seed uint64) *Table {
	e := &entry{Member: self, hash: xxhash.Sum64String(self.Name), updated: now, sends: updateSends}
	return &Table{
		self: e, started: now, members: map[string]*entry{self.Name: e}, dirty: true,
		random: rand.New(rand.NewPCG(seed, e.hash)),
	}
}

// Self returns the daemon's own record.
func (t *Table) Self(now time.Time) Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.export(now, t.self)
}

// Name returns the daemon's own name.
func (t *Table) Name() string { return t.self.Name }

// SetState changes the daemon's own state and has the change sent to the others.
func (t *Table) SetState(now time.Time, state State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = state
	t.raiseVersion(now)
}

// SetStoreLost records whether the daemon reaches the store and has a change sent
// to the others.
func (t *Table) SetStoreLost(now time.Time, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.StoreLost != lost {
		t.self.StoreLost = lost
		t.raiseVersion(now)
	}
}

// Trusts reports whether a daemon in the table has the certificate with the given
// fingerprint.
func (t *Table) Trusts(fingerprint []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.members {
		if bytes.Equal(e.Fingerprint, fingerprint) {
			return true
		}
	}
	return false
}

// SetBusy records how much of its capacity the daemon uses and has a change sent
// to the others.
func (t *Table) SetBusy(now time.Time, busy uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Busy != busy {
		t.self.Busy = busy
		t.raiseVersion(now)
	}
}

func (t *Table) raiseVersion(now time.Time) {
	t.self.Version++
	t.self.updated = now
	t.self.sends = updateSends
	t.dirty = true
}

// Merge adds records that come from another daemon or the store, and returns those
// that were newer than the table's.
func (t *Table) Merge(now time.Time, records []Member) []Member {
	return t.MergeFrom(now, "", records)
}

// MergeFrom is Merge for records that the named daemon has sent.
func (t *Table) MergeFrom(now time.Time, from string, records []Member) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	sender := t.members[from]
	fromLocal := sender != nil && sender.DataCentre == t.self.DataCentre
	var news []Member
	for i := range records {
		if t.merge(now, &records[i]) {
			t.members[records[i].Name].fromLocal = fromLocal
			news = append(news, records[i])
		}
	}
	return news
}

func (t *Table) merge(now time.Time, m *Member) bool {
	if m.Name == "" {
		return false
	}
	if m.Name == t.self.Name {
		return t.refute(now, m)
	}
	e := t.members[m.Name]
	if e == nil {
		if m.State >= Silent {
			return false
		}
		e = &entry{hash: xxhash.Sum64String(m.Name)}
		t.members[m.Name] = e
	} else if !newer(m, &e.Member) {
		return false
	}
	changed := e.Incarnation != m.Incarnation || e.State != m.State
	e.Member = *m
	e.updated = now
	e.sends = updateSends
	e.ownClaim = false
	if changed {
		e.lastHeartbeat = now
		e.watchedSince = time.Time{}
	}
	t.dirty = true
	return true
}

// refute handles a record of this daemon that another daemon has sent. If the
// record is false, it raises the own version or incarnation above that of the
// record.
func (t *Table) refute(now time.Time, m *Member) bool {
	if t.RaiseIncarnation && m.Incarnation > t.self.Incarnation {
		t.self.Incarnation = m.Incarnation + 1
		t.raiseVersion(now)
		return true
	}
	if m.Incarnation != t.self.Incarnation || m.Version < t.self.Version || m.State == t.self.State && m.Version == t.self.Version {
		return false
	}
	t.self.Version = m.Version
	t.raiseVersion(now)
	return true
}

// Outdated reports whether one of the records, which another daemon has sent, describes
// this daemon as silent or gone, or describes an earlier process. The sender then needs
// the present record, whichever version it has.
func (t *Table) Outdated(records []Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(records, func(m Member) bool {
		return m.Name == t.self.Name && (m.State >= Silent && m.State > t.self.State || m.Incarnation < t.self.Incarnation)
	})
}

// RecordHeartbeat processes the sender's part of a heartbeat and returns the record of the
// sender. The second result is false if the table lacks that record or holds one
// of another incarnation.
func (t *Table) RecordHeartbeat(now time.Time, from Brief) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.members[from.Name]
	if e == nil || e == t.self || e.Incarnation != from.Incarnation {
		return Member{}, false
	}
	e.lastHeartbeat = now
	if from.Version > e.Version {
		e.Version, e.State, e.StoreLost, e.Busy = from.Version, from.State, from.StoreLost, from.Busy
		e.updated, e.sends, e.ownClaim = now, updateSends, false
		t.dirty = true
	}
	return t.export(now, e), true
}

// Expire marks as silent those monitored daemons that have sent no heartbeat for
// the given time, and returns their records. It also drops the records of daemons
// that have been silent or gone for long.
func (t *Table) Expire(now time.Time, silentAfter time.Duration) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	var claims []Member
	for _, e := range t.predecessors() {
		if e.watchedSince.IsZero() {
			e.watchedSince = now
		}
		last := e.lastHeartbeat
		if e.watchedSince.After(last) {
			last = e.watchedSince
		}
		if now.Sub(last) <= silentAfter {
			continue
		}
		e.State = Silent
		e.updated = now
		e.sends = updateSends
		e.ownClaim = true
		t.dirty = true
		claims = append(claims, t.export(now, e))
	}
	t.forget(now)
	return claims
}

func (t *Table) forget(now time.Time) {
	for name, e := range t.members {
		if e != t.self && e.State >= Silent && now.Sub(e.updated) > forgetAfter {
			delete(t.members, name)
			t.dirty = true
		}
	}
}

// All returns every record, sorted by name.
func (t *Table) All(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Member, 0, len(t.members))
	for _, e := range t.members {
		all = append(all, t.export(now, e))
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Find returns the record of the named daemon.
func (t *Table) Find(now time.Time, name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.members[name]
	if e == nil {
		return Member{}, false
	}
	return t.export(now, e), true
}

// Live returns the number of live daemons, including this one.
func (t *Table) Live() int {
	live, _ := t.LiveCounts()
	return live
}

// LiveCounts returns the number of live daemons, including this one, and how many of
// them are in its region.
func (t *Table) LiveCounts() (live, local int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.members {
		if e.State > Leaving {
			continue
		}
		live++
		if e.Region == t.self.Region {
			local++
		}
	}
	return live, local
}

// export returns a copy of a record with its uptime advanced to now.
func (t *Table) export(now time.Time, e *entry) Member {
	m := e.Member
	if e == t.self {
		m.UptimeMillis = now.Sub(t.started).Milliseconds()
	} else {
		m.UptimeMillis += now.Sub(e.updated).Milliseconds()
	}
	return m
}
