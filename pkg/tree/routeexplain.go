package tree

import (
	"fmt"
	"strconv"
	"strings"
)

// routeFields are the fields of a route in the order in which they are told.
var routeFields = []struct {
	Explanation
	value func(r *Route) string
}{
	{
		Explanation{Field: "Name", Unit: "name", Range: "any", Doc: "How logs and metrics call the route."},
		func(r *Route) string { return r.Name },
	},
	{
		Explanation{Field: "Host", Unit: "host name", Range: "required", Doc: "The host of the requests."},
		func(r *Route) string { return r.Host },
	},
	{
		Explanation{Field: "Prefix", Unit: "path", Range: "begins with a slash", Doc: "The path's beginning; of several routes the longest one serves."},
		func(r *Route) string { return r.Prefix },
	},
	{
		Explanation{Field: "Idempotent", Unit: "switch", Range: "On or Off", Doc: "Off lets a request run at most once."},
		func(r *Route) string {
			if r.Idempotent {
				return "On"
			}
			return "Off"
		},
	},
	{
		Explanation{Field: "Timeout", Unit: "duration", Range: "0 or more", Doc: "The longest time that a request is kept waiting."},
		func(r *Route) string { return r.Timeout.String() },
	},
	{
		Explanation{Field: "LatencyTarget", Unit: "duration", Range: "0 or more; 0 is the Timeout", Doc: "The time within which an answer is worth most."},
		func(r *Route) string { return r.LatencyTarget.String() },
	},
	{
		Explanation{Field: "Priority", Unit: "rank, 0 first", Range: "0 or more", Doc: "The order in which requests get room at full targets."},
		func(r *Route) string { return strconv.Itoa(r.Priority) },
	},
	{
		Explanation{Field: "MaxAttempts", Unit: "attempts a shard", Range: "1 or more", Doc: "The most targets that one request, or one shard of it, is sent to."},
		func(r *Route) string { return strconv.Itoa(r.MaxAttempts) },
	},
	{
		Explanation{Field: "Split", Unit: "pools and weights", Range: "either Split or Gather", Doc: "The pools that share the requests."},
		func(r *Route) string {
			parts := make([]string, 0, len(r.Split))
			for _, s := range r.Split {
				parts = append(parts, s.Pool+weightSeparator+strconv.FormatFloat(s.Weight, 'g', -1, 64))
			}
			return strings.Join(parts, ", ")
		},
	},
	{
		Explanation{Field: "Gather", Unit: "pools", Range: "either Split or Gather", Doc: "The pools that are the shards of an answer."},
		func(r *Route) string { return strings.Join(r.Gather, ", ") },
	},
	{
		Explanation{Field: "Merge", Unit: "word", Range: "None or Greatest", Doc: "How the replies of a gather become one body."},
		func(r *Route) string { return string(r.Merge) },
	},
	{
		Explanation{Field: "Top", Unit: "records", Range: "0 or more", Doc: "The records that a merge keeps."},
		func(r *Route) string { return strconv.Itoa(r.Top) },
	},
	{
		Explanation{Field: "LeastCoverage", Unit: "share of shards", Range: "0 to 1", Doc: "An answer that rests on less is refused; one below 1 may go out in part when the target is near."},
		func(r *Route) string { return strconv.FormatFloat(r.LeastCoverage, 'g', -1, 64) },
	},
}

// RouteFields describes every field of a route, without values.
func RouteFields() []Explanation {
	rows := make([]Explanation, 0, len(routeFields))
	for i := range routeFields {
		rows = append(rows, routeFields[i].Explanation)
	}
	return rows
}

// has reports whether a field applies to the route: some are for gathers only.
func (r *Route) has(field string) bool {
	gathers := len(r.Gather) > 0
	switch field {
	case "Split":
		return !gathers
	case "Gather", "Merge", "Top", "LeastCoverage":
		return gathers
	}
	return true
}

// Explain returns every field of the route that applies to it, and its origin.
func (r *Route) Explain() []Explanation {
	rows := make([]Explanation, 0, len(routeFields))
	for i := range routeFields {
		row := routeFields[i].Explanation
		if !r.has(row.Field) {
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
