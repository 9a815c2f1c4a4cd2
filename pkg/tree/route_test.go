package tree

import (
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const goodRoutes = `
[Limits]
BodyBytes = 1000

[Pool 1]
Name = a
Connections = 26

[Route 1]
Name = search
Host = shop.example
Prefix = /search/
Gather = a, b
Merge = Greatest
Top = 5
LeastCoverage = 0.75
LatencyTarget = 120ms
Timeout = 1.2s

[Route 2]
Name = deep
Host = shop.example
Prefix = /search/deep/
Split = a:3, b
Idempotent = Off
`

func TestRoutes(t *testing.T) {
	parsed, err := Parse(Files{RoutesFile: goodRoutes})
	if err != nil {
		t.Fatal(err)
	}
	routes := parsed.Routes()
	if got := routes.Match("shop.example", "/search/deep/x"); got == nil || got.Name != "deep" || got.Idempotent || len(got.Split) != 2 || got.Split[0].Weight != 3 {
		t.Errorf("/search/deep/x matches %+v", got)
	}
	if got := routes.Match("shop.example:80", "/search/x"); got == nil || got.Name != "search" || len(got.Gather) != 2 || got.Top != 5 {
		t.Errorf("/search/x matches %+v", got)
	}
	if got := routes.Match("shop.example", "/"); got != nil {
		t.Errorf("/ matches %+v", got)
	}
	if routes.Limits.BodyBytes != 1000 || routes.Limits.HeaderBytes != defaultHeaderBytes || routes.Pools["a"].Connections != 26 {
		t.Errorf("limits %+v, pools %+v", routes.Limits, routes.Pools)
	}
}

// Guards against a request that runs on more targets of a pool than MaxAttempts allows,
// because the pool is named twice and so is two shards.
func TestRepeatedPoolIsGatheredOnce(t *testing.T) {
	parsed, err := Parse(Files{RoutesFile: strings.Replace(goodRoutes, "Gather = a, b", "Gather = a, b, a", 1)})
	if err != nil {
		t.Fatal(err)
	}
	got := parsed.Routes().Match("shop.example", "/search/x")
	if want := []string{"a", "b"}; got == nil || !slices.Equal(got.Gather, want) {
		t.Errorf("route %+v, want a gather over %v", got, want)
	}
}

// Parse reports every problem of a routes file with its line.
func TestRouteProblems(t *testing.T) {
	_, err := Parse(Files{RoutesFile: `
[Elsewhere]
X = 1

[Limits]
BodyBytes = many

[Route 1]
Host = shop.example
Prefix = search
Split = a

[Route 2]
Host = shop.example
Prefix = /x/
Split = a
Gather = b
Timeout = fast
Idempotent = Maybe
Colour = red

[Route 3]
Host = shop.example
Prefix = /y/
Gather = b
LeastCoverage = 2

[Route 4]
Host = shop.example
Prefix = /z/
Split = a:heavy
`})
	if err == nil {
		t.Fatal("accepted")
	}
	goldie.New(t).Assert(t, "routeproblems", []byte(err.Error()))
}

// Values that no comparison refuses are refused, and a problem is listed under the section
// that has it, whatever the labels are.
func TestRouteProblemsThatComparisonsMiss(t *testing.T) {
	_, err := Parse(Files{RoutesFile: `
[Limits]
BodyBytes = -1

[Route search]
Host = shop.example
Prefix = /y/
Gather = b
Merge = Greatest
LeastCoverage = NaN

[Route 7]
Host = shop.example
Prefix = /z/
Split = a:NaN, b

[Route last]
Host = shop.example
Prefix = /w/
Split = a:+Inf, b

[Route 1]
Host = shop.example
Prefix = v
Split = a
`})
	if err == nil {
		t.Fatal("accepted")
	}
	goldie.New(t).Assert(t, "routevalues", []byte(err.Error()))
}
