package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/world"
	"github.com/magnoliarelay/magnoliarelay/internal/process/daemon"
)

// maxChangeDelay is the time within which a change has to be in force.
const maxChangeDelay = 19 * time.Second

// Guards against daemons that ignore the next change after their store was restored from a
// snapshot, and against two daemons that order the lost change and the next one differently.
func TestChangeIsInForceEverywhereAfterRestore(t *testing.T) {
	w := start(t, &world.World{Daemons: 6})
	apply := func(queue int) {
		t.Helper()
		files := quickSettings()
		files["D/deployment.ini"] = fmt.Sprintf("[Cost]\nQueueLength = %d\n", queue)
		if _, err := w.Apply(t.Context(), files); err != nil {
			t.Fatal(err)
		}
	}
	queue := func(d *daemon.Daemon) int { return d.Keeper.Current().Tree.Resolve("D", "S", "").QueueLength }
	inForce := func(what string, want int) {
		t.Helper()
		started := time.Now()
		for _, d := range w.Running {
			for queue(d) != want && time.Since(started) < maxChangeDelay {
				time.Sleep(10 * time.Millisecond)
			}
			if got := queue(d); got != want {
				t.Errorf("%s: %s has queue length %d and not %d after %v", what, d.Setup.Name, got, want, maxChangeDelay)
			}
		}
		t.Logf("%s: in force at all daemons, or given up, after %v", what, time.Since(started).Round(10*time.Millisecond))
	}
	apply(70)
	inForce("before the snapshot", 70)
	snapshot := w.Store.Snapshot()
	for n := 71; n <= 72; n++ {
		apply(n)
		inForce("lost later", n)
	}
	w.Store.Restore(snapshot)
	// It starts with what its peers have in force, not with what the store holds.
	late, err := w.AddDaemon(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the daemon that starts after the restore is ready", func() bool {
		ready, _ := late.Ready()
		return ready
	})
	inForce("before the operator applies again", 72)
	for n := 81; n <= 82; n++ {
		apply(n)
		inForce("after the restore", n)
	}
}
