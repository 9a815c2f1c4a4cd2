package watch_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	fakestore "github.com/magnoliarelay/magnoliarelay/internal/fake/store"
	"github.com/magnoliarelay/magnoliarelay/internal/process/watch"
)

func (f *fixture) queue() int {
	return f.keeper.Current().Tree.Resolve("", "", "").QueueLength
}

// raise writes to another key until the store has the given revision.
func (f *fixture) raise(revision int64) {
	f.t.Helper()
	for at := f.store.Snapshot(); at.Revision() < revision; at = f.store.Snapshot() {
		lease, err := f.client.Grant(f.t.Context(), time.Hour)
		if err != nil {
			f.t.Fatal(err)
		}
		if err := f.client.PutLeased(f.t.Context(), "/other", []byte("v"), lease); err != nil {
			f.t.Fatal(err)
		}
	}
}

// Guards against a daemon that ignores the changes of a store that was restored from a
// snapshot: their numbers and revisions fall and are given out again for others.
func TestChangeIsInForceAfterRestore(t *testing.T) {
	const kept, lost, first = 8, 2, 100
	tests := []struct {
		name   string
		before func(f *fixture, inForce int64)
		again  int
	}{
		{"lower number, lower revision", nil, 1},
		{"the number of the lost change, lower revision", nil, lost},
		{"lower number, the lost revision", func(f *fixture, inForce int64) { f.raise(inForce - 1) }, 1},
		{"lower number, revision passed unseen", func(f *fixture, inForce int64) { f.raise(inForce + 50) }, 1},
		{"history dropped", func(f *fixture, _ int64) { f.store.Compact() }, 1},
		{"store built anew", func(f *fixture, _ int64) { f.store.Restore(fakestore.Snapshot{}) }, 1},
		{"the store is away for a minute", func(f *fixture, _ int64) {
			f.store.SetFaults(fakestore.Faults{Down: true})
			time.Sleep(time.Minute)
			f.store.SetFaults(fakestore.Faults{})
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := start(t)
				defer f.cancel()
				var snapshot fakestore.Snapshot
				for n := range kept + lost {
					if n == kept {
						snapshot = f.store.Snapshot()
					}
					f.waitForRevision(maxChangeDelay, f.apply(first+n))
				}
				inForce := f.keeper.Current().Change
				f.store.Restore(snapshot)
				if tt.before != nil {
					tt.before(f, inForce.Revision)
				}
				time.Sleep(time.Minute)
				if got := f.queue(); got != first+kept+lost-1 {
					t.Errorf("queue length %d before the operator applies again: an older change came back", got)
				}
				want := 0
				for n := range tt.again {
					want = 2*first + n
					f.apply(want)
					time.Sleep(maxChangeDelay)
					if got := f.queue(); got != want {
						t.Errorf("queue length %d, want %d, %v after it was applied", got, want, maxChangeDelay)
					}
				}
				time.Sleep(time.Minute)
				if got := f.queue(); got != want {
					t.Errorf("queue length %d a minute later, want %d", got, want)
				}
			})
		})
	}
}

// Guards against a daemon that goes on with an older change because it is shown again, as an
// endpoint that lags or belongs to the cluster of before would show it.
func TestOlderAnswersBringNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		defer f.cancel()
		f.waitForRevision(maxChangeDelay, f.apply(1))
		snapshot := f.store.Snapshot()
		f.waitForRevision(maxChangeDelay, f.apply(2))
		latest := f.store.Snapshot()
		for n := range 20 {
			f.store.Restore([]fakestore.Snapshot{snapshot, latest}[n%2])
			for range 50 {
				time.Sleep(200 * time.Millisecond)
				if got := f.queue(); got != 2 {
					t.Fatalf("queue length %d, want 2", got)
				}
			}
		}
	})
}

// Guards against a watcher that renews a lease for good that holds no record of its own: the
// snapshot may have the lease without the record, and the number of a lost lease may be
// given out to another daemon.
func TestDaemonRegistersAnewAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		defer f.cancel()
		f.waitForRevision(maxChangeDelay, f.apply(1))
		time.Sleep(time.Second)
		registered := f.store.Snapshot()
		for _, snapshot := range []fakestore.Snapshot{{}, registered.Without(watch.MembersPrefix + "a")} {
			f.store.Restore(snapshot)
			for range 30 {
				if _, err := f.client.Grant(t.Context(), time.Hour); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(maxChangeDelay)
			for n := range 3 {
				links, err := watch.Seeds(t.Context(), f.client)
				if err != nil {
					t.Fatal(err)
				}
				if len(links) != 1 {
					t.Errorf("%d daemons registered %v after the restore", len(links), maxChangeDelay+time.Duration(n)*10*time.Second)
				}
				time.Sleep(10 * time.Second)
			}
		}
	})
}

// reports returns the metric line that counts how often the store was behind, or an empty line.
func (f *fixture) reports() string {
	page := httptest.NewRecorder()
	f.meter.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	for line := range strings.Lines(page.Body.String()) {
		if strings.Contains(line, `"StoreBehind"`) {
			return line
		}
	}
	return ""
}

// Guards against a store that has lost what is in force without a sign of it at the daemons.
func TestLostChangeIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		defer f.cancel()
		f.waitForRevision(maxChangeDelay, f.apply(1))
		snapshot := f.store.Snapshot()
		f.waitForRevision(maxChangeDelay, f.apply(2))
		time.Sleep(time.Minute)
		last := f.reports()
		if last != "" {
			t.Errorf("%q before the restore", last)
		}
		for range 2 {
			f.store.Restore(snapshot)
			time.Sleep(maxChangeDelay)
			if got := f.reports(); got == last {
				t.Errorf("no report %v after the restore", maxChangeDelay)
			}
			f.apply(3)
			time.Sleep(maxChangeDelay)
			last = f.reports()
			time.Sleep(time.Minute)
			if got := f.reports(); got != last {
				t.Errorf("%q, and %q after the next change had been in force for a minute", last, got)
			}
		}
	})
}
