package tree

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Level is the level of a node in the tree.
type Level int

// The levels, from the root to the leaves.
const (
	LevelFirm Level = iota
	LevelDeployment
	LevelService
	LevelCaller
)

// String returns the name of the level in the documentation.
func (l Level) String() string {
	return [...]string{"firm", "deployment", "service", "caller"}[l]
}

// Field describes one field of the settings.
type Field struct {
	Section string
	Name    string
	Unit    string
	Range   string
	Doc     string
	// Deepest is the lowest level that may set the field.
	Deepest Level
	// Defaults holds the default value for each aim.
	Defaults map[Aim]string

	set func(*Settings, string) error
}

// Fields returns every field in the order of the documentation.
func Fields() []Field { return fields }

func sameForAllAims(value string) map[Aim]string {
	return map[Aim]string{AimGrowth: value, AimBalanced: value, AimSavings: value}
}

func byAim(growth, balanced, savings string) map[Aim]string {
	return map[Aim]string{AimGrowth: growth, AimBalanced: balanced, AimSavings: savings}
}

func numberUpTo(limit float64, field func(*Settings) *float64) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0 && value <= limit) {
			return fmt.Errorf("%q is not a number from 0 to %v", text, limit)
		}
		*field(s) = value
		return nil
	}
}

func integerInRange(low, high int, field func(*Settings) *int) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		value, err := strconv.Atoi(text)
		if err != nil || value < low || value > high {
			return fmt.Errorf("%q is not a whole number from %d to %d", text, low, high)
		}
		*field(s) = value
		return nil
	}
}

func durationInRange(low, high time.Duration, field func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		value, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration with a unit, such as 300ms", text)
		}
		if value < low || value > high {
			return fmt.Errorf("%q is outside %v to %v", text, low, high)
		}
		*field(s) = value
		return nil
	}
}

func oneOf[T ~string](field func(*Settings) *T, allowed ...T) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		for _, a := range allowed {
			if T(text) == a {
				*field(s) = a
				return nil
			}
		}
		return fmt.Errorf("%q is not one of %v", text, allowed)
	}
}

func onOff(field func(*Settings) *bool) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		switch text {
		case "On":
			*field(s) = true
		case "Off":
			*field(s) = false
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

func setTimeZone(s *Settings, text string) error {
	location, err := time.LoadLocation(text)
	if err != nil || text == "Local" {
		return fmt.Errorf("%q is not a time zone such as Europe/Rome", text)
	}
	s.TimeZone = location
	return nil
}

func setPriorityHours(s *Settings, text string) error {
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
		Doc:      "The trade-off between growth and savings; it selects the defaults of the fields below.",
		Defaults: sameForAllAims("Balanced"),
		set:      oneOf(func(s *Settings) *Aim { return &s.Aim }, AimGrowth, AimBalanced, AimSavings),
	},
	{
		Section: "Time", Name: "MaxDeadline", Unit: "duration", Range: "10ms to 60s", Deepest: LevelCaller,
		Doc:      "The maximum deadline of a request; a longer deadline is shortened to it.",
		Defaults: sameForAllAims("2s"),
		set:      durationInRange(10*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.MaxDeadline }),
	},
	{
		Section: "Cost", Name: "ExtraLoad", Unit: "share of primary attempts", Range: "0 to 0.5", Deepest: LevelService,
		Doc:      "Hedge budget: hedges are second attempts for shards that are slow to answer.",
		Defaults: byAim("0.1", "0.05", "0.01"),
		set:      numberUpTo(0.5, func(s *Settings) *float64 { return &s.ExtraLoad }),
	},
	{
		Section: "Cost", Name: "RetryBudget", Unit: "share of primary attempts", Range: "0 to 1", Deepest: LevelService,
		Doc:      "Retry budget: retries are attempts that follow a failed attempt.",
		Defaults: byAim("0.2", "0.1", "0.05"),
		set:      numberUpTo(1, func(s *Settings) *float64 { return &s.RetryBudget }),
	},
	{
		Section: "Cost", Name: "MaxAttempts", Unit: "attempts per shard", Range: "1 to 8", Deepest: LevelCaller,
		Doc:      "The maximum number of attempts, including the first, for one shard of one request.",
		Defaults: byAim("4", "3", "2"),
		set:      integerInRange(1, 8, func(s *Settings) *int { return &s.MaxAttempts }),
	},
	{
		Section: "Cost", Name: "LeastCoverage", Unit: "share of shards", Range: "0 to 1", Deepest: LevelCaller,
		Doc:      "The minimum coverage of an answer. A request with less coverage is refused, and the refusal states the coverage. A caller may demand more, never less.",
		Defaults: byAim("0.99", "0.95", "0.9"),
		set:      numberUpTo(1, func(s *Settings) *float64 { return &s.LeastCoverage }),
	},
	{
		Section: "Cost", Name: "QueueLength", Unit: "requests per class", Range: "0 to 100000", Deepest: LevelService,
		Doc:      "The maximum number of requests that wait for admission on one daemon.",
		Defaults: byAim("256", "128", "64"),
		set:      integerInRange(0, 100000, func(s *Settings) *int { return &s.QueueLength }),
	},
	{
		Section: "Cost", Name: "SpareConnections", Unit: "connections per target", Range: "0 to 16", Deepest: LevelService,
		Doc:      "The number of idle connections that a daemon keeps open to each target it uses, in addition to the first.",
		Defaults: byAim("2", "1", "0"),
		set:      integerInRange(0, 16, func(s *Settings) *int { return &s.SpareConnections }),
	},
	{
		Section: "Cost", Name: "Canary", Unit: "switch", Range: "On or Off", Deepest: LevelService,
		Doc:      "Sends a query that has not succeeded recently to one target first, so that a query that crashes targets affects few of them.",
		Defaults: sameForAllAims("On"),
		set:      onOff(func(s *Settings) *bool { return &s.Canary }),
	},
	{
		Section: "Class", Name: "Class", Unit: "name", Range: "1 to 32 letters, digits, '-' or '_'", Deepest: LevelCaller,
		Doc:      "The class of a request. Each class has its own queue, priority and histograms.",
		Defaults: sameForAllAims("Default"),
		set:      setClass,
	},
	{
		Section: "Class", Name: "Priority", Unit: "rank, 0 first", Range: "0 to 9", Deepest: LevelCaller,
		Doc:      "The order in which waiting classes are admitted.",
		Defaults: sameForAllAims("5"),
		set:      integerInRange(0, 9, func(s *Settings) *int { return &s.Priority }),
	},
	{
		Section: "Class", Name: "PriorityHours", Unit: "daily window", Range: "HH:MM-HH:MM or None", Deepest: LevelCaller,
		Doc:      "The hours in which HoursPriority replaces Priority.",
		Defaults: sameForAllAims("None"),
		set:      setPriorityHours,
	},
	{
		Section: "Class", Name: "HoursPriority", Unit: "rank, 0 first", Range: "0 to 9", Deepest: LevelCaller,
		Doc:      "The priority within PriorityHours.",
		Defaults: sameForAllAims("5"),
		set:      integerInRange(0, 9, func(s *Settings) *int { return &s.HoursPriority }),
	},
	{
		Section: "Class", Name: "TimeZone", Unit: "zone name", Range: "any of the tz database", Deepest: LevelCaller,
		Doc:      "The time zone of PriorityHours.",
		Defaults: sameForAllAims("UTC"),
		set:      setTimeZone,
	},
	{
		Section: "Limits", Name: "Rate", Unit: "queries per second", Range: "0 to 1000000; 0 is no bound", Deepest: LevelCaller,
		Doc:      "The maximum rate of one caller over all daemons; each daemon admits its share of the rate.",
		Defaults: sameForAllAims("0"),
		set:      numberUpTo(1000000, func(s *Settings) *float64 { return &s.Rate }),
	},
	{
		Section: "Targets", Name: "Selection", Unit: "word", Range: "TwoChoice, LeastLoaded or Random", Deepest: LevelService,
		Doc:      "The rule that selects one replica of a shard.",
		Defaults: sameForAllAims("TwoChoice"),
		set:      oneOf(func(s *Settings) *Selection { return &s.Selection }, SelectionTwoChoice, SelectionLeastLoaded, SelectionRandom),
	},
	{
		Section: "Targets", Name: "EjectCeiling", Unit: "share of a shard's replicas", Range: "0 to 1", Deepest: LevelService,
		Doc:      "The maximum share of a shard's replicas that are ejected for errors at the same time; the last replica is never ejected.",
		Defaults: sameForAllAims("0.5"),
		set:      numberUpTo(1, func(s *Settings) *float64 { return &s.EjectCeiling }),
	},
	{
		Section: "Targets", Name: "LimitConcurrency", Unit: "switch", Range: "On or Off", Deepest: LevelService,
		Doc:      "Keeps sub-requests within this daemon's share of each target's slots and connections, and admits queries accordingly.",
		Defaults: sameForAllAims("On"),
		set:      onOff(func(s *Settings) *bool { return &s.LimitConcurrency }),
	},
	{
		Section: "Targets", Name: "StatusInterval", Unit: "duration", Range: "100ms to 60s", Deepest: LevelFirm,
		Doc:      "The interval between status polls of a target.",
		Defaults: sameForAllAims("1s"),
		set:      durationInRange(100*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.StatusInterval }),
	},
	{
		Section: "System", Name: "AddressKeep", Unit: "duration", Range: "1s to 10m", Deepest: LevelFirm,
		Doc:      "How long callers may use an address list; a stopping daemon serves for at least this long.",
		Defaults: sameForAllAims("5s"),
		set:      durationInRange(time.Second, 10*time.Minute, func(s *Settings) *time.Duration { return &s.AddressKeep }),
	},
	{
		Section: "System", Name: "StopGrace", Unit: "duration", Range: "1s to 30m", Deepest: LevelFirm,
		Doc:      "The maximum time that a daemon takes to stop.",
		Defaults: sameForAllAims("60s"),
		set:      durationInRange(time.Second, 30*time.Minute, func(s *Settings) *time.Duration { return &s.StopGrace }),
	},
	{
		Section: "System", Name: "HeartbeatInterval", Unit: "duration", Range: "50ms to 10s", Deepest: LevelFirm,
		Doc:      "The interval between heartbeats of a daemon.",
		Defaults: sameForAllAims("600ms"),
		set:      durationInRange(50*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.HeartbeatInterval }),
	},
	{
		Section: "System", Name: "SilentAfter", Unit: "duration", Range: "200ms to 60s, at least 3 heartbeats", Deepest: LevelFirm,
		Doc:      "A daemon without heartbeats for this long is removed from the address list.",
		Defaults: sameForAllAims("2s"),
		set:      durationInRange(200*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.SilentAfter }),
	},
	{
		Section: "System", Name: "WatchersPerDataCentre", Unit: "daemons", Range: "1 to 16", Deepest: LevelFirm,
		Doc:      "The number of daemons in each data centre that watch the store; they pass changes on to the others.",
		Defaults: sameForAllAims("2"),
		set:      integerInRange(1, 16, func(s *Settings) *int { return &s.WatchersPerDataCentre }),
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
