package tree

import (
	"fmt"
	"strconv"
	"strings"
)

// routeFields lists the fields of a route in the order of the documentation.
var routeFields = []struct {
	Explanation
	value func(r *Route) string
}{
	{
		Explanation{Field: "Name", Unit: "name", Range: "any", Doc: "The name of the route in logs and metrics."},
		func(r *Route) string { return r.Name },
	},
	{
		Explanation{Field: "Host", Unit: "host name", Range: "required", Doc: "The host name of the requests that the route serves."},
		func(r *Route) string { return r.Host },
	},
	{
		Explanation{Field: "Prefix", Unit: "path", Range: "begins with a slash", Doc: "The path prefix of the requests that the route serves. If several routes match, the longest prefix wins."},
		func(r *Route) string { return r.Prefix },
	},
	{
		Explanation{Field: "Idempotent", Unit: "switch", Range: "On or Off", Doc: "With Off, a request runs at most once."},
		func(r *Route) string {
			if r.Idempotent {
				return "On"
			}
			return "Off"
		},
	},
	{
		Explanation{Field: "Timeout", Unit: "duration", Range: "0 or more", Doc: "The maximum time that a request waits for its answer."},
		func(r *Route) string { return r.Timeout.String() },
	},
	{
		Explanation{Field: "LatencyTarget", Unit: "duration", Range: "0 or more; 0 is the Timeout", Doc: "The time within which an answer has its full value."},
		func(r *Route) string { return r.LatencyTarget.String() },
	},
	{
		Explanation{Field: "Priority", Unit: "rank, 0 first", Range: "0 or more", Doc: "The order in which waiting requests are sent when targets are full, and in which requests are served when targets limit theirs."},
		func(r *Route) string { return strconv.Itoa(r.Priority) },
	},
	{
		Explanation{Field: "MaxAttempts", Unit: "attempts a shard", Range: "1 or more", Doc: "The maximum number of targets that one request, or one shard of it, is sent to."},
		func(r *Route) string { return strconv.Itoa(r.MaxAttempts) },
	},
	{
		Explanation{Field: "Split", Unit: "pools and weights", Range: "either Split or Gather", Doc: "The pools among which the requests are divided."},
		func(r *Route) string {
			parts := make([]string, 0, len(r.Split))
			for _, s := range r.Split {
				parts = append(parts, s.Pool+weightSeparator+strconv.FormatFloat(s.Weight, 'g', -1, 64))
			}
			return strings.Join(parts, ", ")
		},
	},
	{
		Explanation{Field: "Gather", Unit: "pools", Range: "either Split or Gather", Doc: "The pools whose replies form the answer; each pool is one shard, however often it is named."},
		func(r *Route) string { return strings.Join(r.Gather, ", ") },
	},
	{
		Explanation{Field: "Merge", Unit: "word", Range: "None or Greatest", Doc: "The method that combines the replies of a gather into one body."},
		func(r *Route) string { return string(r.Merge) },
	},
	{
		Explanation{Field: "Top", Unit: "records", Range: "0 or more", Doc: "The number of records that a merge keeps."},
		func(r *Route) string { return strconv.Itoa(r.Top) },
	},
	{
		Explanation{Field: "LeastCoverage", Unit: "share of shards", Range: "0 to 1", Doc: "The minimum coverage of an answer; a request with less coverage is refused. Shards whose targets all leave, pause or have reached a limit of theirs are missing. With a value below 1, a partial answer may be sent shortly before the latency target."},
		func(r *Route) string { return strconv.FormatFloat(r.LeastCoverage, 'g', -1, 64) },
	},
}

// RouteFields returns the description of every field of a route, without values.
func RouteFields() []Explanation {
	rows := make([]Explanation, 0, len(routeFields))
	for i := range routeFields {
		rows = append(rows, routeFields[i].Explanation)
	}
	return rows
}

// hasField reports whether a field applies to the route. Some fields apply only
// to routes with Split and some only to routes with Gather.
func (r *Route) hasField(field string) bool {
	gathers := len(r.Gather) > 0
	switch field {
	case "Split":
		return !gathers
	case "Gather", "Merge", "Top", "LeastCoverage":
		return gathers
	}
	return true
}

// Explain returns the value and origin of every field that applies to the route.
func (r *Route) Explain() []Explanation {
	rows := make([]Explanation, 0, len(routeFields))
	for i := range routeFields {
		row := routeFields[i].Explanation
		if !r.hasField(row.Field) {
			continue
		}
		row.Section, row.Value, row.Source = sectionRoute, routeFields[i].value(r), "default"
		if line := r.lines[row.Field]; line > 0 {
			row.Source = fmt.Sprintf("%s:%d", RoutesFile, line)
		}
		rows = append(rows, row)
	}
	return rows
}
