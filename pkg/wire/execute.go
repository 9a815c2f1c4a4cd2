package wire

// ExecuteRequest is the body of POST /v1/execute: a non-idempotent request.
type ExecuteRequest struct {
	Deployment string
	Service    string
	Caller     string
	RequestID  string
	// Deadline is a duration such as "2s", counted from arrival.
	Deadline string
	// IdempotencyKey identifies the request in all its resends, 1 to 128 bytes.
	IdempotencyKey string
	// Home is the home token of a daemon in the address list; it is the same in
	// every resend. Only that daemon may run the request.
	Home string
	// Command is passed to the target unchanged.
	Command string
}

// ExecuteAnswer is the body of a 200 reply to POST /v1/execute.
type ExecuteAnswer struct {
	RequestID      string
	IdempotencyKey string
	Result         string
	// Replayed is true if the answer is the stored answer to an earlier send.
	Replayed      bool
	Daemon        string
	LatencyMillis float64
}

// Address is one daemon in the address list.
type Address struct {
	// URL is the base URL, such as "http://127.0.0.1:7000".
	URL        string
	DataCentre string
	Region     string
	// Home is the daemon's home token for non-idempotent requests. It is empty
	// if the daemon that sends the list has not received the token.
	Home string
}

// AddressList is the body of a 200 reply to GET /v1/addresses.
type AddressList struct {
	Addresses []Address
	// KeepMillis is how long the caller may use the list.
	KeepMillis int64
	// HomeKeepMillis is how long the caller may use the home tokens for the
	// first send of a request.
	HomeKeepMillis int64
}
