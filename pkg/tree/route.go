package tree

import (
	"slices"
	"strings"
	"time"
)

// RoutesFile is the path of the file that holds the routes of opaque requests.
const RoutesFile = "routes.ini"

// Merge is the method that combines the replies of a gather into one body.
type Merge string

// The merge methods.
const (
	// MergeNone passes a single reply on unchanged.
	MergeNone Merge = "None"
	// MergeGreatest keeps the greatest of the fixed-size records of all replies.
	MergeGreatest Merge = "Greatest"
)

// Share is a pool and its weight among the pools that split a route's requests.
type Share struct {
	Pool   string
	Weight float64
}

// Route defines where requests with one host and path prefix are sent.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is true if a request may run more than once; otherwise it
	// runs at most once.
	Idempotent bool
	// Timeout is the maximum time that a request waits for its answer.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer has its full value.
	LatencyTarget time.Duration
	// Priority is the rank of the route; zero is the highest priority.
	Priority int
	// MaxAttempts is the maximum number of targets that one request, or one
	// shard of it, is sent to.
	MaxAttempts int
	// Split lists the pools among which the requests are divided; a single
	// pool gets all of them.
	Split []Share
	// Gather lists the pools whose replies form the answer; each pool is one
	// shard. A route has either Split or Gather.
	Gather []string
	Merge  Merge
	// Top is the number of records that a merge keeps.
	Top int
	// LeastCoverage is the minimum share of shards that an answer must cover.
	LeastCoverage float64

	// lines holds the line number of each field that the file sets.
	lines map[string]int
}

// Pool is a group of targets that serve the same requests.
type Pool struct {
	Name string
	// Connections is the number of connections that each target accepts from
	// all daemons together.
	Connections int
	// StatusPath is the path of a target's health check.
	StatusPath string
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routes is the table of opaque routes of one settings revision.
type Routes struct {
	Limits Limits
	Pools  map[string]Pool
	All    []*Route

	byHost map[string][]*Route
}

// Match returns the route of the host with the longest matching path prefix, or
// nil if no route matches. It ignores a port in the host.
func (r *Routes) Match(host, path string) *Route {
	for _, route := range r.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// indexByHost groups the routes by host, those with the longest prefix first.
func (r *Routes) indexByHost() {
	r.byHost = map[string][]*Route{}
	for _, route := range r.All {
		name := hostName(route.Host)
		r.byHost[name] = append(r.byHost[name], route)
	}
	for _, routes := range r.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Routes returns the table of opaque routes, or nil if the tree has none.
func (t *Tree) Routes() *Routes { return t.routes }
