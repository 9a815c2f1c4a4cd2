package wire

// Echo identifies one attempt of one shard of one request. A searcher repeats
// it inside its reply.
type Echo struct {
	Request string
	Attempt uint64
	Shard   int
	Version uint64
}

// ShardRequest is the CBOR body of POST /search at a searcher. The echo and the
// time that remains travel in headers, so that one body serves all shards.
type ShardRequest struct {
	Service string
	Query   string
	Limit   int
	All     bool
	// After is the identifier that an All page starts after.
	After string
}

// Load is a target's report of itself. It may lag or be wrong.
type Load struct {
	InFlight int
	Queued   int
	Draining bool
	// Generation changes whenever the target's indexes do, so that a daemon
	// knows to ask for the status again.
	Generation uint64
}

// ShardReply is the CBOR body of a searcher's 200 reply.
type ShardReply struct {
	Echo Echo
	Hits []Hit
	// More is true when an All page was cut at Limit.
	More bool
	Load Load
}

// Index is one version of a service's index as a searcher holds it.
type Index struct {
	Service string
	Version uint64
	// ShardCount is the number of shards of the whole version.
	ShardCount int
	// Shards lists those that this searcher can serve.
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
	// NotAfterUnixMillis is the wall time after which the target refuses.
	NotAfterUnixMillis int64
}

// ExecuteReply is the CBOR body of a target's 200 reply to POST /execute.
type ExecuteReply struct {
	Key    string
	Result string
}

// Headers of the searcher protocol.
const (
	// HeaderEcho carries "request/attempt/shard/version". A refusal repeats it, so that
	// one of an earlier attempt is not taken for one of the next.
	HeaderEcho = "Relay-Echo"
	// HeaderTimeout carries the time that remains, in microseconds.
	HeaderTimeout = "Relay-Timeout"
)

// Host is one entry of the platform's host list.
type Host struct {
	// Address is "ip:port" of the host's service.
	Address string
	// Role is "Searcher" or "Daemon".
	Role       string
	Deployment string
	Service    string
	Region     string
	DataCentre string
	Rack       string
	// Leaving is true once the platform has planned the host's stop.
	Leaving bool
}

// HostList is the JSON body of GET /hosts at the platform's host list.
type HostList struct {
	Hosts []Host
}
