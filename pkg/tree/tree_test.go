package tree_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/magnoliarelay/magnoliarelay/examples"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

func exampleTree(t *testing.T) *tree.Tree {
	t.Helper()
	files, err := tree.Read(examples.Settings())
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := tree.Parse(files)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func TestExplainNamesTheOriginOfEachField(t *testing.T) {
	var out strings.Builder
	for _, row := range exampleTree(t).Explain("Erbacee", "Herbarium", "label-desk") {
		fmt.Fprintf(&out, "%s = %s (%s)\n", row.Field, row.Value, row.Source)
	}
	goldie.New(t).Assert(t, "explain", []byte(out.String()))
}

func TestParseNamesEveryProblem(t *testing.T) {
	tests := []struct {
		name  string
		files tree.Files
	}{
		{"misspelt", tree.Files{"firm.ini": "[Cost]\nExtraLod = 0.1\n"}},
		{"unit", tree.Files{"firm.ini": "[Time]\n\nMaxDeadline = 300\n"}},
		{"range", tree.Files{"D/S/service.ini": "[Cost]\nExtraLoad = 0.9\nMaxAttempts = 0\nLeastCoverage = NaN\n"}},
		{"section", tree.Files{"firm.ini": "[Time]\nExtraLoad = 0.1\n"}},
		{"level", tree.Files{"D/deployment.ini": "[System]\nStopGrace = 9s\n", "D/S/c.ini": "[Cost]\nQueueLength = 4\n"}},
		{"path", tree.Files{"stray.ini": "", "D/S/x/y.ini": "", "D/a b/service.ini": ""}},
		{"twice", tree.Files{"firm.ini": "[Goal]\nAim = Growth\nAim = Savings\n"}},
		{"syntax", tree.Files{"firm.ini": "[Goal]\nAim = Growth\nnonsense\n"}},
		{"combination", tree.Files{
			"firm.ini":        "[System]\nAddressKeep = 5m\nStopGrace = 1m\nHeartbeatInterval = 1s\n",
			"D/S/service.ini": "[Class]\nPriorityHours = 06:00-13:00\n",
			"D/S/c.ini":       "[Cost]\nMaxAttempts = 1\n",
			"D/T/service.ini": "[Cost]\nMaxAttempts = 1\nExtraLoad = 0.1\n",
		}},
		{"words", tree.Files{"firm.ini": "[Goal]\nAim = Greed\n[Class]\nTimeZone = Mars/Olympus\nClass = a b\n[Cost]\nCanary = yes\n"}},
	}
	var out strings.Builder
	for _, tt := range tests {
		_, err := tree.Parse(tt.files)
		if err == nil {
			t.Errorf("%s: no error", tt.name)
			continue
		}
		fmt.Fprintf(&out, "== %s\n%v\n", tt.name, err)
	}
	goldie.New(t).Assert(t, "problems", []byte(out.String()))
}

func TestAimDecidesDefaultsAndCanBeOverridden(t *testing.T) {
	for _, tt := range []struct {
		aim   string
		extra float64
		queue int
	}{{"Growth", 0.1, 7}, {"Balanced", 0.05, 7}, {"Savings", 0.01, 7}} {
		parsed, err := tree.Parse(tree.Files{
			"firm.ini":        "[Goal]\nAim = " + tt.aim + "\n",
			"D/S/service.ini": "[Cost]\nQueueLength = 7\n",
		})
		if err != nil {
			t.Fatal(err)
		}
		s := parsed.Resolve("D", "S", "anyone")
		if s.ExtraLoad != tt.extra || s.QueueLength != tt.queue {
			t.Errorf("%s: extra load %v, queue %d", tt.aim, s.ExtraLoad, s.QueueLength)
		}
	}
}

func TestPriorityFollowsHoursAndZone(t *testing.T) {
	s := exampleTree(t).Resolve("Erbacee", "LabelDesk", "stall-7")
	tests := []struct {
		utc  string
		want int
	}{
		{"2026-12-04T04:59:00Z", 3},
		{"2026-12-04T05:00:00Z", 0},
		{"2026-12-04T11:59:00Z", 0},
		{"2026-12-04T12:00:00Z", 3},
		// In summer the zone is two hours ahead.
		{"2026-07-04T04:00:00Z", 0},
	}
	for _, tt := range tests {
		at, err := time.Parse(time.RFC3339, tt.utc)
		if err != nil {
			t.Fatal(err)
		}
		if got := s.PriorityAt(at); got != tt.want {
			t.Errorf("%s: priority %d, want %d", tt.utc, got, tt.want)
		}
	}
	overnight := tree.Hours{From: 22 * 60, To: 2 * 60}
	if !overnight.Contains(time.Date(2026, 1, 1, 23, 0, 0, 0, time.UTC)) || overnight.Contains(time.Date(2026, 1, 1, 3, 0, 0, 0, time.UTC)) {
		t.Error("a window that spans midnight contains the wrong hours")
	}
}

// The page is generated from the field tables; run with -update to write it.
func TestSettingsPageIsUpToDate(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).
		Assert(t, "SETTINGS", []byte(settingsPage()))
}

func settingsPage() string {
	var out strings.Builder
	out.WriteString("# Settings\n\nGenerated from the field tables in `pkg/tree`; a test keeps this page up to date. A node inherits each field that\n" +
		"it does not set: caller from service, service from deployment, deployment from firm.\n\n" +
		"| Section | Field | Default: Growth / Balanced / Savings | Unit | Range | Lowest level | Meaning |\n|---|---|---|---|---|---|---|\n")
	for _, f := range tree.Fields() {
		value := f.Defaults[tree.AimBalanced]
		if f.Defaults[tree.AimGrowth] != value {
			value = strings.Join([]string{f.Defaults[tree.AimGrowth], value, f.Defaults[tree.AimSavings]}, " / ")
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s | %s | %s |\n", f.Section, f.Name, value, f.Unit, f.Range, f.Deepest, f.Doc)
	}
	out.WriteString("\n## Routes\n\n`routes.ini` at the root lists the routes of requests that pass through unchanged. Each route is a section\n" +
		"`[Route LABEL]`. `settings explain --host HOST --path PATH` shows the route that serves a request.\n\n" +
		"| Field | Unit | Range | Meaning |\n|---|---|---|---|\n")
	for _, f := range tree.RouteFields() {
		fmt.Fprintf(&out, "| %s | %s | %s | %s |\n", f.Field, f.Unit, f.Range, f.Doc)
	}
	return out.String()
}

func FuzzParse(f *testing.F) {
	f.Add("firm.ini", "[Goal]\nAim = Growth\n")
	f.Add("D/S/service.ini", "[Class]\nPriorityHours = 06:00-13:00\nTimeZone = Europe/Rome\nHoursPriority = 0\n")
	f.Add("D/S/c.ini", "[Cost\nLeastCoverage = 1e309")
	f.Add("../x.ini", "\x00=\xff")
	f.Fuzz(func(t *testing.T, path, content string) {
		parsed, err := tree.Parse(tree.Files{path: content})
		if err != nil {
			return
		}
		s := parsed.Resolve("D", "S", "c")
		if s.MaxDeadline <= 0 || s.TimeZone == nil || s.ExtraLoad < 0 || s.ExtraLoad > 0.5 {
			t.Errorf("%q is valid but gives %+v", content, s)
		}
	})
}

func TestReadRefusesATreeTooLarge(t *testing.T) {
	directory := t.TempDir()
	content := strings.Repeat("; filler\n", tree.MaxFilesBytes/8)
	if err := os.WriteFile(directory+"/firm.ini", []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := tree.Read(os.DirFS(directory)); err == nil {
		t.Error("no error")
	}
}

// Each request needs the default settings, so they are not parsed anew, and a caller that
// changes its copy does not change those of others.
func TestDefaultIsParsedOnce(t *testing.T) {
	if allocations := testing.AllocsPerRun(100, func() { tree.Default() }); allocations > 1 {
		t.Errorf("%v allocations", allocations)
	}
	changed := tree.Default()
	changed.MaxAttempts += 100
	if tree.Default().MaxAttempts == changed.MaxAttempts {
		t.Error("a change of the settings changes those of others")
	}
}
