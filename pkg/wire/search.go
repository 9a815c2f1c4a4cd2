package wire

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	Deployment string
	Service    string
	Caller     string
	// RequestID is the caller's identifier of the request, 1 to 64 bytes.
	RequestID string
	// Deadline is a duration such as "300ms", counted from arrival.
	Deadline string
	Query    string
	// Limit is the maximum number of hits returned, 1 to 1000; zero means 10.
	Limit int `json:",omitempty"`
	// All requests every match in pages of Limit hits, ordered by identifier.
	All bool `json:",omitempty"`
	// Cursor continues an All search; it is the Cursor of the previous page.
	Cursor string `json:",omitempty"`
	// LeastCoverage is the minimum share of shards accepted, 0 to 1. It can only
	// raise the minimum of the settings.
	LeastCoverage *float64 `json:",omitempty"`
}

// Hit is one match.
type Hit struct {
	ID    string
	Score float64
	Text  string `json:",omitempty"`
}

// Coverage describes the part of the index that an answer covers.
type Coverage struct {
	// Share is ShardsAnswered / Shards, 0 to 1.
	Share          float64
	Shards         int
	ShardsAnswered int
	// Missing lists the shards that did not answer.
	Missing []int `json:",omitempty"`
}

// SearchAnswer is the body of a 200 reply to POST /v1/search.
type SearchAnswer struct {
	RequestID string
	Complete  bool
	Coverage  Coverage
	// Version is the index version of all hits.
	Version uint64
	Hits    []Hit
	// Cursor is set if an All search has more pages.
	Cursor string `json:",omitempty"`
	// Attempts is the number of sub-requests sent, and ExtraAttempts the number
	// of those after the first for a shard.
	Attempts      int
	ExtraAttempts int
	// Restarts is the number of times that the search started again because its
	// index version was no longer available.
	Restarts int `json:",omitempty"`
	// SettingsRevision is the settings revision that applied to the request.
	SettingsRevision int64
	LatencyMillis    float64
	Daemon           string
}

// RefusalKind classifies a Refusal.
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

// Ran states whether a refused request ran on a target.
type Ran string

// The values of Ran. RanNo guarantees that no target has run the request and
// that none will run it.
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
	// RetryAfterMillis is the time after which a new attempt may succeed. Zero
	// means either never or at once, depending on Kind.
	RetryAfterMillis int64     `json:",omitempty"`
	Coverage         *Coverage `json:",omitempty"`
	Daemon           string    `json:",omitempty"`
}

// Error returns the kind, the value of Ran and the message.
func (r *Refusal) Error() string {
	return string(r.Kind) + " (" + string(r.Ran) + "): " + r.Message
}
