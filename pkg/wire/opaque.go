package wire

// Headers of opaque requests, between callers, daemons and searchers.
const (
	// HeaderRequest names one attempt of a caller. Searchers and daemons repeat it.
	HeaderRequest = "Relay-Request"
	// HeaderNotRun is set on a refusal of a request that has not run and will not.
	HeaderNotRun = "Relay-Not-Run"
	// HeaderServedBy is the address of the searcher that made an answer or part.
	HeaderServedBy = "Relay-Served-By"
	// HeaderLoad is a searcher's word on its load, "running,waiting".
	HeaderLoad = "Relay-Load"
	// HeaderCoverage tells how many shards a gathered answer rests on, "18/20".
	HeaderCoverage = "Relay-Coverage"
)
