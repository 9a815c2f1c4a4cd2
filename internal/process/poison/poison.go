// Package poison quarantines queries that appear to crash targets, so that they
// are no longer sent.
//
// # Usage
//
//	r := poison.New()
//	fingerprint := poison.Fingerprint("Erbacee", "Herbarium", query)
//	if _, quarantined := r.Quarantined(now, fingerprint); quarantined {
//		// refuse the query
//	}
//	q := poison.Query{Fingerprint: fingerprint, Version: view.Version}
//	r.Lost(now, q, poison.Loss{Target: address, Domain: rack})
//	r.Succeeded(now, q)
//
// A fingerprint is quarantined once two targets in two failure domains, or three
// targets in one domain, were lost while they ran it, unless so many other targets
// were lost at the same time that a failed rack or switch is the more likely cause.
// A single success at any target clears the suspicion, since a query of death never
// succeeds. Counting failure domains as well as targets follows KIP-1290.
package poison

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lossesToQuarantine is the number of lost targets, and of their failure domains,
	// that quarantine a query.
	lossesToQuarantine = 2
	// lossesSameDomain is the number of lost targets that quarantine a query when all
	// of them are in one failure domain.
	lossesSameDomain = 3
	// lossLifetime is how long a loss counts.
	lossLifetime = 10 * time.Minute
	// quarantineDuration is how long a quarantine lasts.
	quarantineDuration = 10 * time.Minute
	// massFailureLosses is the number of targets lost under other queries within
	// massFailureWindow from which a failed rack or switch is suspected instead of the
	// query.
	massFailureWindow = 2 * time.Second
	massFailureLosses = 3
	// successLifetime and maxSuccesses bound the memory of queries that succeeded.
	successLifetime = 5 * time.Minute
	maxSuccesses    = 1 << 16
	// maxSuspects bounds the number of suspect queries that are remembered.
	maxSuspects = 4096
)

// Loss is the loss of one target while it ran a query.
type Loss struct {
	// Target is the address and incarnation of the target.
	Target string
	// Domain is the failure domain of the target.
	Domain string
}

// Query is one query at one index version: a query that is harmless at one version
// may crash targets at the next.
type Query struct {
	Fingerprint uint64
	Version     uint64
}

// Entry is a suspect query as daemons send it to each other.
type Entry struct {
	Query  Query
	Losses []Loss
	// AgeMillis is the time since the newest loss.
	AgeMillis int64
}

type suspect struct {
	version       uint64
	losses        []Loss
	newestLoss    time.Time
	quarantinedAt time.Time
}

// Register holds the suspect queries of one daemon and the queries that succeeded
// recently. Its methods are safe for concurrent use.
type Register struct {
	mu           sync.Mutex
	suspects     map[uint64]*suspect
	recentLosses []recentLoss
	// succeeded maps a fingerprint to the index version at which the query succeeded;
	// succeededBefore is the previous generation of that map.
	succeeded       map[uint64]uint64
	succeededBefore map[uint64]uint64
	rotatedAt       time.Time
}

type recentLoss struct {
	at          time.Time
	target      string
	fingerprint uint64
}

// New returns an empty register.
func New() *Register {
	return &Register{
		suspects:        map[uint64]*suspect{},
		succeeded:       map[uint64]uint64{},
		succeededBefore: map[uint64]uint64{},
	}
}

// Fingerprint identifies a query by its content.
func Fingerprint(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		// Writes to a digest never fail.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// Lost records a loss and reports whether the query is now quarantined.
func (r *Register) Lost(now time.Time, q Query, loss Loss) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetLosses(now)
	r.recentLosses = append(r.recentLosses, recentLoss{at: now, target: loss.Target, fingerprint: q.Fingerprint})
	if r.hasSucceeded(q) {
		return false
	}
	r.record(now, now, q, []Loss{loss})
	return r.checkQuarantine(now, q.Fingerprint)
}

// Succeeded clears the suspicion of a query and remembers for some minutes that it
// is harmless.
func (r *Register) Succeeded(now time.Time, q Query) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.suspects, q.Fingerprint)
	if now.Sub(r.rotatedAt) > successLifetime || len(r.succeeded) >= maxSuccesses {
		r.succeededBefore, r.succeeded = r.succeeded, make(map[uint64]uint64, len(r.succeeded))
		r.rotatedAt = now
	}
	r.succeeded[q.Fingerprint] = q.Version
}

// HasSucceeded reports whether the query succeeded recently, so that it needs no canary.
func (r *Register) HasSucceeded(q Query) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasSucceeded(q)
}

// Quarantined reports whether the query is quarantined and for how much longer.
func (r *Register) Quarantined(now time.Time, fingerprint uint64) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.checkQuarantine(now, fingerprint) {
		return 0, false
	}
	return r.suspects[fingerprint].quarantinedAt.Add(quarantineDuration).Sub(now), true
}

// Assessment is what a register holds against a query, for the log.
type Assessment struct {
	// Losses is the number of targets lost while they ran the query, in Domains failure
	// domains.
	Losses  int
	Domains int
	// Succeeded is true if the query has succeeded recently, and MassFailure if so many
	// other targets were lost that a failure of the surroundings is more likely.
	Succeeded   bool
	MassFailure bool
}

// Assess returns what the register holds against a query.
func (r *Register) Assess(now time.Time, q Query) Assessment {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := Assessment{Succeeded: r.hasSucceeded(q), MassFailure: r.massFailure(now, q.Fingerprint)}
	if s := r.suspects[q.Fingerprint]; s != nil {
		a.Losses, a.Domains = len(s.losses), s.domainCount()
	}
	return a
}

// Count returns the number of quarantined queries.
func (r *Register) Count(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, s := range r.suspects {
		if !s.quarantinedAt.IsZero() && now.Sub(s.quarantinedAt) < quarantineDuration {
			count++
		}
	}
	return count
}

// Merge takes over the suspects of another daemon and reports whether any loss was
// new.
func (r *Register) Merge(now time.Time, entries []Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for i := range entries {
		e := &entries[i]
		age := time.Duration(e.AgeMillis) * time.Millisecond
		if age < 0 || age > lossLifetime || r.hasSucceeded(e.Query) {
			continue
		}
		if r.record(now, now.Add(-age), e.Query, e.Losses) {
			changed = true
		}
		r.checkQuarantine(now, e.Query.Fingerprint)
	}
	return changed
}

// Entries lists at most limit suspects for the other daemons.
func (r *Register) Entries(now time.Time, limit int) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []Entry
	for fingerprint, s := range r.suspects {
		if now.Sub(s.newestLoss) > lossLifetime {
			delete(r.suspects, fingerprint)
			continue
		}
		if len(entries) < limit {
			age := now.Sub(s.newestLoss).Milliseconds()
			entries = append(entries, Entry{Query: Query{Fingerprint: fingerprint, Version: s.version}, Losses: s.losses, AgeMillis: age})
		}
	}
	return entries
}

// record adds the losses that are not known yet and reports whether there were any.
func (r *Register) record(now, lostAt time.Time, q Query, losses []Loss) bool {
	s := r.suspects[q.Fingerprint]
	if s == nil || now.Sub(s.newestLoss) > lossLifetime {
		if len(r.suspects) >= maxSuspects {
			r.evict()
		}
		s = &suspect{}
		r.suspects[q.Fingerprint] = s
	}
	s.version = q.Version
	added := false
	for _, loss := range losses {
		if len(s.losses) < lossesSameDomain && !s.hasTarget(loss.Target) {
			s.losses = append(s.losses[:len(s.losses):len(s.losses)], loss)
			added = true
		}
	}
	if added && lostAt.After(s.newestLoss) {
		s.newestLoss = lostAt
	}
	return added
}

// evict drops one suspect, if possible one that is not quarantined.
func (r *Register) evict() {
	victim := uint64(0)
	for fingerprint, s := range r.suspects {
		victim = fingerprint
		if s.quarantinedAt.IsZero() {
			break
		}
	}
	delete(r.suspects, victim)
}

// checkQuarantine reports whether a query is quarantined, and starts a quarantine
// if the losses suffice.
func (r *Register) checkQuarantine(now time.Time, fingerprint uint64) bool {
	s := r.suspects[fingerprint]
	if s == nil {
		return false
	}
	if !s.quarantinedAt.IsZero() {
		return now.Sub(s.quarantinedAt) < quarantineDuration
	}
	enough := len(s.losses) >= lossesSameDomain || len(s.losses) >= lossesToQuarantine && s.domainCount() >= lossesToQuarantine
	if !enough || now.Sub(s.newestLoss) > lossLifetime || r.massFailure(now, fingerprint) {
		return false
	}
	s.quarantinedAt = now
	return true
}

// massFailure reports whether so many targets were lost just now under other
// queries that this query is probably not the cause.
func (r *Register) massFailure(now time.Time, fingerprint uint64) bool {
	r.forgetLosses(now)
	ownTargets := map[string]bool{}
	for _, loss := range r.recentLosses {
		if loss.fingerprint == fingerprint {
			ownTargets[loss.target] = true
		}
	}
	otherTargets := map[string]bool{}
	for _, loss := range r.recentLosses {
		if !ownTargets[loss.target] {
			otherTargets[loss.target] = true
		}
	}
	return len(otherTargets) >= massFailureLosses && len(otherTargets) > len(ownTargets)
}

// forgetLosses drops the oldest losses up to the first within massFailureWindow.
func (r *Register) forgetLosses(now time.Time) {
	expired := 0
	for expired < len(r.recentLosses) && now.Sub(r.recentLosses[expired].at) > massFailureWindow {
		expired++
	}
	r.recentLosses = r.recentLosses[expired:]
}

func (r *Register) hasSucceeded(q Query) bool {
	if version, ok := r.succeeded[q.Fingerprint]; ok && version == q.Version {
		return true
	}
	version, ok := r.succeededBefore[q.Fingerprint]
	return ok && version == q.Version
}

func (s *suspect) hasTarget(target string) bool {
	for _, loss := range s.losses {
		if loss.Target == target {
			return true
		}
	}
	return false
}

func (s *suspect) domainCount() int {
	domains := map[string]bool{}
	for _, loss := range s.losses {
		domains[loss.Domain] = true
	}
	return len(domains)
}
