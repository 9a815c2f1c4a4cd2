package wire

// ExecuteRequest is the body of POST /v1/execute: a non-idempotent request.
type ExecuteRequest struct {
	Deployment string
	Service    string
	Caller     string
	RequestID  string
	// Deadline is a duration such as "2s", counted from arrival.
	Deadline string
	// IdempotencyKey names the request through all its resends, 1 to 128 bytes.
	IdempotencyKey string
	// Home is the token from the address list; it is the same in every resend.
	Home string
	// Command is passed to the target as it is.
	Command string
}

// ExecuteAnswer is the body of a 200 reply to POST /v1/execute.
type ExecuteAnswer struct {
	RequestID      string
	IdempotencyKey string
	Result         string
	// Replayed is true when the answer was kept from an earlier send.
	Replayed      bool
	Daemon        string
	LatencyMillis float64
}

// Address is one daemon in the address list.
type Address struct {
	// URL is the base address, "http://127.0.0.1:7000".
	URL        string
	DataCentre string
	Region     string
	// Home is the daemon's home token for non-idempotent requests; empty
	// when the daemon that answers has not heard one.
	Home string
}

// AddressList is the body of a 200 reply to GET /v1/addresses.
type AddressList struct {
	Addresses []Address
	// KeepMillis is how long the list may be used.
	KeepMillis int64
	// HomeKeepMillis is how long the home tokens may be used for first sends.
	HomeKeepMillis int64
}
