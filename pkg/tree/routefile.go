package tree

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// The kinds of section in the routes file. The name of a pool or route section
// is its kind and a unique label, as in [Route 3].
const (
	sectionLimits = "Limits"
	sectionPool   = "Pool"
	sectionRoute  = "Route"
)

const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
	defaultTimeout       = 2 * time.Second
	listSeparator        = ","
	weightSeparator      = ":"
)

// routeFile holds the state of parsing the routes file.
type routeFile struct {
	parser *parser
	lines  map[string][]int
	routes *Routes
	// sections holds the name of the section of each route.
	sections []string
}

func (p *parser) parseRoutes(content string) {
	options := ini.LoadOptions{IgnoreInlineComment: true, IgnoreContinuation: true}
	file, err := ini.LoadSources(options, []byte(content))
	if err != nil {
		p.addProblem(Problem{File: RoutesFile, Line: firstInvalidLine(content), Message: strings.TrimSpace(err.Error())})
		return
	}
	f := &routeFile{parser: p, lines: keyLines(content), routes: &Routes{
		Pools: map[string]Pool{},
		Limits: Limits{
			HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
			HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		},
	}}
	for _, section := range file.Sections() {
		f.parseSection(section)
	}
	f.checkRoutes()
	f.routes.indexByHost()
	p.tree.routes = f.routes
}

func (f *routeFile) parseSection(section *ini.Section) {
	kind, _, _ := strings.Cut(section.Name(), " ")
	switch kind {
	case ini.DefaultSection:
		f.applySetters(section, nil)
	case sectionLimits:
		f.applySetters(section, f.limitSetters(&f.routes.Limits))
	case sectionPool:
		pool := Pool{}
		f.applySetters(section, map[string]func(string) error{
			"Name":        stringSetter(&pool.Name),
			"Connections": integerAtLeast(&pool.Connections, 0),
			"StatusPath":  stringSetter(&pool.StatusPath),
		})
		f.routes.Pools[pool.Name] = pool
	case sectionRoute:
		route := &Route{Idempotent: true, Timeout: defaultTimeout, MaxAttempts: 1, Merge: MergeNone}
		f.applySetters(section, routeSetters(route))
		route.lines = map[string]int{}
		for _, key := range section.Keys() {
			if lineNumbers := f.lines[section.Name()+"\x00"+key.Name()]; len(lineNumbers) > 0 {
				route.lines[key.Name()] = lineNumbers[0]
			}
		}
		f.routes.All = append(f.routes.All, route)
		f.sections = append(f.sections, section.Name())
	default:
		f.addProblem(section.Name(), "", "is not [Limits], [Pool ...] or [Route ...]")
	}
}

func (f *routeFile) limitSetters(limits *Limits) map[string]func(string) error {
	return map[string]func(string) error{
		"HeaderBytes": integerAtLeast(&limits.HeaderBytes, 1),
		"BodyBytes": func(value string) (err error) {
			if limits.BodyBytes, err = strconv.ParseInt(value, 10, 64); err != nil {
				return fmt.Errorf("%q is not a whole number", value)
			}
			if limits.BodyBytes < 0 {
				return fmt.Errorf("%q is less than 0", value)
			}
			return nil
		},
		"HeaderTimeout": nonNegativeDuration(&limits.HeaderTimeout),
		"IdleTimeout":   nonNegativeDuration(&limits.IdleTimeout),
	}
}

func routeSetters(route *Route) map[string]func(string) error {
	return map[string]func(string) error{
		"Name":          stringSetter(&route.Name),
		"Host":          stringSetter(&route.Host),
		"Prefix":        stringSetter(&route.Prefix),
		"Timeout":       nonNegativeDuration(&route.Timeout),
		"LatencyTarget": nonNegativeDuration(&route.LatencyTarget),
		"Priority":      integerAtLeast(&route.Priority, 0),
		"MaxAttempts":   integerAtLeast(&route.MaxAttempts, 1),
		"Top":           integerAtLeast(&route.Top, 0),
		"Idempotent": func(value string) error {
			if value != "On" && value != "Off" {
				return fmt.Errorf("%q is neither On nor Off", value)
			}
			route.Idempotent = value == "On"
			return nil
		},
		"Split": func(value string) (err error) {
			route.Split, err = parseSplit(value)
			return err
		},
		"Gather": func(value string) error {
			route.Gather = distinct(splitList(value))
			return nil
		},
		"Merge": func(value string) error {
			route.Merge = Merge(value)
			if route.Merge != MergeNone && route.Merge != MergeGreatest {
				return fmt.Errorf("%q is neither None nor Greatest", value)
			}
			return nil
		},
		"LeastCoverage": func(value string) (err error) {
			route.LeastCoverage, err = strconv.ParseFloat(value, 64)
			if err != nil || !(route.LeastCoverage >= 0 && route.LeastCoverage <= 1) {
				return fmt.Errorf("%q is not a share between 0 and 1", value)
			}
			return nil
		},
	}
}

func parseSplit(value string) ([]Share, error) {
	var shares []Share
	for _, part := range splitList(value) {
		name, weight, weighted := strings.Cut(part, weightSeparator)
		share := Share{Pool: name, Weight: 1}
		if weighted {
			var err error
			share.Weight, err = strconv.ParseFloat(weight, 64)
			if err != nil || !(share.Weight >= 0 && share.Weight <= math.MaxFloat64) {
				return nil, fmt.Errorf("%q has no valid weight; a weight is a number such as 2.5", part)
			}
		}
		shares = append(shares, share)
	}
	return shares, nil
}

func splitList(value string) []string {
	var names []string
	for _, name := range strings.Split(value, listSeparator) {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// distinct drops repeated names. A pool that is gathered twice would be two shards,
// with the attempts of two.
func distinct(names []string) []string {
	kept := names[:0]
	for _, name := range names {
		if !slices.Contains(kept, name) {
			kept = append(kept, name)
		}
	}
	return kept
}

func stringSetter(field *string) func(string) error {
	return func(value string) error {
		*field = value
		return nil
	}
}

func integerAtLeast(field *int, minimum int) func(string) error {
	return func(value string) (err error) {
		if *field, err = strconv.Atoi(value); err != nil || *field < minimum {
			return fmt.Errorf("%q is not a whole number of at least %d", value, minimum)
		}
		return nil
	}
}

func nonNegativeDuration(field *time.Duration) func(string) error {
	return func(value string) (err error) {
		if *field, err = time.ParseDuration(value); err != nil || *field < 0 {
			return fmt.Errorf("%q is not a duration such as 250ms", value)
		}
		return nil
	}
}

// applySetters calls the setter of every key of a section.
func (f *routeFile) applySetters(section *ini.Section, setters map[string]func(string) error) {
	for _, key := range section.Keys() {
		set, known := setters[key.Name()]
		if !known {
			f.addProblem(section.Name(), key.Name(), "is not a field of this section")
			continue
		}
		if err := set(key.Value()); err != nil {
			f.addProblem(section.Name(), key.Name(), err.Error())
		}
	}
}

// checkRoutes reports routes that cannot serve any request.
func (f *routeFile) checkRoutes() {
	for i, route := range f.routes.All {
		name := f.sections[i]
		switch {
		case route.Host == "" || !strings.HasPrefix(route.Prefix, "/"):
			f.addProblem(name, "Prefix", "needs a Host, and a path that begins with a slash")
		case (len(route.Split) == 0) == (len(route.Gather) == 0):
			f.addProblem(name, "Split", "needs either Split or Gather")
		case len(route.Gather) > 0 && route.Merge == MergeNone:
			f.addProblem(name, "Merge", "must be set for a route with Gather")
		case len(route.Gather) > 0 && !route.Idempotent:
			f.addProblem(name, "Idempotent", "must be On for a route with Gather")
		}
	}
}

func (f *routeFile) addProblem(section, field, message string) {
	line := 1
	if lineNumbers := f.lines[section+"\x00"+field]; len(lineNumbers) > 0 {
		line = lineNumbers[0]
	}
	f.parser.addProblem(Problem{File: RoutesFile, Line: line, Section: section, Field: field, Message: message})
}
