package relay

import (
	"net/http"

	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
)

// remoteRequest asks a peer to gather some shards.
type remoteRequest struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Route  string
	Method string
	Host   string
	URI    string
	Header http.Header
	Body   []byte
	Pools  []string
	// LeftMillis is the time until the request's deadline. SoonMillis is the
	// time until the peer replies if enough shards have answered, and LateMillis
	// if too few have.
	LeftMillis int64
	SoonMillis int64
	LateMillis int64
	// Least is the minimum share of these shards that is enough.
	Least float64
	// YieldMillis is how long a late request yields to others.
	YieldMillis int64
	Top         int
	MaxAttempts int
	Priority    int
	// Granted holds for each pool the ID of the target for which the asking daemon has
	// taken a token, or an empty string.
	Granted []string
}

// remoteReply is what a peer has gathered.
type remoteReply struct {
	_          struct{} `cbor:",toarray"`
	Signatures []string
	// Missing holds the indexes of pools without an answer, and Used the number
	// of attempts made for each of them.
	Missing []int
	Used    []int
	Body    []byte
	// TookMicros is how long the peer worked on the request.
	TookMicros int64
	// Suspects is what the peer holds against the request.
	Suspects []poison.Entry
}

// valid reports whether the reply accounts for each pool once.
func (r *remoteReply) valid(pools int) bool {
	seen := map[int]bool{}
	for _, index := range r.Missing {
		if index < 0 || index >= pools || seen[index] {
			return false
		}
		seen[index] = true
	}
	return len(r.Signatures)+len(r.Missing) == pools && len(r.Used) == len(r.Missing)
}
