package tree

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// The kinds of section in the routes file. A section's name is its kind and a
// label, as in [Route 3]; labels only have to differ.
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

// routeFile is one parse of the routes file.
type routeFile struct {
	parser *parser
	lines  map[string][]int
	routes *Routes
}

func (p *parser) parseRoutes(content string) {
	options := ini.LoadOptions{IgnoreInlineComment: true, IgnoreContinuation: true}
	file, err := ini.LoadSources(options, []byte(content))
	if err != nil {
		p.add(Problem{File: RoutesFile, Line: badLine(content), Message: strings.TrimSpace(err.Error())})
		return
	}
	f := &routeFile{parser: p, lines: locate(content), routes: &Routes{
		Pools: map[string]Pool{},
		Limits: Limits{
			HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes,
			HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		},
	}}
	for _, section := range file.Sections() {
		f.section(section)
	}
	f.check()
	f.routes.index()
	p.tree.routes = f.routes
}

func (f *routeFile) section(section *ini.Section) {
	kind, _, _ := strings.Cut(section.Name(), " ")
	switch kind {
	case ini.DefaultSection:
		f.each(section, nil)
	case sectionLimits:
		f.each(section, f.limitSetters(&f.routes.Limits))
	case sectionPool:
		pool := Pool{}
		f.each(section, map[string]func(string) error{
			"Name":        text(&pool.Name),
			"Connections": integer(&pool.Connections, 0),
			"StatusPath":  text(&pool.StatusPath),
		})
		f.routes.Pools[pool.Name] = pool
	case sectionRoute:
		route := &Route{Idempotent: true, Timeout: defaultTimeout, MaxAttempts: 1, Merge: MergeNone}
		f.each(section, routeSetters(route))
		route.lines = map[string]int{}
		for _, key := range section.Keys() {
			if at := f.lines[section.Name()+"\x00"+key.Name()]; len(at) > 0 {
				route.lines[key.Name()] = at[0]
			}
		}
		f.routes.All = append(f.routes.All, route)
	default:
		f.report(section.Name(), "", "is not [Limits], [Pool ...] or [Route ...]")
	}
}

func (f *routeFile) limitSetters(limits *Limits) map[string]func(string) error {
	return map[string]func(string) error{
		"HeaderBytes": integer(&limits.HeaderBytes, 1),
		"BodyBytes": func(value string) (err error) {
			if limits.BodyBytes, err = strconv.ParseInt(value, 10, 64); err != nil {
				return fmt.Errorf("%q is not a whole number", value)
			}
			return nil
		},
		"HeaderTimeout": duration(&limits.HeaderTimeout),
		"IdleTimeout":   duration(&limits.IdleTimeout),
	}
}

func routeSetters(route *Route) map[string]func(string) error {
	return map[string]func(string) error{
		"Name":          text(&route.Name),
		"Host":          text(&route.Host),
		"Prefix":        text(&route.Prefix),
		"Timeout":       duration(&route.Timeout),
		"LatencyTarget": duration(&route.LatencyTarget),
		"Priority":      integer(&route.Priority, 0),
		"MaxAttempts":   integer(&route.MaxAttempts, 1),
		"Top":           integer(&route.Top, 0),
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
			route.Gather = list(value)
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
			if err != nil || route.LeastCoverage < 0 || route.LeastCoverage > 1 {
				return fmt.Errorf("%q is not a share between 0 and 1", value)
			}
			return nil
		},
	}
}

func parseSplit(value string) ([]Share, error) {
	var shares []Share
	for _, part := range list(value) {
		name, weight, weighted := strings.Cut(part, weightSeparator)
		share := Share{Pool: name, Weight: 1}
		if weighted {
			var err error
			if share.Weight, err = strconv.ParseFloat(weight, 64); err != nil || share.Weight < 0 {
				return nil, fmt.Errorf("%q has no weight such as 2.5", part)
			}
		}
		shares = append(shares, share)
	}
	return shares, nil
}

func list(value string) []string {
	var names []string
	for _, name := range strings.Split(value, listSeparator) {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func text(at *string) func(string) error {
	return func(value string) error {
		*at = value
		return nil
	}
}

func integer(at *int, least int) func(string) error {
	return func(value string) (err error) {
		if *at, err = strconv.Atoi(value); err != nil || *at < least {
			return fmt.Errorf("%q is not a whole number of at least %d", value, least)
		}
		return nil
	}
}

func duration(at *time.Duration) func(string) error {
	return func(value string) (err error) {
		if *at, err = time.ParseDuration(value); err != nil || *at < 0 {
			return fmt.Errorf("%q is not a duration such as 250ms", value)
		}
		return nil
	}
}

// each sets every key of a section.
func (f *routeFile) each(section *ini.Section, setters map[string]func(string) error) {
	for _, key := range section.Keys() {
		set, known := setters[key.Name()]
		if !known {
			f.report(section.Name(), key.Name(), "is not a field of this section")
			continue
		}
		if err := set(key.Value()); err != nil {
			f.report(section.Name(), key.Name(), err.Error())
		}
	}
}

// check refuses routes that could never serve.
func (f *routeFile) check() {
	for i, route := range f.routes.All {
		name := fmt.Sprintf("%s %d", sectionRoute, i+1)
		switch {
		case route.Host == "" || !strings.HasPrefix(route.Prefix, "/"):
			f.report(name, "Prefix", "needs a Host, and a path that begins with a slash")
		case (len(route.Split) == 0) == (len(route.Gather) == 0):
			f.report(name, "Split", "needs either Split or Gather")
		case len(route.Gather) > 0 && route.Merge == MergeNone:
			f.report(name, "Merge", "must be set, since the route gathers")
		case len(route.Gather) > 0 && !route.Idempotent:
			f.report(name, "Idempotent", "must be On, since the route gathers")
		}
	}
}

func (f *routeFile) report(section, field, message string) {
	line := 1
	if at := f.lines[section+"\x00"+field]; len(at) > 0 {
		line = at[0]
	}
	f.parser.add(Problem{File: RoutesFile, Line: line, Section: section, Field: field, Message: message})
}
