package root

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/term"
	fakestore "github.com/magnoliarelay/magnoliarelay/internal/fake/store"
)

// run runs a command line and returns its exit code and output as text.
func run(t *testing.T, terminal bool, arguments ...string) string {
	t.Helper()
	var out, messages bytes.Buffer
	code := Main(t.Context(), arguments, &term.Streams{Out: &out, Err: &messages, Terminal: terminal})
	return fmt.Sprintf("exit %d\n-- out\n%s-- err\n%s", code, out.String(), messages.String())
}

func writeTree(t *testing.T, files map[string]string) string {
	t.Helper()
	directory := t.TempDir()
	for path, content := range files {
		full := filepath.Join(directory, path)
		if err := os.MkdirAll(filepath.Dir(full), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(full, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return directory
}

var (
	timestamps = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
	addresses  = regexp.MustCompile(`127\.0\.0\.1:\d+`)
)

// TestSettingsCommands runs the settings commands in the order in which an
// operator uses them and compares the transcript with a golden file.
func TestSettingsCommands(t *testing.T) {
	s := &fakestore.Store{}
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	store := s.URL()
	first := writeTree(t, map[string]string{"firm.ini": "[Goal]\nAim = Savings\n", "D/S/service.ini": "[Class]\nClass = Labels\n"})
	second := writeTree(t, map[string]string{"firm.ini": "[Goal]\nAim = Growth\n", "D/S/service.ini": "[Class]\nClass = Labels\n[Cost]\nQueueLength = 9\n"})
	broken := writeTree(t, map[string]string{"firm.ini": "[Goal]\nAim = Grow\n[Cost]\nExtraLod = 1\n"})
	routed := writeTree(t, map[string]string{"routes.ini": "[Route 1]\nName = Search\nHost = shop.example\nPrefix = /search/\nGather = D/A, D/B\nMerge = Greatest\nTop = 5\n" +
		"[Route 2]\nHost = shop.example\nPrefix = /\nSplit = D/A:3, D/B\nIdempotent = Off\n"})
	misrouted := writeTree(t, map[string]string{"routes.ini": "[Route 1]\nHost = shop.example\nPrefix = search\nGather = D/A\nTimeout = soon\n"})
	steps := []struct {
		name      string
		terminal  bool
		before    func()
		arguments []string
	}{
		{"validate", false, nil, []string{"settings", "validate", first}},
		{"validate broken", false, nil, []string{"settings", "validate", broken}},
		{"apply broken", false, nil, []string{"settings", "apply", broken, "--store", store, "--message", "m"}},
		{"apply first", false, nil, []string{"settings", "apply", first, "--store", store, "--message", "start", "--author", "ada"}},
		{"diff", false, nil, []string{"settings", "diff", second, "--store", store}},
		{"dry run", false, nil, []string{"settings", "apply", second, "--store", store, "--message", "m", "--dry-run"}},
		{
			"apply with a lost reply", false, func() { s.SetFaults(fakestore.Faults{LoseReplies: 1}) },
			[]string{"settings", "apply", second, "--store", store, "--message", "grow", "--author", "bob"},
		},
		{"apply from an old revision", false, nil, []string{"settings", "apply", first, "--store", store, "--message", "late", "--author", "eve", "--expect", "2"}},
		{"store down", false, func() { s.SetFaults(fakestore.Faults{Down: true}) }, []string{"settings", "show", "--store", store}},
		{
			"go back", false, func() { s.SetFaults(fakestore.Faults{}) },
			[]string{"settings", "apply", "--number", "1", "--store", store, "--message", "go back", "--author", "ada", "--json"},
		},
		{"show", false, nil, []string{"settings", "show", "--store", store}},
		{"history on a terminal", true, nil, []string{"settings", "history", "--store", store}},
		{"explain", false, nil, []string{"settings", "explain", "--store", store, "--deployment", "D", "--service", "S"}},
		{"explain a gather", true, nil, []string{"settings", "explain", routed, "--host", "shop.example", "--path", "/search/blue", "--long"}},
		{"explain a split", false, nil, []string{"settings", "explain", routed, "--host", "shop.example", "--path", "/order/1"}},
		{"explain no route", false, nil, []string{"settings", "explain", routed, "--host", "other.example"}},
		{"validate broken routes", false, nil, []string{"settings", "validate", misrouted}},
		{"unknown change", false, nil, []string{"settings", "show", "--store", store, "--number", "99"}},
		{"no such command", false, nil, []string{"settings", "aply"}},
		{"neither directory nor number", false, nil, []string{"settings", "apply", "--store", store, "--message", "m"}},
	}
	var transcript strings.Builder
	for _, step := range steps {
		if step.before != nil {
			step.before()
		}
		fmt.Fprintf(&transcript, "=== %s\n%s", step.name, run(t, step.terminal, step.arguments...))
	}
	text := timestamps.ReplaceAllString(transcript.String(), "TIME")
	text = addresses.ReplaceAllString(text, "STORE")
	for name, directory := range map[string]string{"FIRST": first, "SECOND": second, "BROKEN": broken, "ROUTED": routed, "MISROUTED": misrouted} {
		text = strings.ReplaceAll(text, directory, name)
	}
	goldie.New(t).Assert(t, "settings", []byte(text))
}

func TestHelpNamesEveryCommand(t *testing.T) {
	goldie.New(t).Assert(t, "help", []byte(run(t, false, "--help")))
}
