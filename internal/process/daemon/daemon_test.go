package daemon_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	fakestore "github.com/magnoliarelay/magnoliarelay/internal/fake/store"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/world"
	"github.com/magnoliarelay/magnoliarelay/internal/process/daemon"
	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/process/setup"
	"github.com/magnoliarelay/magnoliarelay/pkg/caller"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const eventuallyTimeout = 15 * time.Second

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, eventuallyTimeout)
}

func quickSettings() tree.Files {
	return tree.Files{"firm.ini": "[System]\nHeartbeatInterval = 100ms\nSilentAfter = 600ms\nAddressKeep = 1s\n[Targets]\nStatusInterval = 200ms\n"}
}

func start(t *testing.T, w *world.World) *world.World {
	t.Helper()
	if w.Services == nil {
		w.Services = []world.Service{{
			Deployment: "D", Name: "S", Shards: 6, Replicas: 3, Slots: 4, Connections: 40, Documents: 300,
			Behaviour: shard.Behaviour{Median: time.Millisecond},
		}}
	}
	if w.Settings == nil {
		w.Settings = quickSettings()
	}
	w.Seed = 1
	t.Cleanup(w.Stop)
	if err := w.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return w
}

func ask(t *testing.T, w *world.World, text string) (*wire.SearchAnswer, error) {
	t.Helper()
	c := w.Caller("D", "c")
	defer c.Close()
	return c.Search(t.Context(), caller.Query{Service: "S", Text: text, Deadline: 2 * time.Second})
}

func refusalOf(t *testing.T, err error) *wire.Refusal {
	t.Helper()
	var e *caller.Error
	if !errors.As(err, &e) || e.Refusal == nil {
		t.Fatalf("error %v is no refusal", err)
	}
	return e.Refusal
}

func revisions(w *world.World) map[int64]bool {
	found := map[int64]bool{}
	for _, d := range w.Running {
		found[d.Keeper.Current().Change.Revision] = true
	}
	return found
}

func TestChangeIsInForceEverywhereThroughFewWatchers(t *testing.T) {
	w := start(t, &world.World{Daemons: 9})
	watching := 0
	for _, d := range w.Running {
		if d.Snapshot().Watching {
			watching++
		}
	}
	if watching != 6 {
		t.Errorf("%d of 9 daemons in 3 data centres watch the store, want 6", watching)
	}
	files := quickSettings()
	files["D/deployment.ini"] = "[Cost]\nQueueLength = 77\n"
	result, err := w.Apply(t.Context(), files)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the change in force on all 9", func() bool {
		found := revisions(w)
		return len(found) == 1 && found[result.Change.Revision]
	})
	for _, d := range w.Running {
		if got := d.Keeper.Current().Tree.Resolve("D", "S", "").QueueLength; got != 77 {
			t.Errorf("%s has queue length %d", d.Setup.Name, got)
		}
	}
}

func TestSearchesAndNewDaemonsSurviveAStoreOutage(t *testing.T) {
	w := start(t, &world.World{Daemons: 3})
	w.Store.SetFaults(fakestore.Faults{Down: true})
	if _, err := ask(t, w, "oregano"); err != nil {
		t.Fatalf("search while the store is down: %v", err)
	}
	d, err := w.AddDaemon(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "a daemon that starts during the outage is ready", func() bool {
		ready, _ := d.Ready()
		return ready && d.Keeper.Current().Change.Revision == w.Running[0].Keeper.Current().Change.Revision
	})
	w.Store.SetFaults(fakestore.Faults{})
	result, err := w.Apply(t.Context(), quickSettings())
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "a change after the outage", func() bool {
		found := revisions(w)
		return len(found) == 1 && found[result.Change.Revision]
	})
}

// Guards against the loss of accepted settings when the store stays down and all
// daemons but one are restarted, twice.
func TestSettingsOutliveRestartsOfAllButOne(t *testing.T) {
	w := start(t, &world.World{Daemons: 3})
	files := quickSettings()
	files["D/S/service.ini"] = "[Cost]\nQueueLength = 31\n"
	result, err := w.Apply(t.Context(), files)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the change in force", func() bool { return len(revisions(w)) == 1 && revisions(w)[result.Change.Revision] })
	w.Store.SetFaults(fakestore.Faults{Down: true})
	for range 2 {
		for _, old := range w.Alive()[1:] {
			name, listen, links := old.Setup.Name, strings.TrimPrefix(old.URL(), "http://"), old.Link()
			old.Kill()
			d, err := w.StartDaemon(t.Context(), name, listen, links, 1)
			if err != nil {
				t.Fatal(err)
			}
			eventually(t, "a restarted daemon is ready", func() bool { ready, _ := d.Ready(); return ready })
			if got := d.Keeper.Current().Tree.Resolve("D", "S", "").QueueLength; got != 31 {
				t.Fatalf("%s came back with queue length %d", name, got)
			}
		}
	}
}

// A request that is in flight when the settings change keeps the revision under which
// it began.
func TestRunningRequestKeepsItsRevision(t *testing.T) {
	w := start(t, &world.World{Daemons: 1, Services: []world.Service{{
		Deployment: "D", Name: "S", Shards: 2, Replicas: 2, Slots: 4, Connections: 40, Documents: 30,
		Behaviour: shard.Behaviour{Median: 500 * time.Millisecond},
	}}})
	before := w.Running[0].Keeper.Current().Change.Revision
	got := make(chan *wire.SearchAnswer, 1)
	go func() {
		answer, _ := w.Caller("D", "c").Search(context.Background(), caller.Query{Service: "S", Text: "mint", Deadline: 2 * time.Second})
		got <- answer
	}()
	eventually(t, "the request runs", func() bool { return w.Running[0].InFlight() > 0 })
	files := quickSettings()
	files["D/S/service.ini"] = "[Cost]\nQueueLength = 0\n"
	result, err := w.Apply(t.Context(), files)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the change in force", func() bool { return w.Running[0].Keeper.Current().Change.Revision == result.Change.Revision })
	if answer := <-got; answer == nil || answer.SettingsRevision != before {
		t.Errorf("answer %+v, want one under revision %d", answer, before)
	}
}

func TestDaemonWithoutStoreAndPeersIsNotReady(t *testing.T) {
	w := start(t, &world.World{Daemons: 1})
	w.Store.SetFaults(fakestore.Faults{Down: true})
	w.Running[0].Kill()
	w.RemoveHost(w.Running[0].Link())
	d, err := w.AddDaemon(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	ready, reason := d.Ready()
	if ready || !strings.Contains(reason, "no settings") {
		t.Errorf("ready %v, reason %q", ready, reason)
	}
}

func TestDaemonWithUntrustedKeyCannotJoin(t *testing.T) {
	w := start(t, &world.World{Daemons: 2})
	other, err := keys.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	k, err := other.Temporary("intruder")
	if err != nil {
		t.Fatal(err)
	}
	intruder := &daemon.Daemon{Keys: k, Setup: &setup.Setup{
		Name: "intruder", Listen: "127.0.0.1:0", Link: "127.0.0.1:0", DataCentre: "dc-1", Region: "r-1",
		HostList: "http://" + w.Hosts.Address() + "/hosts", Peers: []string{w.Running[0].Link(), w.Running[1].Link()},
	}}
	if err := intruder.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(intruder.Kill)
	time.Sleep(1500 * time.Millisecond)
	if live := w.Running[0].Table.Live(); live != 2 {
		t.Errorf("%d members after an intruder came", live)
	}
	if got := intruder.Keeper.Current().Change.Revision; got != 0 {
		t.Errorf("the intruder got revision %d", got)
	}
}

// A joining daemon gets the quarantined queries of other daemons, including those that
// heartbeats no longer carry.
func TestJoiningDaemonGetsQuarantine(t *testing.T) {
	w := start(t, &world.World{Daemons: 1})
	const minute = 60_000
	entry := poison.Entry{
		Query: poison.Query{Fingerprint: 7, Version: 1}, AgeMillis: minute,
		Losses: []poison.Loss{{Target: "a", Domain: "r1"}, {Target: "b", Domain: "r2"}},
	}
	w.Running[0].Poison.Merge(time.Now(), []poison.Entry{entry})
	d, err := w.AddDaemon(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the newcomer quarantines the query", func() bool {
		_, quarantined := d.Poison.Quarantined(time.Now(), 7)
		return quarantined
	})
}

func TestSilentDaemonLeavesTheAddressList(t *testing.T) {
	w := start(t, &world.World{Daemons: 4})
	gone := w.Running[3]
	gone.Kill()
	began := time.Now()
	eventually(t, "the list without the killed daemon", func() bool {
		for _, a := range w.Running[0].Addresses("", "").Addresses {
			if a.URL == gone.URL() {
				return false
			}
		}
		return true
	})
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("took %v", took)
	}
	for range 20 {
		if _, err := ask(t, w, "fennel"); err != nil {
			t.Fatalf("a caller that still has the address of the killed daemon: %v", err)
		}
	}
}

func TestGracefulStopCutsNothing(t *testing.T) {
	w := start(t, &world.World{Daemons: 3, Services: []world.Service{{
		Deployment: "D", Name: "S", Shards: 6, Replicas: 3, Slots: 6, Connections: 90, Documents: 300,
		Behaviour: shard.Behaviour{Median: 30 * time.Millisecond},
	}}})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c := w.Caller("D", "c")
		for n := 0; ctx.Err() == nil; n++ {
			if _, err := c.Search(context.WithoutCancel(ctx), caller.Query{Service: "S", Text: fmt.Sprint("sage ", n), Deadline: 2 * time.Second}); err != nil {
				failed <- err
			}
		}
	}()
	if err := w.Running[0].Stop(t.Context()); err != nil {
		t.Errorf("stop: %v", err)
	}
	cancel()
	<-done
	close(failed)
	for err := range failed {
		t.Errorf("a request failed during a graceful stop: %v", err)
	}
}

// Guards against a search that ends without an answer when the daemon has no time left for
// it: the caller gets what the shards have answered, with its coverage.
func TestStopDeliversWhatShardsHaveAnswered(t *testing.T) {
	files := quickSettings()
	files["firm.ini"] += "[System]\nStopGrace = 3s\n"
	files["D/S/service.ini"] = "[Cost]\nLeastCoverage = 0.5\n[Time]\nMaxDeadline = 30s\n"
	w := start(t, &world.World{Daemons: 1, Settings: files})
	for replica := range 3 {
		w.Replica("D", "S", replica)[4].UpdateBehaviour(func(b *shard.Behaviour) { b.Median = time.Minute })
	}
	type result struct {
		answer *wire.SearchAnswer
		err    error
	}
	done := make(chan result, 1)
	go func() {
		answer, err := w.Caller("D", "c").Search(t.Context(), caller.Query{Service: "S", Text: "sage", Deadline: 30 * time.Second})
		done <- result{answer, err}
	}()
	eventually(t, "the search is in flight", func() bool { return w.Running[0].InFlight() > 0 })
	if err := w.Running[0].Stop(t.Context()); err == nil {
		t.Error("the stop did not report the search that it interrupted")
	}
	if r := <-done; r.err != nil || r.answer.Complete || r.answer.Coverage.ShardsAnswered != 5 {
		t.Errorf("answer %+v, %v", r.answer, r.err)
	}
}

// slowCommands is a service whose single target takes the given time for a command.
func slowCommands(daemons int, grace string, work time.Duration) *world.World {
	files := quickSettings()
	files["firm.ini"] += "[System]\nStopGrace = " + grace + "\n"
	files["D/S/service.ini"] = "[Time]\nMaxDeadline = 30s\n"
	return &world.World{Daemons: daemons, Settings: files, Services: []world.Service{{
		Deployment: "D", Name: "S", Shards: 1, Replicas: 1, Slots: 4, Connections: 40, Documents: 30,
		Behaviour: shard.Behaviour{Median: work},
	}}}
}

// Guards against "not run" said of a command that runs: a stopping home refuses new
// commands, but a resend of an earlier one learns its outcome.
func TestStoppingHomeAnswersResendsTruly(t *testing.T) {
	const work = 2900 * time.Millisecond
	w := start(t, slowCommands(1, "4s", work))
	d := w.Running[0]
	home := d.Addresses("", "").Addresses[0].Home
	// Both connections are open before the stop, since it closes the listener.
	send := func(connection net.Conn, key string) string {
		body := fmt.Sprintf(`{"Deployment":"D","Service":"S","Caller":"c","RequestID":"r","IdempotencyKey":%q,"Home":%q,"Command":"pick","Deadline":"10s"}`, key, home)
		fmt.Fprintf(connection, "POST /v1/execute HTTP/1.1\r\nHost: d\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			return err.Error()
		}
		defer response.Body.Close()
		content, _ := io.ReadAll(response.Body)
		return fmt.Sprint(response.StatusCode, " ", string(content))
	}
	var connections []net.Conn
	for range 3 {
		connection, err := net.Dial("tcp", strings.TrimPrefix(d.URL(), "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		connections = append(connections, connection)
	}
	first, resent := make(chan string, 1), make(chan string, 1)
	go func() { first <- send(connections[0], "k1") }()
	eventually(t, "the command is in flight", func() bool { return d.InFlight() > 0 })
	stopped := make(chan error, 1)
	go func() { stopped <- d.Stop(context.WithoutCancel(t.Context())) }()
	// By now the stop refuses searches and new commands.
	time.Sleep(2600 * time.Millisecond)
	go func() { resent <- send(connections[1], "k1") }()
	if answer := send(connections[2], "k2"); !strings.Contains(answer, `"NotRun"`) {
		t.Errorf("a new command: %s", answer)
	}
	if answer := <-first; !strings.HasPrefix(answer, "200 ") {
		t.Errorf("the command in flight: %s", answer)
	}
	if answer := <-resent; !strings.HasPrefix(answer, "200 ") {
		t.Errorf("the command sent again: %s", answer)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if runs := runsOf(w, "c/k2"); runs != 0 {
		t.Errorf("the refused command ran %d times", runs)
	}
}

// Guards against a forwarded command that gets no reply when its home stops, so that its
// caller waits for the whole deadline.
func TestForwardedCommandIsAnsweredWhenItsHomeStops(t *testing.T) {
	w := start(t, slowCommands(2, "3s", time.Minute))
	home, other := w.Running[0], w.Running[1]
	var token string
	for _, a := range other.Addresses("", "").Addresses {
		if a.URL == home.URL() {
			token = a.Home
		}
	}
	answered := make(chan time.Time, 1)
	go func() {
		_, refusal := other.Execute(context.WithoutCancel(t.Context()), time.Now(), &wire.ExecuteRequest{
			Deployment: "D", Service: "S", Caller: "c", RequestID: "r", Deadline: "12s", IdempotencyKey: "k", Home: token, Command: "pick",
		})
		if refusal == nil || refusal.Ran != wire.RanUnknown {
			t.Errorf("refusal %v", refusal)
		}
		answered <- time.Now()
	}()
	time.Sleep(300 * time.Millisecond)
	if err := home.Stop(t.Context()); err == nil {
		t.Error("the stop did not report the command that it interrupted")
	}
	gone := time.Now()
	if late := (<-answered).Sub(gone); late > time.Second {
		t.Errorf("answered %v after the home had gone", late)
	}
}

// Guards against a search that fails for good because its daemon stops, although another
// one can serve it.
func TestInterruptedSearchIsSentToAnotherDaemon(t *testing.T) {
	files := quickSettings()
	files["firm.ini"] += "[System]\nStopGrace = 3s\n"
	files["D/S/service.ini"] = "[Cost]\nLeastCoverage = 1\n[Time]\nMaxDeadline = 30s\n"
	w := start(t, &world.World{Daemons: 2, Settings: files})
	setMedian := func(d time.Duration) {
		for replica := range 3 {
			w.Replica("D", "S", replica)[4].UpdateBehaviour(func(b *shard.Behaviour) { b.Median = d })
		}
	}
	setMedian(time.Minute)
	done := make(chan error, 1)
	go func() {
		_, err := w.Caller("D", "c").Search(context.WithoutCancel(t.Context()), caller.Query{Service: "S", Text: "sage", Deadline: 15 * time.Second})
		done <- err
	}()
	serving := 0
	eventually(t, "the search is in flight", func() bool {
		serving = slices.IndexFunc(w.Running, func(d *daemon.Daemon) bool { return d.InFlight() > 0 })
		return serving >= 0
	})
	time.AfterFunc(1500*time.Millisecond, func() { setMedian(time.Millisecond) })
	if err := w.Running[serving].Stop(t.Context()); err == nil {
		t.Error("the stop did not report the search that it interrupted")
	}
	if err := <-done; err != nil {
		t.Errorf("the search failed with ten seconds left: %v", err)
	}
}

func TestNonIdempotentRequestRunsOnceThroughAnyDaemon(t *testing.T) {
	w := start(t, &world.World{Daemons: 3})
	home := w.Running[0].Addresses("", "").Addresses[0].Home
	request := &wire.ExecuteRequest{
		Deployment: "D", Service: "S", Caller: "c", RequestID: "r", Deadline: "2s", IdempotencyKey: "k", Home: home, Command: "print",
	}
	var results []string
	for range 2 {
		for _, d := range w.Running {
			answer, refusal := d.Execute(t.Context(), time.Now(), request)
			if refusal != nil {
				t.Fatalf("%s refused: %v", d.Setup.Name, refusal)
			}
			results = append(results, answer.Result)
		}
	}
	for _, result := range results {
		if result != results[0] {
			t.Errorf("results differ: %v", results)
		}
	}
	if runs := runsOf(w, "c/k"); runs != 1 {
		t.Errorf("ran %d times", runs)
	}
}

// A home that is leaving answers requests that another daemon forwards to it.
func TestStoppingHomeAnswersForwardedRequest(t *testing.T) {
	w := start(t, &world.World{Daemons: 2, Services: []world.Service{{
		Deployment: "D", Name: "S", Shards: 2, Replicas: 2, Slots: 4, Connections: 40, Documents: 30,
		Behaviour: shard.Behaviour{Median: 1200 * time.Millisecond},
	}}})
	home, other := w.Running[0], w.Running[1]
	var token string
	for _, a := range other.Addresses("", "").Addresses {
		if a.URL == home.URL() {
			token = a.Home
		}
	}
	stopped := make(chan error, 1)
	go func() { stopped <- home.Stop(t.Context()) }()
	time.Sleep(1400 * time.Millisecond)
	answer, refusal := other.Execute(t.Context(), time.Now(), &wire.ExecuteRequest{
		Deployment: "D", Service: "S", Caller: "c", RequestID: "r", Deadline: "2s", IdempotencyKey: "k", Home: token, Command: "print",
	})
	if answer == nil {
		t.Errorf("the forwarded request was refused: %v", refusal)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}

func runsOf(w *world.World, key string) int {
	runs := 0
	for _, searchers := range w.Searchers {
		for _, s := range searchers {
			runs += s.Runs()[key]
		}
	}
	return runs
}

func TestDeadHomeNeverReportsNotRun(t *testing.T) {
	w := start(t, &world.World{Daemons: 2})
	first, second := w.Running[0], w.Running[1]
	var home string
	for _, a := range second.Addresses("", "").Addresses {
		if a.URL == first.URL() {
			home = a.Home
		}
	}
	request := &wire.ExecuteRequest{
		Deployment: "D", Service: "S", Caller: "c", RequestID: "r", Deadline: "1s", IdempotencyKey: "k", Home: home, Command: "print",
	}
	if _, refusal := first.Execute(t.Context(), time.Now(), request); refusal != nil {
		t.Fatal(refusal)
	}
	first.Kill()
	if _, refusal := second.Execute(t.Context(), time.Now(), request); refusal == nil || refusal.Ran != wire.RanUnknown {
		t.Errorf("after the home died: %v", refusal)
	}
	replaced, err := w.StartDaemon(t.Context(), first.Setup.Name, strings.TrimPrefix(first.URL(), "http://"), first.Link(), 0)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the replacement is ready", func() bool { ready, _ := replaced.Ready(); return ready })
	if _, refusal := replaced.Execute(t.Context(), time.Now(), request); refusal == nil || refusal.Ran != wire.RanUnknown {
		t.Errorf("at the replacement of the home: %v", refusal)
	}
	if runs := runsOf(w, "c/k"); runs != 1 {
		t.Errorf("ran %d times", runs)
	}
}

func TestLostResultIsUnknownAndNotRunAgain(t *testing.T) {
	w := start(t, &world.World{Daemons: 1})
	for _, s := range w.Searchers["D/S"] {
		s.UpdateBehaviour(func(b *shard.Behaviour) { b.DropReplies = true })
	}
	c := w.Caller("D", "c")
	for range 3 {
		_, err := c.Execute(t.Context(), caller.Command{Service: "S", Text: "pick", Key: "p1", Deadline: time.Second})
		var e *caller.Error
		if !errors.As(err, &e) || e.Kind != caller.KindUnknown {
			t.Errorf("error %v, want an unknown outcome", err)
		}
	}
	if runs := runsOf(w, "c/p1"); runs != 1 {
		t.Errorf("ran %d times", runs)
	}
}

// Guards against a harmless command that is held back as deadly, since targets that had got
// it at the same time lose their answers one right after the other.
func TestLostResultsOfCommandsSentTogetherHoldBackNone(t *testing.T) {
	const (
		commands = 6
		work     = 300 * time.Millisecond
	)
	w := start(t, &world.World{Daemons: 1, Services: []world.Service{{
		Deployment: "D", Name: "S", Shards: 1, Replicas: commands, Slots: 4, Connections: 40, Documents: 30,
		Behaviour: shard.Behaviour{Median: work, DropReplies: true},
	}}})
	c := w.Caller("D", "c")
	var sending sync.WaitGroup
	for n := range commands {
		sending.Go(func() {
			_, err := c.Execute(t.Context(), caller.Command{Service: "S", Text: "pick", Key: fmt.Sprint("p", n), Deadline: 2 * time.Second})
			var e *caller.Error
			if !errors.As(err, &e) || e.Kind != caller.KindUnknown {
				t.Errorf("error %v, want an unknown outcome", err)
			}
		})
	}
	sending.Wait()
	for _, s := range w.Searchers["D/S"] {
		s.UpdateBehaviour(func(b *shard.Behaviour) { b.DropReplies = false })
	}
	if _, err := c.Execute(t.Context(), caller.Command{Service: "S", Text: "pick", Key: "last", Deadline: 2 * time.Second}); err != nil {
		t.Errorf("the next command: %v", err)
	}
}

func TestHostileCallerNamesAddNoMetrics(t *testing.T) {
	w := start(t, &world.World{Daemons: 1})
	d := w.Running[0]
	ask := func(name string) {
		request := &wire.SearchRequest{Deployment: "D", Service: "S", Caller: name, RequestID: "r", Deadline: "1s", Query: "mint", Limit: 1}
		if _, refusal := d.Search(t.Context(), time.Now(), request); refusal != nil {
			t.Fatal(refusal)
		}
	}
	series := func() int {
		recorder := httptest.NewRecorder()
		d.Meter.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return strings.Count(recorder.Body.String(), "magnoliarelay_latency_seconds")
	}
	ask("first")
	before := series()
	for n := range 200 {
		ask(fmt.Sprint("caller-", n))
	}
	if after := series(); after != before {
		t.Errorf("%d series of latency after 200 callers, %d before", after, before)
	}
}

func TestLostShardsAreReported(t *testing.T) {
	files := quickSettings()
	files["D/S/service.ini"] = "[Cost]\nLeastCoverage = 0.5\n"
	files["D/S/strict.ini"] = "[Cost]\nLeastCoverage = 1\n"
	w := start(t, &world.World{Daemons: 1, Settings: files})
	for replica := range 3 {
		w.Replica("D", "S", replica)[4].Stop()
	}
	eventually(t, "a partial answer that names shard 4", func() bool {
		answer, err := ask(t, w, "mint")
		return err == nil && !answer.Complete && len(answer.Coverage.Missing) == 1 && answer.Coverage.Missing[0] == 4
	})
	began := time.Now()
	if _, err := ask(t, w, "thyme"); err != nil || time.Since(began) > time.Second {
		t.Errorf("took %v, %v: waited for a shard known to be lost", time.Since(began), err)
	}
	_, err := w.Caller("D", "strict").Search(t.Context(), caller.Query{Service: "S", Text: "sage", Deadline: time.Second})
	if refusal := refusalOf(t, err); refusal.Kind != wire.RefusalCoverage || refusal.Coverage == nil || refusal.Coverage.ShardsAnswered != 5 {
		t.Errorf("refusal %+v", refusal)
	}
}

func TestPagesStayAtOneVersion(t *testing.T) {
	w := start(t, &world.World{Daemons: 1})
	c := w.Caller("D", "c")
	q := caller.Query{Service: "S", Text: "white", All: true, Limit: 10, Deadline: 2 * time.Second}
	first, err := c.Search(t.Context(), q)
	if err != nil || first.Cursor == "" {
		t.Fatalf("first page %+v, %v", first, err)
	}
	for i, s := range w.Searchers["D/S"] {
		s.Hold(w.Corpora["D/S"], 2, 6, []int{i % 6})
	}
	eventually(t, "new searches at version 2", func() bool {
		answer, err := ask(t, w, "mint")
		return err == nil && answer.Version == 2
	})
	q.Cursor = first.Cursor
	second, err := c.Search(t.Context(), q)
	if err != nil || second.Version != 1 {
		t.Fatalf("second page %+v, %v", second, err)
	}
	for _, s := range w.Searchers["D/S"] {
		s.Drop(1)
	}
	eventually(t, "a refusal once version 1 is gone", func() bool {
		_, err := c.Search(t.Context(), q)
		return err != nil && refusalOf(t, err).Kind == wire.RefusalVersionGone
	})
}
