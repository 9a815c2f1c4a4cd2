package poison

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Merge takes over the suspects of another daemon and reports whether other daemons
// should hear of a change.
func (r *Register) Merge(now time.Time, entries []Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for i := range entries {
		e := &entries[i]
		age := time.Duration(e.AgeMillis) * time.Millisecond
		if age < 0 || age > lossLifetime {
			continue
		}
		if e.Cleared {
			if s := r.suspects[e.Query.Fingerprint]; s != nil && s.clear(now.Add(-age)) {
				changed = true
			}
			continue
		}
		if r.record(now, e.Query, agedLosses(e)) && r.suspects[e.Query.Fingerprint].worthTelling() {
			changed = true
		}
		r.checkQuarantine(now, e.Query.Fingerprint)
	}
	return changed
}

// agedLosses returns the losses of an entry, the newest of them as old as the entry.
func agedLosses(e *Entry) []Loss {
	losses := slices.Clone(e.Losses)
	youngest := int64(math.MaxInt64)
	for i := range losses {
		youngest = min(youngest, losses[i].AgeMillis)
	}
	for i := range losses {
		losses[i].AgeMillis += max(0, e.AgeMillis-youngest)
	}
	return losses
}

// Entries lists at most limit suspects for the other daemons: first those that are
// quarantined, then those that changed last.
func (r *Register) Entries(now time.Time, limit int) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	type candidate struct {
		fingerprint uint64
		*suspect
	}
	var candidates []candidate
	for fingerprint, s := range r.suspects {
		age := now.Sub(s.changedAt())
		switch {
		case len(s.losses) > 0 && age > lossLifetime, len(s.losses) == 0 && age > clearLifetime:
			delete(r.suspects, fingerprint)
		case s.worthTelling() || age <= weakLifetime:
			candidates = append(candidates, candidate{fingerprint, s})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch held := a.quarantined(now); {
		case held != b.quarantined(now) && held:
			return -1
		case held != b.quarantined(now):
			return 1
		}
		return cmp.Or(b.changedAt().Compare(a.changedAt()), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	entries := make([]Entry, 0, min(limit, len(candidates)))
	for _, c := range candidates[:min(limit, len(candidates))] {
		entries = append(entries, c.entry(now, c.fingerprint))
	}
	return entries
}

// Suspects returns the entry of one query, if it is a suspect.
func (r *Register) Suspects(now time.Time, fingerprint uint64) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.suspects[fingerprint]
	if s == nil || len(s.losses) == 0 || now.Sub(s.newestLoss) > lossLifetime {
		return nil
	}
	return []Entry{s.entry(now, fingerprint)}
}

// changedAt is when the suspect last changed.
func (s *suspect) changedAt() time.Time {
	if len(s.losses) == 0 {
		return s.clearedAt
	}
	return s.newestLoss
}

// roundingMillis covers what the times of two losses lose when they are rounded for other
// daemons, so that none of two attempts that were sent together looks like a later one.
const roundingMillis = 2

func (s *suspect) entry(now time.Time, fingerprint uint64) Entry {
	e := Entry{
		Query: Query{Fingerprint: fingerprint, Version: s.version}, AgeMillis: now.Sub(s.changedAt()).Milliseconds(), Cleared: len(s.losses) == 0,
	}
	for _, l := range s.losses {
		l.AgeMillis = now.Sub(l.at).Milliseconds()
		if !l.Sent.IsZero() {
			l.RanMillis = l.at.Sub(l.Sent).Milliseconds()
			if !s.repeated() {
				l.RanMillis += roundingMillis
			}
		}
		e.Losses = append(e.Losses, l.Loss)
	}
	return e
}
