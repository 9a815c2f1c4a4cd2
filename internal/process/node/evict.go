package node

import "time"

// Limit is a limit on what all clients together hold.
type Limit string

// The limits: on the connections of a listener, and on the memory for requests and for
// answers.
const (
	LimitConnection Limit = "Connection"
	LimitRequest    Limit = "Request"
	LimitAnswer     Limit = "Answer"
)

// Evicted records that a client was closed, or turned away, to keep a limit.
func (n *Node) Evicted(limit Limit) {
	n.Meter.CountDecision("Evict" + string(limit))
	if count := n.evictions.add(time.Now()); count > 0 {
		n.Log.State("closed clients that others needed room for", "count", count, "last", limit, "requestBytes", n.Requests.Used(),
			"answerBytes", n.Answers.Used(), "inFlight", n.server.InFlight())
	}
}
