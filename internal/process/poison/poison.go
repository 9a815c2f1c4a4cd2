// Package poison decides which queries are kept away from targets because they
// seem to crash them.
//
// # Usage
//
//	r := poison.New()
//	fingerprint := poison.Fingerprint("Erbacee", "Herbarium", query)
//	if _, held := r.Quarantined(now, fingerprint); held {
//		// refuse
//	}
//	q := poison.Query{Fingerprint: fingerprint, Version: view.Version}
//	r.Lost(now, q, poison.Loss{Target: address, Domain: rack})
//	r.Succeeded(now, q)
//
// A fingerprint is quarantined once two targets in two failure domains were
// lost while they ran it, unless losses in general are so many that a rack or
// switch is the likelier cause. One success anywhere clears it, since a query
// of death has none. Counting failure domains apart from the number of targets
// follows KIP-1290.
package poison

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lossesToHold is the number of lost targets that quarantine a query.
	lossesToHold = 2
	// lossesSameDomain is that number when all were in one failure domain.
	lossesSameDomain = 3
	// evidenceLife is how long a loss counts.
	evidenceLife = 10 * time.Minute
	// holdLife is how long a quarantine lasts.
	holdLife = 10 * time.Minute
	// massWindow and massLosses tell a failure of the surroundings: that many
	// targets lost within the window under other queries.
	massWindow = 2 * time.Second
	massLosses = 3
	// knownLife and knownMost bound the memory of queries that succeeded.
	knownLife = 5 * time.Minute
	knownMost = 1 << 16
	// suspectsMost bounds the memory of losses.
	suspectsMost = 4096
)

// Loss is one target lost while it ran a query.
type Loss struct {
	// Target is the address and incarnation of the target.
	Target string
	// Domain is its failure domain.
	Domain string
}

// Query is one query at one index version: what is harmless at one version may
// crash the next.
type Query struct {
	Fingerprint uint64
	Version     uint64
}

// Entry is what daemons tell each other of a suspect.
type Entry struct {
	Query  Query
	Losses []Loss
	// AgeMillis is the time since the newest loss.
	AgeMillis int64
}

type suspect struct {
	version uint64
	losses  []Loss
	newest  time.Time
	held    time.Time
}

// Register is one daemon's memory of suspects and of queries known to succeed.
type Register struct {
	mu       sync.Mutex
	suspects map[uint64]*suspect
	recent   []recentLoss
	// known and older map a fingerprint to the version it succeeded at.
	known  map[uint64]uint64
	older  map[uint64]uint64
	turned time.Time
}

type recentLoss struct {
	at          time.Time
	target      string
	fingerprint uint64
}

// New returns an empty register.
func New() *Register {
	return &Register{
		suspects: map[uint64]*suspect{},
		known:    map[uint64]uint64{},
		older:    map[uint64]uint64{},
	}
}

// Fingerprint identifies a query by its content.
func Fingerprint(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		// A digest accepts every write.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// Lost records a loss and reports whether the query is now quarantined.
func (r *Register) Lost(now time.Time, q Query, loss Loss) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent = append(r.recent, recentLoss{at: now, target: loss.Target, fingerprint: q.Fingerprint})
	if r.isKnown(q) {
		return false
	}
	r.record(now, now, q, []Loss{loss})
	return r.held(now, q.Fingerprint)
}

// Succeeded remembers for some minutes that a query is harmless and drops the
// suspicion of it.
func (r *Register) Succeeded(now time.Time, q Query) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.suspects, q.Fingerprint)
	if now.Sub(r.turned) > knownLife || len(r.known) >= knownMost {
		r.older, r.known = r.known, make(map[uint64]uint64, len(r.known))
		r.turned = now
	}
	r.known[q.Fingerprint] = q.Version
}

// Known reports whether the query succeeded lately and needs no canary.
func (r *Register) Known(q Query) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isKnown(q)
}

// Quarantined reports whether the query is held back and for how long.
func (r *Register) Quarantined(now time.Time, fingerprint uint64) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.held(now, fingerprint) {
		return 0, false
	}
	return r.suspects[fingerprint].held.Add(holdLife).Sub(now), true
}

// Count returns the number of quarantined queries.
func (r *Register) Count(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, s := range r.suspects {
		if !s.held.IsZero() && now.Sub(s.held) < holdLife {
			count++
		}
	}
	return count
}

// Merge takes what another daemon knows and reports whether any of it was new.
func (r *Register) Merge(now time.Time, entries []Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := false
	for i := range entries {
		e := &entries[i]
		age := time.Duration(e.AgeMillis) * time.Millisecond
		if age < 0 || age > evidenceLife || r.isKnown(e.Query) {
			continue
		}
		if r.record(now, now.Add(-age), e.Query, e.Losses) {
			news = true
		}
		r.held(now, e.Query.Fingerprint)
	}
	return news
}

// Entries lists at most limit suspects for the other daemons.
func (r *Register) Entries(now time.Time, limit int) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []Entry
	for fingerprint, s := range r.suspects {
		if now.Sub(s.newest) > evidenceLife {
			delete(r.suspects, fingerprint)
			continue
		}
		if len(entries) < limit {
			age := now.Sub(s.newest).Milliseconds()
			entries = append(entries, Entry{Query: Query{Fingerprint: fingerprint, Version: s.version}, Losses: s.losses, AgeMillis: age})
		}
	}
	return entries
}

// record adds losses not known yet and reports whether there were any.
func (r *Register) record(now, at time.Time, q Query, losses []Loss) bool {
	s := r.suspects[q.Fingerprint]
	if s == nil || now.Sub(s.newest) > evidenceLife {
		if len(r.suspects) >= suspectsMost {
			r.evict()
		}
		s = &suspect{}
		r.suspects[q.Fingerprint] = s
	}
	s.version = q.Version
	added := false
	for _, loss := range losses {
		if len(s.losses) < lossesSameDomain && !s.names(loss.Target) {
			s.losses = append(s.losses[:len(s.losses):len(s.losses)], loss)
			added = true
		}
	}
	if added && at.After(s.newest) {
		s.newest = at
	}
	return added
}

// evict drops one suspect that is not held, or else any.
func (r *Register) evict() {
	victim := uint64(0)
	for fingerprint, s := range r.suspects {
		victim = fingerprint
		if s.held.IsZero() {
			break
		}
	}
	delete(r.suspects, victim)
}

// held decides on a quarantine that the evidence supports.
func (r *Register) held(now time.Time, fingerprint uint64) bool {
	s := r.suspects[fingerprint]
	if s == nil {
		return false
	}
	if !s.held.IsZero() {
		return now.Sub(s.held) < holdLife
	}
	enough := len(s.losses) >= lossesSameDomain || len(s.losses) >= lossesToHold && s.domains() >= lossesToHold
	if !enough || now.Sub(s.newest) > evidenceLife || r.massFailure(now, fingerprint) {
		return false
	}
	s.held = now
	return true
}

// massFailure reports whether so many targets were just lost under other
// queries that this query is not the likely cause.
func (r *Register) massFailure(now time.Time, fingerprint uint64) bool {
	kept := r.recent[:0]
	own := map[string]bool{}
	for _, loss := range r.recent {
		if now.Sub(loss.at) > massWindow {
			continue
		}
		kept = append(kept, loss)
		if loss.fingerprint == fingerprint {
			own[loss.target] = true
		}
	}
	r.recent = kept
	others := map[string]bool{}
	for _, loss := range kept {
		if !own[loss.target] {
			others[loss.target] = true
		}
	}
	return len(others) >= massLosses && len(others) > len(own)
}

func (r *Register) isKnown(q Query) bool {
	if version, ok := r.known[q.Fingerprint]; ok && version == q.Version {
		return true
	}
	version, ok := r.older[q.Fingerprint]
	return ok && version == q.Version
}

func (s *suspect) names(target string) bool {
	for _, loss := range s.losses {
		if loss.Target == target {
			return true
		}
	}
	return false
}

func (s *suspect) domains() int {
	domains := map[string]bool{}
	for _, loss := range s.losses {
		domains[loss.Domain] = true
	}
	return len(domains)
}
