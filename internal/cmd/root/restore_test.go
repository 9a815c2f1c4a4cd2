package root

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/cmd/settings/source"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	fakestore "github.com/magnoliarelay/magnoliarelay/internal/fake/store"
	"github.com/magnoliarelay/magnoliarelay/internal/process/daemon"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/process/watch"
)

// Guards against an operator who is not told that the store has lost changes that are in
// force, and undoes them with the next apply.
func TestApplyAfterRestore(t *testing.T) {
	s := &fakestore.Store{}
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	changer := source.Changer([]string{s.URL()})
	var inForce daemon.Status
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(&inForce); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(relay.Close)
	register := func() {
		value, err := codec.Encode(&member.Member{Name: "relay-1", URL: relay.URL})
		if err != nil {
			t.Fatal(err)
		}
		lease, err := changer.Store.Grant(t.Context(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		if err := changer.Store.PutLeased(t.Context(), watch.MembersPrefix+"relay-1", value, lease); err != nil {
			t.Fatal(err)
		}
	}
	follow := func() {
		current, err := changer.Current(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		inForce = daemon.Status{Name: "relay-1", State: "Ready", SettingsRevision: current.Revision, SettingsNumber: current.Number, SettingsOrder: current.Order}
	}
	tree := func(queue int) string {
		return writeTree(t, map[string]string{"firm.ini": fmt.Sprintf("[Cost]\nQueueLength = %d\n", queue)})
	}
	apply := func(queue int, message string, more ...string) []string {
		return append([]string{"settings", "apply", tree(queue), "--store", s.URL(), "--message", message, "--author", "ada"}, more...)
	}
	var snapshot fakestore.Snapshot
	steps := []struct {
		name      string
		before    func()
		arguments []string
	}{
		{"in the snapshot", func() {}, apply(1, "kept")},
		{"lost later", func() { snapshot = s.Snapshot(); register() }, apply(2, "lost")},
		{"status", follow, []string{"status", "--daemon", relay.URL}},
		{"dry run after the restore", func() { s.Restore(snapshot); register() }, apply(3, "next", "--dry-run")},
		{"apply after the restore", func() {}, apply(3, "next")},
		{"without the record of the daemon", func() { s.Restore(snapshot) }, apply(3, "next", "--daemon", relay.URL)},
		{"restored", register, apply(3, "next", "--restored")},
		{"history", follow, []string{"settings", "history", "--store", s.URL()}},
		{"the next", func() {}, apply(4, "after it")},
		{"the daemon is away", relay.Close, apply(5, "without it")},
	}
	var transcript strings.Builder
	for _, step := range steps {
		step.before()
		fmt.Fprintf(&transcript, "=== %s\n%s", step.name, run(t, false, step.arguments...))
	}
	text := addresses.ReplaceAllString(timestamps.ReplaceAllString(transcript.String(), "TIME"), "ADDRESS")
	goldie.New(t).Assert(t, "restored", []byte(text))
}
