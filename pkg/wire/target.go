package wire

// Echo identifies one attempt for one shard of one request. A searcher repeats
// it in its reply.
type Echo struct {
	Request string
	Attempt uint64
	Shard   int
	Version uint64
}

// ShardRequest is the CBOR body of POST /search at a searcher. The Echo and the
// remaining time are sent in headers, so that all shards get the same body.
type ShardRequest struct {
	Service string
	Query   string
	Limit   int
	All     bool
	// After is the identifier of the last hit before this page of an All search.
	After string
}

// Load is the load that a target reports. It may be stale or wrong.
type Load struct {
	InFlight int
	Queued   int
	Draining bool
	// Generation changes whenever the target's indexes change. A daemon that
	// sees a new generation requests the status again.
	Generation uint64
}

// ShardReply is the CBOR body of a searcher's 200 reply.
type ShardReply struct {
	Echo Echo
	Hits []Hit
	// More is true if a page of an All search was truncated at Limit.
	More bool
	Load Load
}

// Index is one version of a service's index as a searcher holds it.
type Index struct {
	Service string
	Version uint64
	// ShardCount is the number of shards of the whole version.
	ShardCount int
	// Shards lists the shards that this searcher can serve.
	Shards []int
}

// TargetStatus is the CBOR body of GET /status at a searcher.
type TargetStatus struct {
	// Incarnation changes whenever the target restarts.
	Incarnation string
	Load        Load
	Slots       int
	Connections int
	Indexes     []Index
}

// ExecuteOrder is the CBOR body of POST /execute at a target.
type ExecuteOrder struct {
	Service string
	Key     string
	Command string
	// NotAfterUnixMillis is the wall-clock time after which the target refuses
	// the request.
	NotAfterUnixMillis int64
}

// ExecuteReply is the CBOR body of a target's 200 reply to POST /execute.
type ExecuteReply struct {
	Key    string
	Result string
}

// Headers of the searcher protocol.
const (
	// HeaderEcho carries "request/attempt/shard/version". A refusal repeats it,
	// so that the daemon does not mistake the refusal of an earlier attempt for
	// one of the current attempt.
	HeaderEcho = "Relay-Echo"
	// HeaderTimeout carries the remaining time in microseconds.
	HeaderTimeout = "Relay-Timeout"
)

// Host is one entry of the platform's host list.
type Host struct {
	// Address is the "ip:port" on which the host serves.
	Address string
	// Role is "Searcher" or "Daemon".
	Role       string
	Deployment string
	Service    string
	Region     string
	DataCentre string
	Rack       string
	// Leaving is true after the platform has scheduled the host's stop.
	Leaving bool
}

// HostList is the JSON body of GET /hosts at the platform's host list.
type HostList struct {
	Hosts []Host
}
