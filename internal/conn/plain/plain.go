// Package plain implements the project's own protocol for opaque requests between
// callers, daemons and searchers: any method and path, with the headers of pkg/wire.
//
// # Usage
//
//	s := &edge.Server{Address: "10.0.0.1:7001", Codec: plain.Codec{}, ...}
//	r := &relay.Runner{Dialect: plain.Codec{}, ...}
package plain

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/http1"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/pass"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/request/merge"
	"github.com/magnoliarelay/magnoliarelay/internal/request/relay"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Codec implements the protocol towards callers and towards searchers. It has no
// state.
type Codec struct{}

// Read converts the head of a caller's request. A timeout that cannot be parsed
// counts as none, and that of the route applies.
func (Codec) Read(r *http.Request) *relay.Request {
	header := r.Header
	pass.DropHopByHop(header)
	request := &relay.Request{ID: header.Get(wire.HeaderRequest), Method: r.Method, Host: r.Host, URI: r.RequestURI, Header: header}
	if microseconds, err := strconv.ParseInt(header.Get(wire.HeaderTimeout), 10, 64); err == nil && microseconds > 0 {
		request.Timeout = time.Duration(microseconds) * time.Microsecond
	}
	return request
}

// statusByResult is the HTTP status for each result that the daemon itself reports.
var statusByResult = map[relay.Result]int{
	relay.NotRun:  http.StatusServiceUnavailable,
	relay.Broken:  http.StatusBadGateway,
	relay.Expired: http.StatusGatewayTimeout,
	relay.NoRoute: http.StatusNotFound,
}

// Write sends an answer to the caller.
func (Codec) Write(w http.ResponseWriter, request *relay.Request, answer *relay.Answer) error {
	header := w.Header()
	switch answer.Result {
	case relay.Passed:
		pass.Header(header, answer.Reply.Header, wire.HeaderLoad)
		return pass.Reply(w, request.Method, answer.Reply.Status, answer.Reply.Header.Get("Content-Length"), answer.Reply.Body)
	case relay.Gathered, relay.Partial:
		answered := len(answer.Signatures)
		header.Set(wire.HeaderRequest, request.ID)
		header.Set(wire.HeaderServedBy, strings.Join(answer.Signatures, ", "))
		header.Set(wire.HeaderCoverage, fmt.Sprintf("%d/%d", answered, answered+answer.Missing))
		header.Set("Content-Type", "application/octet-stream")
		return pass.Reply(w, request.Method, http.StatusOK, "", answer.Body)
	default:
	}
	header.Set(wire.HeaderRequest, request.ID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if answer.Result == relay.NotRun {
		header.Set(wire.HeaderNotRun, "true")
		header.Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', 3, 64))
	}
	return pass.Answer(w, statusByResult[answer.Result], []byte(answer.Reason+"\n"))
}

// Encode returns the request to a searcher.
func (Codec) Encode(request *relay.Request, _ *fleet.Target, remaining time.Duration) *http.Request {
	header := make(http.Header, len(request.Header)+2)
	for name, values := range request.Header {
		header[name] = values
	}
	header.Set(wire.HeaderTimeout, strconv.FormatInt(max(remaining.Microseconds(), 1), 10))
	return pass.Request(request.Method, request.URI, request.Host, header, request.Body)
}

// RequestID returns the request's ID.
func (Codec) RequestID(request *http.Request) string { return request.Header.Get(wire.HeaderRequest) }

// RepliedID returns the request ID that a reply repeats, or "" if it has none.
func (Codec) RepliedID(reply *http1.Reply) string { return reply.Header.Get(wire.HeaderRequest) }

// Classify classifies a searcher's reply, which counts only if it has the request's ID.
func (Codec) Classify(request *relay.Request, reply *http1.Reply) relay.Classification {
	classification := relay.Classification{Signature: reply.Header.Get(wire.HeaderServedBy), Load: parseLoad(reply.Header.Get(wire.HeaderLoad))}
	id := reply.Header.Get(wire.HeaderRequest)
	switch {
	case id != "" && id != request.ID:
		classification.Outcome = fleet.Corrupt
	case reply.Header.Get(wire.HeaderNotRun) != "":
		classification.Outcome = fleet.Shed
	case id == "" || classification.Signature == "":
		classification.Outcome = fleet.Corrupt
	case reply.Status < http.StatusOK || reply.Status >= http.StatusMultipleChoices:
		classification.Outcome = fleet.Failed
	default:
		classification.Outcome = fleet.Success
	}
	return classification
}

// Merge returns the greatest records of all parts, at most as many as the route sets.
func (Codec) Merge(route *tree.Route, parts [][]byte) []byte { return merge.Greatest(parts, route.Top) }

// parseLoad parses "running,waiting" and returns nil if the value is malformed.
func parseLoad(value string) *wire.Load {
	var load wire.Load
	if count, err := fmt.Sscanf(value, "%d,%d", &load.InFlight, &load.Queued); err != nil || count != 2 {
		return nil
	}
	return &load
}
