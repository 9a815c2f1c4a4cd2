package tree

import (
	"time"
	// Time zones must load on hosts that have no zone files.
	_ "time/tzdata"
)

// Aim is the firm's one choice between growth and savings. It decides the
// default of every field that trades cost against latency or coverage.
type Aim string

// The aims.
const (
	AimGrowth   Aim = "Growth"
	AimBalanced Aim = "Balanced"
	AimSavings  Aim = "Savings"
)

// Selection is the rule that picks one replica among those that can serve.
type Selection string

// The selection rules.
const (
	SelectionTwoChoice   Selection = "TwoChoice"
	SelectionLeastLoaded Selection = "LeastLoaded"
	SelectionRandom      Selection = "Random"
)

// Settings are the fields in force for one caller of one service.
type Settings struct {
	Aim Aim

	// MaxDeadline bounds the deadline a caller may ask for.
	MaxDeadline time.Duration

	// ExtraLoad is the budget for hedges, as a share of primary attempts.
	ExtraLoad float64
	// RetryBudget is the budget for retries, as a share of primary attempts.
	RetryBudget float64
	// MaxAttempts bounds the attempts for one shard of one request.
	MaxAttempts int
	// LeastCoverage is the least share of shards that makes an answer.
	LeastCoverage float64
	// QueueLength bounds the requests waiting for admission, per class.
	QueueLength int
	// SpareConnections is the number of idle connections kept per target.
	SpareConnections int
	// Canary sends a query not seen before to one target before all others.
	Canary bool

	// Class names the histogram and queue the request belongs to.
	Class string
	// Priority orders classes; zero goes first.
	Priority int
	// PriorityHours is the daily window in which HoursPriority holds.
	PriorityHours Hours
	// HoursPriority replaces Priority within PriorityHours.
	HoursPriority int
	// TimeZone is the zone that PriorityHours are read in.
	TimeZone *time.Location

	// Rate bounds a caller's queries per second over all daemons; zero is no bound.
	Rate float64

	// Selection picks among replicas.
	Selection Selection
	// EjectCeiling is the largest share of a shard's replicas kept out for errors.
	EjectCeiling float64
	// LimitConcurrency keeps sub-requests within each target's slots.
	LimitConcurrency bool
	// StatusInterval is the time between status polls of a silent target.
	StatusInterval time.Duration

	// AddressKeep is how long callers may keep an address list.
	AddressKeep time.Duration
	// StopGrace bounds a graceful shutdown.
	StopGrace time.Duration
	// HeartbeatInterval is the time between heartbeats among daemons.
	HeartbeatInterval time.Duration
	// SilentAfter is the silence after which a daemon counts as gone.
	SilentAfter time.Duration
	// WatchersPerDataCentre is the number of daemons that watch the store.
	WatchersPerDataCentre int
}

// PriorityAt returns the priority in force at the given time.
func (s *Settings) PriorityAt(now time.Time) int {
	if s.PriorityHours.Contains(now.In(s.TimeZone)) {
		return s.HoursPriority
	}
	return s.Priority
}

// Hours is a daily window in minutes after midnight; From == To is empty. A
// window with From > To spans midnight.
type Hours struct {
	From, To int
}

// Contains reports whether the local time lies in the window.
func (h Hours) Contains(local time.Time) bool {
	minute := local.Hour()*60 + local.Minute()
	if h.From <= h.To {
		return minute >= h.From && minute < h.To
	}
	return minute >= h.From || minute < h.To
}
