package tree

import (
	"time"
	// Embeds the time zones for hosts without zone files.
	_ "time/tzdata"
)

// Aim is the trade-off between growth and savings. It selects the default of
// every field that trades cost against latency or coverage.
type Aim string

// The aims.
const (
	AimGrowth   Aim = "Growth"
	AimBalanced Aim = "Balanced"
	AimSavings  Aim = "Savings"
)

// Selection is the rule that selects one replica among those that can serve.
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

	// MaxDeadline is the maximum deadline of a request.
	MaxDeadline time.Duration

	// ExtraLoad is the hedge budget, as a share of primary attempts.
	ExtraLoad float64
	// RetryBudget is the retry budget, as a share of primary attempts.
	RetryBudget float64
	// MaxAttempts is the maximum number of attempts for one shard of one request.
	MaxAttempts int
	// LeastCoverage is the minimum share of shards that an answer must cover.
	LeastCoverage float64
	// QueueLength is the maximum number of requests waiting for admission, per class.
	QueueLength int
	// SpareConnections is the number of idle connections kept per target.
	SpareConnections int
	// Canary sends a query that has not succeeded recently to one target first.
	Canary bool

	// Class is the class of a request, which has its own histograms and queue.
	Class string
	// Priority is the rank of the class; zero is the highest priority.
	Priority int
	// PriorityHours is the daily window in which HoursPriority applies.
	PriorityHours Hours
	// HoursPriority replaces Priority within PriorityHours.
	HoursPriority int
	// TimeZone is the time zone of PriorityHours.
	TimeZone *time.Location

	// Rate is the maximum queries per second of a caller over all daemons; zero
	// means no limit.
	Rate float64

	// Selection is the rule that selects one replica of a shard.
	Selection Selection
	// EjectCeiling is the maximum share of a shard's replicas that are ejected
	// for errors at the same time.
	EjectCeiling float64
	// LimitConcurrency keeps sub-requests within each target's slots.
	LimitConcurrency bool
	// StatusInterval is the interval between status polls of an idle target.
	StatusInterval time.Duration

	// AddressKeep is how long callers may use an address list.
	AddressKeep time.Duration
	// StopGrace is the maximum duration of a graceful shutdown.
	StopGrace time.Duration
	// HeartbeatInterval is the interval between heartbeats of a daemon.
	HeartbeatInterval time.Duration
	// SilentAfter is the time without heartbeats after which a daemon is
	// considered gone.
	SilentAfter time.Duration
	// WatchersPerDataCentre is the number of daemons in each data centre that
	// watch the store.
	WatchersPerDataCentre int
}

// PriorityAt returns the priority in force at the given time.
func (s *Settings) PriorityAt(now time.Time) int {
	if s.PriorityHours.Contains(now.In(s.TimeZone)) {
		return s.HoursPriority
	}
	return s.Priority
}

// Hours is a daily window in minutes after midnight. A window with From == To is
// empty, and one with From > To spans midnight.
type Hours struct {
	From, To int
}

// Contains reports whether the local time is in the window.
func (h Hours) Contains(local time.Time) bool {
	minute := local.Hour()*60 + local.Minute()
	if h.From <= h.To {
		return minute >= h.From && minute < h.To
	}
	return minute >= h.From || minute < h.To
}
