package node

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mono"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
)

// origins holds where the last changes of the settings and of the registrations came from.
type origins struct {
	mu                      mutex.Mutex
	settings, registrations origin
}

// origin is the sender of a change, and when the change arrived.
type origin struct {
	from string
	at   time.Time
}

func (o *origins) settingsFrom(now time.Time, from string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settings = origin{from, now}
}

func (o *origins) registrationsFrom(now time.Time, from string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.registrations = origin{from, now}
}

// last returns the senders of the last changes.
func (o *origins) last() (settings, registrations origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.settings, o.registrations
}

// basis describes, for a log line, what the settings and registrations in force rest on.
func (n *Node) basis(e *epoch.Epoch) []any {
	now := time.Now()
	settings, registrations := n.origins.last()
	roster := n.Roster.Stamp()
	confirmed, _ := n.fresh.Ages(mono.Now())
	return []any{
		"revision", e.Change.Revision, "era", e.Change.Era, "version", e.Change.Number, "settingsFrom", settings.from, "settingsMillisAgo", now.Sub(settings.at).Milliseconds(),
		"rosterRevision", roster.Revision, "rosterEra", roster.Era, "registrationsFrom", registrations.from, "registrationsMillisAgo", now.Sub(registrations.at).Milliseconds(),
		"confirmedMillisAgo", confirmed.Milliseconds(),
	}
}
