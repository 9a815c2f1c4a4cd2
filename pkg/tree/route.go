package tree

import (
	"slices"
	"strings"
	"time"
)

// RoutesFile is the path of the file that holds the routes of opaque requests.
const RoutesFile = "routes.ini"

// Merge is the way in which the replies of a gather become one body.
type Merge string

// The merges.
const (
	// MergeNone passes the one reply on.
	MergeNone Merge = "None"
	// MergeGreatest keeps the greatest fixed-size records of all replies.
	MergeGreatest Merge = "Greatest"
)

// Share is one pool of a route and its part of the route's requests.
type Share struct {
	Pool   string
	Weight float64
}

// Route says where the requests of one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once; others run at most once.
	Idempotent bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is worth most.
	LatencyTarget time.Duration
	// Priority orders routes; zero goes first.
	Priority int
	// MaxAttempts bounds the targets that one request, or one shard of it, is sent to.
	MaxAttempts int
	// Split lists the pools that share the requests; one pool has them all.
	Split []Share
	// Gather lists the pools that are the shards of the answer. It is empty
	// where Split is not.
	Gather []string
	Merge  Merge
	// Top is the number of records that a merge keeps.
	Top int
	// LeastCoverage is the least share of shards that makes an answer.
	LeastCoverage float64

	// lines are where the file sets each field.
	lines map[string]int
}

// Pool is a group of targets that serve the same requests.
type Pool struct {
	Name string
	// Connections is how many connections each target accepts from all daemons.
	Connections int
	// StatusPath is where a target tells its health.
	StatusPath string
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routes is the table of opaque routes of one revision.
type Routes struct {
	Limits Limits
	Pools  map[string]Pool
	All    []*Route

	byHost map[string][]*Route
}

// Match returns the route with the longest prefix of the path among those of
// the host, or nil. A port in the host is ignored.
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

// index sorts the routes of each host by falling length of their prefix.
func (r *Routes) index() {
	r.byHost = map[string][]*Route{}
	for _, route := range r.All {
		key := hostName(route.Host)
		r.byHost[key] = append(r.byHost[key], route)
	}
	for _, routes := range r.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Routes returns the table of opaque routes; nil when the tree has none.
func (t *Tree) Routes() *Routes { return t.routes }
