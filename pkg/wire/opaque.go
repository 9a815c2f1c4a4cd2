package wire

// Headers of opaque requests, which pass through unchanged, and of their replies.
const (
	// HeaderRequest identifies one attempt of a caller. Searchers and daemons
	// repeat it in their replies.
	HeaderRequest = "Relay-Request"
	// HeaderNotRun is set on the refusal of a request that has not run and will
	// not run.
	HeaderNotRun = "Relay-Not-Run"
	// HeaderServedBy holds the address of the searcher that produced the answer,
	// or one address for each part of a gathered answer.
	HeaderServedBy = "Relay-Served-By"
	// HeaderLoad is the load that a searcher reports, "running,waiting".
	HeaderLoad = "Relay-Load"
	// HeaderCoverage is the number of shards in a gathered answer and the number
	// of all shards, "18/20".
	HeaderCoverage = "Relay-Coverage"
)
