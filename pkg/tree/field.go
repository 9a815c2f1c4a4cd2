package tree

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Level is the depth of a node in the tree.
type Level int

// The levels, from the root down.
const (
	LevelFirm Level = iota
	LevelDeployment
	LevelService
	LevelCaller
)

// String names the level as the documentation does.
func (l Level) String() string {
	return [...]string{"firm", "deployment", "service", "caller"}[l]
}

// Field documents one setting.
type Field struct {
	Section string
	Name    string
	Unit    string
	Range   string
	Doc     string
	// Deepest is the lowest level that may set the field.
	Deepest Level
	// Defaults holds the default for each aim.
	Defaults map[Aim]string

	set func(*Settings, string) error
}

// Fields lists every setting in the order of the documentation.
func Fields() []Field { return fields }

func same(value string) map[Aim]string {
	return map[Aim]string{AimGrowth: value, AimBalanced: value, AimSavings: value}
}

func byAim(growth, balanced, savings string) map[Aim]string {
	return map[Aim]string{AimGrowth: growth, AimBalanced: balanced, AimSavings: savings}
}

func share(high float64, at func(*Settings) *float64) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0 && value <= high) {
			return fmt.Errorf("%q is not a number from 0 to %v", text, high)
		}
		*at(s) = value
		return nil
	}
}

func count(low, high int, at func(*Settings) *int) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		value, err := strconv.Atoi(text)
		if err != nil || value < low || value > high {
			return fmt.Errorf("%q is not a whole number from %d to %d", text, low, high)
		}
		*at(s) = value
		return nil
	}
}

func span(low, high time.Duration, at func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		value, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration with a unit, such as 300ms", text)
		}
		if value < low || value > high {
			return fmt.Errorf("%q is outside %v to %v", text, low, high)
		}
		*at(s) = value
		return nil
	}
}

func word[T ~string](at func(*Settings) *T, allowed ...T) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		for _, a := range allowed {
			if T(text) == a {
				*at(s) = a
				return nil
			}
		}
		return fmt.Errorf("%q is not one of %v", text, allowed)
	}
}

func onOff(at func(*Settings) *bool) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		switch text {
		case "On":
			*at(s) = true
		case "Off":
			*at(s) = false
		default:
			return fmt.Errorf("%q is neither On nor Off", text)
		}
		return nil
	}
}

func setClass(s *Settings, text string) error {
	if !validName(text) {
		return fmt.Errorf("%q is not a name of letters, digits, '-' and '_'", text)
	}
	s.Class = text
	return nil
}

func setZone(s *Settings, text string) error {
	zone, err := time.LoadLocation(text)
	if err != nil || text == "Local" {
		return fmt.Errorf("%q is not a time zone such as Europe/Rome", text)
	}
	s.TimeZone = zone
	return nil
}

func setHours(s *Settings, text string) error {
	if text == "None" {
		s.PriorityHours = Hours{}
		return nil
	}
	from, to, found := strings.Cut(text, "-")
	start, startErr := time.Parse("15:04", from)
	end, endErr := time.Parse("15:04", to)
	if !found || startErr != nil || endErr != nil {
		return fmt.Errorf("%q is not a window such as 06:00-13:00, nor None", text)
	}
	s.PriorityHours = Hours{From: start.Hour()*60 + start.Minute(), To: end.Hour()*60 + end.Minute()}
	return nil
}

var fields = []Field{
	{
		Section: "Goal", Name: "Aim", Unit: "word", Range: "Growth, Balanced or Savings", Deepest: LevelCaller,
		Doc:      "The choice between growth and savings; it decides the defaults below.",
		Defaults: same("Balanced"),
		set:      word(func(s *Settings) *Aim { return &s.Aim }, AimGrowth, AimBalanced, AimSavings),
	},
	{
		Section: "Time", Name: "MaxDeadline", Unit: "duration", Range: "10ms to 60s", Deepest: LevelCaller,
		Doc:      "The longest deadline a caller may ask for; a longer one is cut to it.",
		Defaults: same("2s"),
		set:      span(10*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.MaxDeadline }),
	},
	{
		Section: "Cost", Name: "ExtraLoad", Unit: "share of primary attempts", Range: "0 to 0.5", Deepest: LevelService,
		Doc:      "Budget for hedges: second attempts at shards that are slow to answer.",
		Defaults: byAim("0.1", "0.05", "0.01"),
		set:      share(0.5, func(s *Settings) *float64 { return &s.ExtraLoad }),
	},
	{
		Section: "Cost", Name: "RetryBudget", Unit: "share of primary attempts", Range: "0 to 1", Deepest: LevelService,
		Doc:      "Budget for retries after an attempt has failed.",
		Defaults: byAim("0.2", "0.1", "0.05"),
		set:      share(1, func(s *Settings) *float64 { return &s.RetryBudget }),
	},
	{
		Section: "Cost", Name: "MaxAttempts", Unit: "attempts per shard", Range: "1 to 8", Deepest: LevelCaller,
		Doc:      "The most attempts, first one included, for one shard of one request.",
		Defaults: byAim("4", "3", "2"),
		set:      count(1, 8, func(s *Settings) *int { return &s.MaxAttempts }),
	},
	{
		Section: "Cost", Name: "LeastCoverage", Unit: "share of shards", Range: "0 to 1", Deepest: LevelCaller,
		Doc:      "An answer that rests on less is refused, with its true coverage. A caller may demand more, never less.",
		Defaults: byAim("0.99", "0.95", "0.9"),
		set:      share(1, func(s *Settings) *float64 { return &s.LeastCoverage }),
	},
	{
		Section: "Cost", Name: "QueueLength", Unit: "requests per class", Range: "0 to 100000", Deepest: LevelService,
		Doc:      "Requests that may wait for admission on one daemon.",
		Defaults: byAim("256", "128", "64"),
		set:      count(0, 100000, func(s *Settings) *int { return &s.QueueLength }),
	},
	{
		Section: "Cost", Name: "SpareConnections", Unit: "connections per target", Range: "0 to 16", Deepest: LevelService,
		Doc:      "Idle connections that a daemon keeps open to each target it uses, beyond the first.",
		Defaults: byAim("2", "1", "0"),
		set:      count(0, 16, func(s *Settings) *int { return &s.SpareConnections }),
	},
	{
		Section: "Cost", Name: "Canary", Unit: "switch", Range: "On or Off", Deepest: LevelService,
		Doc:      "Sends a query that has not succeeded lately to one target first, so that a query that crashes targets costs few.",
		Defaults: same("On"),
		set:      onOff(func(s *Settings) *bool { return &s.Canary }),
	},
	{
		Section: "Class", Name: "Class", Unit: "name", Range: "1 to 32 letters, digits, '-' or '_'", Deepest: LevelCaller,
		Doc:      "The class that queues, priorities and histograms are kept for.",
		Defaults: same("Default"),
		set:      setClass,
	},
	{
		Section: "Class", Name: "Priority", Unit: "rank, 0 first", Range: "0 to 9", Deepest: LevelCaller,
		Doc:      "The order in which waiting classes are admitted.",
		Defaults: same("5"),
		set:      count(0, 9, func(s *Settings) *int { return &s.Priority }),
	},
	{
		Section: "Class", Name: "PriorityHours", Unit: "daily window", Range: "HH:MM-HH:MM or None", Deepest: LevelCaller,
		Doc:      "The hours in which HoursPriority replaces Priority.",
		Defaults: same("None"),
		set:      setHours,
	},
	{
		Section: "Class", Name: "HoursPriority", Unit: "rank, 0 first", Range: "0 to 9", Deepest: LevelCaller,
		Doc:      "The priority within PriorityHours.",
		Defaults: same("5"),
		set:      count(0, 9, func(s *Settings) *int { return &s.HoursPriority }),
	},
	{
		Section: "Class", Name: "TimeZone", Unit: "zone name", Range: "any of the tz database", Deepest: LevelCaller,
		Doc:      "The zone of PriorityHours.",
		Defaults: same("UTC"),
		set:      setZone,
	},
	{
		Section: "Limits", Name: "Rate", Unit: "queries per second", Range: "0 to 1000000; 0 is no bound", Deepest: LevelCaller,
		Doc:      "A caller's rate over all daemons together; each daemon admits its share.",
		Defaults: same("0"),
		set:      share(1000000, func(s *Settings) *float64 { return &s.Rate }),
	},
	{
		Section: "Targets", Name: "Selection", Unit: "word", Range: "TwoChoice, LeastLoaded or Random", Deepest: LevelService,
		Doc:      "The rule that picks one replica of a shard.",
		Defaults: same("TwoChoice"),
		set:      word(func(s *Settings) *Selection { return &s.Selection }, SelectionTwoChoice, SelectionLeastLoaded, SelectionRandom),
	},
	{
		Section: "Targets", Name: "EjectCeiling", Unit: "share of a shard's replicas", Range: "0 to 1", Deepest: LevelService,
		Doc:      "The largest share of replicas kept out of selection for errors; the last is never kept out.",
		Defaults: same("0.5"),
		set:      share(1, func(s *Settings) *float64 { return &s.EjectCeiling }),
	},
	{
		Section: "Targets", Name: "LimitConcurrency", Unit: "switch", Range: "On or Off", Deepest: LevelService,
		Doc:      "Keeps sub-requests within this daemon's share of each target's slots and connections, and admits queries accordingly.",
		Defaults: same("On"),
		set:      onOff(func(s *Settings) *bool { return &s.LimitConcurrency }),
	},
	{
		Section: "Targets", Name: "StatusInterval", Unit: "duration", Range: "100ms to 60s", Deepest: LevelFirm,
		Doc:      "The time between status polls of a target.",
		Defaults: same("1s"),
		set:      span(100*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.StatusInterval }),
	},
	{
		Section: "System", Name: "AddressKeep", Unit: "duration", Range: "1s to 10m", Deepest: LevelFirm,
		Doc:      "How long callers may keep an address list; a leaving daemon serves at least this long.",
		Defaults: same("5s"),
		set:      span(time.Second, 10*time.Minute, func(s *Settings) *time.Duration { return &s.AddressKeep }),
	},
	{
		Section: "System", Name: "StopGrace", Unit: "duration", Range: "1s to 30m", Deepest: LevelFirm,
		Doc:      "The longest a daemon takes to stop.",
		Defaults: same("60s"),
		set:      span(time.Second, 30*time.Minute, func(s *Settings) *time.Duration { return &s.StopGrace }),
	},
	{
		Section: "System", Name: "HeartbeatInterval", Unit: "duration", Range: "50ms to 10s", Deepest: LevelFirm,
		Doc:      "The time between heartbeats among daemons.",
		Defaults: same("600ms"),
		set:      span(50*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.HeartbeatInterval }),
	},
	{
		Section: "System", Name: "SilentAfter", Unit: "duration", Range: "200ms to 60s, at least 3 heartbeats", Deepest: LevelFirm,
		Doc:      "The silence after which a daemon leaves the address list.",
		Defaults: same("2s"),
		set:      span(200*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.SilentAfter }),
	},
	{
		Section: "System", Name: "WatchersPerDataCentre", Unit: "daemons", Range: "1 to 16", Deepest: LevelFirm,
		Doc:      "How many daemons of each data centre watch the store; the others hear changes from them.",
		Defaults: same("2"),
		set:      count(1, 16, func(s *Settings) *int { return &s.WatchersPerDataCentre }),
	},
}

var fieldIndex = indexFields()

func indexFields() map[string]int {
	index := make(map[string]int, len(fields))
	for i := range fields {
		index[fields[i].Name] = i
	}
	return index
}
