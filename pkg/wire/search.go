package wire

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	Deployment string
	Service    string
	Caller     string
	// RequestID is the caller's own name for the request, 1 to 64 bytes.
	RequestID string
	// Deadline is a duration such as "300ms", counted from arrival.
	Deadline string
	Query    string
	// Limit bounds the hits returned, 1 to 1000; zero means 10.
	Limit int `json:",omitempty"`
	// All asks for every match in pages of Limit, ordered by identifier.
	All bool `json:",omitempty"`
	// Cursor continues an All search after the last page.
	Cursor string `json:",omitempty"`
	// LeastCoverage is the least share of shards accepted, 0 to 1. It can
	// only raise what the settings demand.
	LeastCoverage *float64 `json:",omitempty"`
}

// Hit is one match.
type Hit struct {
	ID    string
	Score float64
	Text  string `json:",omitempty"`
}

// Coverage tells which part of the index an answer rests on.
type Coverage struct {
	// Share is ShardsAnswered / Shards, 0 to 1.
	Share          float64
	Shards         int
	ShardsAnswered int
	// Missing names the shards that did not answer.
	Missing []int `json:",omitempty"`
}

// SearchAnswer is the body of a 200 reply to POST /v1/search.
type SearchAnswer struct {
	RequestID string
	Complete  bool
	Coverage  Coverage
	// Version is the one index version that every hit comes from.
	Version uint64
	Hits    []Hit
	// Cursor is set when an All search has more pages.
	Cursor string `json:",omitempty"`
	// Attempts counts sub-requests sent; ExtraAttempts those beyond one a shard.
	Attempts      int
	ExtraAttempts int
	// Restarts counts plans abandoned because their version went away.
	Restarts int `json:",omitempty"`
	// SettingsRevision is the revision the request ran under.
	SettingsRevision int64
	LatencyMillis    float64
	Daemon           string
}

// RefusalKind classifies a refusal for the caller's program.
type RefusalKind string

// The kinds of refusal.
const (
	RefusalInvalid      RefusalKind = "Invalid"
	RefusalUnknown      RefusalKind = "UnknownService"
	RefusalNotReady     RefusalKind = "NotReady"
	RefusalOverloaded   RefusalKind = "Overloaded"
	RefusalTooLate      RefusalKind = "TooLate"
	RefusalCoverage     RefusalKind = "CoverageTooLow"
	RefusalQuarantined  RefusalKind = "Quarantined"
	RefusalVersionGone  RefusalKind = "VersionGone"
	RefusalNoTarget     RefusalKind = "NoTarget"
	RefusalHomeClosed   RefusalKind = "HomeClosed"
	RefusalHomeRequired RefusalKind = "HomeRequired"
	RefusalUncertain    RefusalKind = "OutcomeUnknown"
	RefusalCancelled    RefusalKind = "Cancelled"
	RefusalInternal     RefusalKind = "Internal"
)

// Ran says whether a refused request may have run on a target.
type Ran string

// The values of Ran. NotRun is a promise: no target executed the request and
// none will.
const (
	RanNo      Ran = "NotRun"
	RanYes     Ran = "Ran"
	RanUnknown Ran = "Unknown"
)

// Refusal is the body of every reply that is not an answer.
type Refusal struct {
	RequestID string `json:",omitempty"`
	Kind      RefusalKind
	Message   string
	Ran       Ran
	// RetryAfterMillis is when a new try may succeed; zero means not at all
	// or at once, as Kind tells.
	RetryAfterMillis int64     `json:",omitempty"`
	Coverage         *Coverage `json:",omitempty"`
	Daemon           string    `json:",omitempty"`
}

// Error makes a refusal an error for the caller's library.
func (r *Refusal) Error() string {
	return string(r.Kind) + " (" + string(r.Ran) + "): " + r.Message
}
