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
// targets in one domain, were lost while they ran it, and one of the losses is of an
// attempt that was sent after another loss: what fails at the same time has one cause,
// which may be another one. Three targets are needed if the evidence is ambiguous: if
// the targets were running other queries as well, if so many other targets were lost at
// the same time that a failed rack or switch is the more likely cause, or if the query
// has succeeded lately. Ambiguity delays a quarantine and never prevents it.
//
// A success at any target clears the suspicion at all daemons, since a query of death
// never succeeds. Counting failure domains as well as targets follows KIP-1290.
package poison

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
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
	// quarantineDuration is how long a quarantine lasts. That of a query that has
	// succeeded lately lasts for minQuarantine at first, and quarantineGrowth times longer
	// each time that the query is at fault again.
	quarantineDuration = 10 * time.Minute
	minQuarantine      = 2 * time.Second
	quarantineGrowth   = 5
	// maxLosses bounds the losses that are kept of one query.
	maxLosses = 4
	// clearLifetime is how long the other daemons are told of a cleared suspicion, and
	// weakLifetime of one that is not worth telling at once: a few heartbeats.
	clearLifetime = 30 * time.Second
	weakLifetime  = 3 * time.Second
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
	_ struct{} `cbor:",toarray"`
	// Target is the address and incarnation of the target.
	Target string
	// Domain is the failure domain of the target.
	Domain string
	// RanMillis is how long the target had had the query, for other daemons, and AgeMillis
	// the time since the loss.
	RanMillis int64
	AgeMillis int64
	// Shared is true if the target was running other queries as well.
	Shared bool
	// Sent is when the query was sent to the target, at the daemon that has seen the loss;
	// other daemons get RanMillis instead.
	Sent time.Time `cbor:"-"`
}

// Query is one query at one index version: a query that is harmless at one version
// may crash targets at the next.
type Query struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Version     uint64
}

// Entry is a suspect query as daemons send it to each other.
type Entry struct {
	_      struct{} `cbor:",toarray"`
	Query  Query
	Losses []Loss
	// AgeMillis is the time since the newest loss, or since the success if Cleared.
	AgeMillis int64
	// Cleared is true if the query has succeeded since its losses.
	Cleared bool
}

// success is the last success of a query.
type success struct {
	version uint64
	at      time.Time
}

// Register holds the suspect queries of one daemon and the queries that succeeded
// recently. Its methods are safe for concurrent use.
type Register struct {
	mu           mutex.Mutex
	suspects     map[uint64]*suspect
	recentLosses []recentLoss
	// succeeded maps a fingerprint to the last success of the query; succeededBefore is
	// the previous generation of that map.
	succeeded       map[uint64]success
	succeededBefore map[uint64]success
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
		succeeded:       map[uint64]success{},
		succeededBefore: map[uint64]success{},
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
func (r *Register) Lost(now time.Time, q Query, l Loss) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetLosses(now)
	r.recentLosses = append(r.recentLosses, recentLoss{at: now, target: l.Target, fingerprint: q.Fingerprint})
	r.record(now, q, []Loss{l})
	return r.checkQuarantine(now, q.Fingerprint)
}

// Succeeded clears the suspicion of a query and remembers for some minutes that it
// succeeded. It reports whether the suspicion was so strong that other daemons should know
// at once that it is cleared.
func (r *Register) Succeeded(now time.Time, q Query) (cleared bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.suspects[q.Fingerprint]; s != nil {
		cleared = s.repeated() && s.clear(now)
		if !cleared {
			delete(r.suspects, q.Fingerprint)
		}
	}
	if now.Sub(r.rotatedAt) > successLifetime || len(r.succeeded) >= maxSuccesses {
		r.succeededBefore, r.succeeded = r.succeeded, make(map[uint64]success, len(r.succeeded))
		r.rotatedAt = now
	}
	r.succeeded[q.Fingerprint] = success{version: q.Version, at: now}
	return cleared
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
	s := r.suspects[fingerprint]
	return s.quarantinedAt.Add(s.duration).Sub(now), true
}

// Assessment is what a register holds against a query, for the log.
type Assessment struct {
	// Losses is the number of targets lost while they ran the query, in Domains failure
	// domains.
	Losses  int
	Domains int
	// Repeated is true if one of them was lost after another, so that other daemons
	// should know at once.
	Repeated bool
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
		a.Losses, a.Domains, a.Repeated = len(s.losses), s.domainCount(), s.repeated()
	}
	return a
}

// Count returns the number of quarantined queries.
func (r *Register) Count(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, s := range r.suspects {
		if s.quarantined(now) {
			count++
		}
	}
	return count
}

// record adds the losses that are not known yet and reports whether there were any. A
// loss of an attempt that was sent before the query's last success at this daemon clears
// itself: some losses are found out seconds after the target has ended.
func (r *Register) record(now time.Time, q Query, losses []Loss) bool {
	s := r.suspects[q.Fingerprint]
	if s == nil || len(s.losses) > 0 && now.Sub(s.newestLoss) > lossLifetime {
		if len(r.suspects) >= maxSuspects {
			r.evict()
		}
		s = &suspect{}
		r.suspects[q.Fingerprint] = s
	}
	s.version = q.Version
	succeeded, _ := r.lastSuccess(q)
	changed := false
	for _, l := range losses {
		added := newLoss(l, now.Add(-time.Duration(l.AgeMillis)*time.Millisecond))
		switch {
		case !added.sent.After(s.clearedAt):
		case !added.sent.After(succeeded):
			s.clearedAt, changed = succeeded, len(losses) > 1
		case s.add(added):
			changed = true
		}
	}
	return changed
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
	if s == nil || len(s.losses) == 0 {
		return false
	}
	if s.quarantined(now) {
		return true
	}
	if !s.quarantinedAt.IsZero() && !s.newestLoss.After(s.quarantinedAt) {
		// The quarantine that these losses led to is over.
		return false
	}
	_, succeeded := r.lastSuccess(Query{Fingerprint: fingerprint, Version: s.version})
	needed := lossesToQuarantine
	if succeeded || s.shared() || r.massFailure(now, fingerprint) {
		needed = lossesSameDomain
	}
	enough := len(s.losses) >= lossesSameDomain || len(s.losses) >= needed && s.domainCount() >= needed
	if !enough || !s.repeated() || now.Sub(s.newestLoss) > lossLifetime {
		return false
	}
	if succeeded {
		s.duration = min(quarantineDuration, max(minQuarantine, s.duration*quarantineGrowth))
	} else {
		s.duration = quarantineDuration
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
	_, ok := r.lastSuccess(q)
	return ok
}

// lastSuccess returns when the query last succeeded at its index version.
func (r *Register) lastSuccess(q Query) (at time.Time, ok bool) {
	for _, generation := range []map[uint64]success{r.succeeded, r.succeededBefore} {
		if last, found := generation[q.Fingerprint]; found && last.version == q.Version {
			return last.at, true
		}
	}
	return time.Time{}, false
}
