package member

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is a daemon's state; a later one wins within a version.
type State uint8

// The states.
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
	// degree is the number of daemons that each one sends heartbeats to.
	degree = 3
	// forgetAfter is how long a silent or gone daemon is remembered.
	forgetAfter = 10 * time.Minute
	// repeats is how often an update is passed on with heartbeats.
	repeats = 3
	// randomEvery is the number of routine heartbeats among which one goes to a
	// random member besides the successors.
	randomEvery = 4
	// updatesMost bounds the updates in one heartbeat.
	updatesMost = 32
	// introduceEvery is the number of heartbeats after which a daemon sends its
	// whole record again, for neighbours that have missed it.
	introduceEvery = 10
	// strangerFor is how long the random neighbour stays the same, since a new
	// connection costs far more than a heartbeat.
	strangerFor = 30 * time.Second
)

// Member is one daemon's record.
type Member struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Link is the UDP "ip:port" for the other daemons.
	Link string
	// URL is the base address for callers.
	URL        string
	DataCentre string
	Region     string
	// Incarnation tells a replaced or restarted daemon from its predecessor.
	Incarnation uint64
	Version     uint64
	State       State
	// UptimeMillis is the daemon's own monotonic clock when the record was
	// sent, carried forward by whoever passes it on.
	UptimeMillis int64
	// Fingerprint identifies the daemon's certificate where no authority signs.
	Fingerprint []byte
	// StoreLost is true while the daemon can not reach the store.
	StoreLost bool
}

// Brief is what a heartbeat says of its sender: enough to tell whether the
// record that the receiver holds is still true.
type Brief struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Version     uint64
	State       State
}

// Brief returns the short form of a record.
func (m *Member) Brief() Brief {
	return Brief{Name: m.Name, Incarnation: m.Incarnation, Version: m.Version, State: m.State}
}

// Serves reports whether callers may be sent there.
func (m *Member) Serves() bool { return m.State == Ready }

type entry struct {
	Member
	hash    uint64
	at      time.Time
	heard   time.Time
	watched time.Time
	sends   int
}

// Table is one daemon's view of the tier. Its methods may be called from any
// goroutine.
type Table struct {
	// Outgrow makes the daemon take a higher incarnation when it hears of a
	// predecessor that had one, as after a wall clock was set back. It is set
	// before the first call.
	Outgrow bool

	mu      sync.Mutex
	self    *entry
	started time.Time
	members map[string]*entry
	ring    []*entry
	dirty   bool
	random  *rand.Rand
	beats   int
	rounds  int
	// stranger is the random neighbour, chosen at a time.
	stranger   string
	strangerAt time.Time
}

// New returns a table that holds the daemon itself.
func New(now time.Time, self Member, seed uint64) *Table {
	e := &entry{Member: self, hash: xxhash.Sum64String(self.Name), at: now, sends: repeats}
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

// SetState changes the daemon's own state and tells the others.
func (t *Table) SetState(now time.Time, state State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = state
	t.bump(now)
}

// SetStoreLost tells the others whether the daemon reaches the store.
func (t *Table) SetStoreLost(now time.Time, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.StoreLost != lost {
		t.self.StoreLost = lost
		t.bump(now)
	}
}

// Trusts reports whether a daemon of the table has shown the certificate.
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

func (t *Table) bump(now time.Time) {
	t.self.Version++
	t.self.at = now
	t.self.sends = repeats
	t.dirty = true
}

// Merge takes records from another daemon and returns those that were news.
func (t *Table) Merge(now time.Time, records []Member) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []Member
	for i := range records {
		if t.merge(now, &records[i]) {
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
	e.at = now
	e.sends = repeats
	if changed {
		e.heard = now
		e.watched = time.Time{}
	}
	t.dirty = true
	return true
}

// refute answers a claim about this daemon that is not true.
func (t *Table) refute(now time.Time, m *Member) bool {
	if t.Outgrow && m.Incarnation > t.self.Incarnation {
		t.self.Incarnation = m.Incarnation + 1
		t.bump(now)
		return true
	}
	if m.Incarnation != t.self.Incarnation || m.Version < t.self.Version || m.State == t.self.State && m.Version == t.self.Version {
		return false
	}
	t.self.Version = m.Version
	t.bump(now)
	return true
}

func newer(a, b *Member) bool {
	order := cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Version, b.Version), cmp.Compare(a.State, b.State))
	return order > 0
}

// Heard records a heartbeat that came from the daemon itself, and returns the
// record held of it. The second result is false when that record is missing or
// belongs to another incarnation.
func (t *Table) Heard(now time.Time, from Brief) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.members[from.Name]
	if e == nil || e == t.self || e.Incarnation != from.Incarnation {
		return Member{}, false
	}
	e.heard = now
	return t.export(now, e), true
}

// Expire claims silent those of the watched daemons that were not heard, and
// returns the claims. Records of daemons long gone are dropped.
func (t *Table) Expire(now time.Time, silentAfter time.Duration) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	var claims []Member
	for _, e := range t.predecessors() {
		if e.watched.IsZero() {
			e.watched = now
		}
		last := e.heard
		if e.watched.After(last) {
			last = e.watched
		}
		if now.Sub(last) <= silentAfter {
			continue
		}
		e.State = Silent
		e.at = now
		e.sends = repeats
		t.dirty = true
		claims = append(claims, t.export(now, e))
	}
	t.forget(now)
	return claims
}

func (t *Table) forget(now time.Time) {
	for name, e := range t.members {
		if e != t.self && e.State >= Silent && now.Sub(e.at) > forgetAfter {
			delete(t.members, name)
			t.dirty = true
		}
	}
}

// Updates returns the records to pass on with the next heartbeats, newest
// news first, and counts them as passed on.
func (t *Table) Updates(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.beats++; t.beats%introduceEvery == 0 {
		t.self.sends = max(t.self.sends, 1)
	}
	var due []*entry
	for _, e := range t.members {
		if e.sends > 0 {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int { return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.hash, b.hash)) })
	due = due[:min(len(due), updatesMost)]
	updates := make([]Member, 0, len(due))
	for _, e := range due {
		e.sends--
		updates = append(updates, t.export(now, e))
	}
	return updates
}

// All returns every record, by name.
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

// Find returns the record of one incarnation of a daemon.
func (t *Table) Find(now time.Time, name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.members[name]
	if e == nil {
		return Member{}, false
	}
	return t.export(now, e), true
}

// Live returns the number of daemons that serve, this one included.
func (t *Table) Live() int {
	live, _ := t.Serving()
	return live
}

// Serving returns the number of daemons that serve, this one included, and how
// many of them are in its region.
func (t *Table) Serving() (live, near int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.members {
		if e.State > Leaving {
			continue
		}
		live++
		if e.Region == t.self.Region {
			near++
		}
	}
	return live, near
}

// Digest sums up the table, so that two daemons see whether theirs differ.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for _, e := range t.members {
		if e.State < Silent {
			sum += e.hash * (e.Incarnation + 31*e.Version + 7*uint64(e.State) + 1)
		}
	}
	return sum
}

// export copies a record with its uptime carried forward to now.
func (t *Table) export(now time.Time, e *entry) Member {
	m := e.Member
	if e == t.self {
		m.UptimeMillis = now.Sub(t.started).Milliseconds()
	} else {
		m.UptimeMillis += now.Sub(e.at).Milliseconds()
	}
	return m
}
