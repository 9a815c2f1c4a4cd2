package rewind

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/feed"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

const (
	configKey     = "config"
	targetsPrefix = "targets/"
	membersPrefix = "members/"
	itemsPerPage  = 500
	// pageTimeout limits the time for one page, as the platform's client does.
	pageTimeout = time.Second
	// bucket is the resolution of the counts of calls.
	bucket = 100 * time.Millisecond
)

// item is a key with its value, or its removal if the value is nil.
type item struct {
	key      string
	value    any
	lease    int64
	revision int64
}

type lease struct {
	owner string
	ttl   time.Duration
	ends  time.Time
}

// content is what a copy of the store holds.
type content struct {
	revision, nextLease, compacted int64
	items                          map[string]item
	history                        []item
	leases                         map[int64]lease
	at                             time.Time
}

func (c *content) clone() content {
	d := *c
	d.items, d.leases, d.history, d.at = maps.Clone(c.items), maps.Clone(c.leases), slices.Clone(c.history), time.Now()
	return d
}

// calls counts the calls of all daemons in one bucket of time.
type calls struct{ reads, writes int }

// store is the platform's store. A change wakes the calls that wait.
type store struct {
	mu sync.Mutex
	content
	era         int64
	changed     chan struct{}
	keptHistory int
	// away is true while nobody reaches the store.
	away bool
	// awaySince is when it first went away, and returned when it last returned.
	awaySince, returned time.Time
	counts              map[time.Time]*calls
	kinds               map[string]int
}

func newStore(keptHistory int, era int64) *store {
	return &store{
		content: content{revision: 1, nextLease: 1, items: map[string]item{}, leases: map[int64]lease{}},
		era:     era, changed: make(chan struct{}), keptHistory: keptHistory, counts: map[time.Time]*calls{}, kinds: map[string]int{},
	}
}

func (s *store) count(kind string, reads, writes int) {
	at := time.Now().Truncate(bucket)
	if s.counts[at] == nil {
		s.counts[at] = &calls{}
	}
	s.counts[at].reads += reads
	s.counts[at].writes += writes
	s.kinds[kind] += reads + writes
}

// put writes a key, or removes it if the value is nil.
func (s *store) put(key string, value any, lease int64) {
	s.revision++
	i := item{key, value, lease, s.revision}
	if value == nil {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	if drop := len(s.history) - s.keptHistory; drop > 0 {
		s.compacted = s.history[drop-1].revision
		s.history = slices.Delete(s.history, 0, drop)
	}
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// grant returns the ID of a new lease.
func (s *store) grant(owner string, ttl time.Duration) int64 {
	s.nextLease++
	s.leases[s.nextLease] = lease{owner, ttl, time.Now().Add(ttl)}
	return s.nextLease
}

// renew reports whether the lease exists.
func (s *store) renew(id int64) bool {
	l, found := s.leases[id]
	if found {
		l.ends = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	return found
}

// expire ends leases whose time is up.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if s.away || time.Now().Before(l.ends) {
			continue
		}
		delete(s.leases, id)
		for _, key := range slices.Sorted(maps.Keys(s.items)) {
			if s.items[key].lease == id {
				s.put(key, nil, 0)
			}
		}
	}
}

// setAway makes the store unreachable, and ends the calls that wait.
func (s *store) setAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	if s.awaySince.IsZero() {
		s.awaySince = time.Now()
	}
	s.wake()
}

// putBack replaces the content by a copy. Its leases have gone on or paused meanwhile. A store of
// before, which names no era, comes back as it was.
func (s *store) putBack(c content, leasesPaused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era > 0 {
		s.content = c.clone()
		s.era++
	}
	s.away, s.returned = false, time.Now()
	for id, l := range s.leases {
		if leasesPaused && s.era > 0 {
			l.ends = l.ends.Add(time.Since(c.at))
		}
		s.leases[id] = l
	}
	s.wake()
}

// faults are what happens to the calls of one daemon.
type faults struct {
	// cutOff keeps the daemon from the store. silent leaves its calls without an answer
	// instead of refusing them, also while the store is away.
	cutOff, silent bool
	// lost is the share of calls whose reply is lost, half of them after they were carried out, and late
	// that of calls whose reply is late.
	lost, late float64
}

// client is the feed.Source of one daemon.
type client struct {
	store *store
	name  string

	mu     sync.Mutex
	random *rand.Rand
	faults faults
}

func (c *client) setFaults(change func(f *faults)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.faults)
}

// chance returns true with the given probability.
func (c *client) chance(probability float64) bool { return c.random.Float64() < probability }

func unavailable(op string) error { return &feed.Error{Op: op, Kind: feed.KindUnavailable} }

// call makes one call. It returns the era for which the reply counts. The store carries out do, which
// holds its lock, and reports whether there is something to return already.
func (c *client) call(ctx context.Context, kind string, reads, writes int, do func() bool) (era int64, err error) {
	c.mu.Lock()
	f := c.faults
	delay := time.Duration(1+c.random.IntN(20)) * time.Millisecond
	lost, done := c.chance(f.lost), c.chance(0.5)
	late := time.Duration(0)
	if c.chance(f.late) {
		late = time.Duration(c.random.IntN(1500)) * time.Millisecond
	}
	c.mu.Unlock()
	s := c.store
	s.mu.Lock()
	s.count(kind, reads, writes)
	s.mu.Unlock()
	fail := func(silent bool) (int64, error) {
		if silent {
			<-ctx.Done()
		}
		return 0, unavailable(kind)
	}
	if !wait(ctx, delay) {
		return 0, unavailable(kind)
	}
	for {
		if c.isCutOff() || lost && !done {
			return fail(f.silent || lost)
		}
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			return fail(f.silent)
		}
		ready := do()
		changed := s.changed
		era = s.era
		s.mu.Unlock()
		if ready {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, unavailable(kind)
		}
	}
	if lost {
		return fail(true)
	}
	// A reply that is under way arrives even if the store is away by then.
	if !wait(ctx, delay+late) {
		return 0, unavailable(kind)
	}
	return era, nil
}

func (c *client) isCutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults.cutOff
}

func wait(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Load implements feed.Source.
func (c *client) Load(ctx context.Context, _ int) (*feed.Changes, error) {
	return c.list(ctx, "load", "")
}

// Members implements feed.Source.
func (c *client) Members(ctx context.Context) ([]member.Member, error) {
	changes, err := c.list(ctx, "members", membersPrefix)
	if err != nil {
		return nil, err
	}
	return changes.Members, nil
}

func (c *client) list(ctx context.Context, kind, prefix string) (*feed.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	var items []item
	var revision int64
	era, err := c.call(ctx, kind, 1, 0, func() bool {
		items, revision = nil, c.store.revision
		for _, key := range slices.Sorted(maps.Keys(c.store.items)) {
			if strings.HasPrefix(key, prefix) {
				items = append(items, c.store.items[key])
			}
		}
		c.store.count(kind, len(items)/itemsPerPage, 0)
		return true
	})
	if err != nil {
		return nil, err
	}
	return decode(items, stamp.Stamp{Era: era, Revision: revision}, true), nil
}

// Follow implements feed.Source, by the rules of the platform's.
func (c *client) Follow(ctx context.Context, after stamp.Stamp, limit time.Duration) (*feed.Changes, error) {
	var events []item
	var revision int64
	gone, began := false, time.Now()
	timer := time.AfterFunc(limit, func() {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		c.store.wake()
	})
	defer timer.Stop()
	era, err := c.call(ctx, "follow", 1, 0, func() bool {
		events, revision = nil, c.store.revision
		gone = after.Revision > revision || after.Revision < c.store.compacted
		for i := range c.store.history {
			if c.store.history[i].revision > after.Revision {
				events = append(events, c.store.history[i])
			}
		}
		return gone || len(events) > 0 || time.Since(began) >= limit
	})
	if err != nil {
		return nil, err
	}
	if gone || era != after.Era || len(events) == 0 && revision > after.Revision {
		return nil, &feed.Error{Op: "follow", Kind: feed.KindCompacted}
	}
	return decode(events, stamp.Stamp{Era: era, Revision: revision}, false), nil
}

// Register implements feed.Source.
func (c *client) Register(ctx context.Context, held feed.Lease, record *member.Member, ttl time.Duration) (feed.Lease, error) {
	if held == (feed.Lease{}) {
		var id int64
		era, err := c.call(ctx, "grant", 0, 1, func() bool { id = c.store.grant(c.name, ttl); return true })
		if err != nil {
			return feed.Lease{}, err
		}
		held = feed.Lease{ID: id, Era: era}
	}
	found := false
	era, err := c.call(ctx, "write", 0, 1, func() bool {
		if _, found = c.store.leases[held.ID]; found {
			c.store.put(membersPrefix+c.name, *record, held.ID)
		}
		return true
	})
	if err != nil {
		return held, err
	}
	return held, lapsed(held, era, found)
}

// Renew implements feed.Source.
func (c *client) Renew(ctx context.Context, held feed.Lease) error {
	found := false
	era, err := c.call(ctx, "renew", 1, 0, func() bool { found = c.store.renew(held.ID); return true })
	if err != nil {
		return err
	}
	return lapsed(held, era, found)
}

func lapsed(held feed.Lease, era int64, found bool) error {
	if found && held.Era == era {
		return nil
	}
	return &feed.Error{Op: "use a lease", Kind: feed.KindLapsed}
}

func decode(items []item, at stamp.Stamp, snapshot bool) *feed.Changes {
	changes := &feed.Changes{Snapshot: snapshot, Stamp: at}
	for i := range items {
		switch v := items[i].value.(type) {
		case epoch.Change:
			v.Era, v.Revision = at.Era, items[i].revision
			changes.Settings = &v
		case roster.Entry:
			v.Era, v.Revision = at.Era, items[i].revision
			changes.Entries = append(changes.Entries, v)
		case member.Member:
			changes.Members = append(changes.Members, v)
		case nil:
			if id, isTarget := strings.CutPrefix(items[i].key, targetsPrefix); isTarget {
				changes.Entries = append(changes.Entries, roster.Entry{ID: id, Era: at.Era, Revision: items[i].revision, Gone: true})
			}
		}
	}
	return changes
}
