package node

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/pools"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

// Registrations change while earlier ones are being applied: the store, several daemons and
// the end of a grace period deliver them at the same time. Guards against a target that has left and
// gets requests again, since the earlier registrations are applied last.
func TestLatestRegistrationsStayApplied(t *testing.T) {
	const name = "orders"
	blocked, release := make(chan struct{}), make(chan struct{})
	var asked atomic.Bool
	n := &Node{Roster: roster.New(), Meter: meter.New()}
	n.Pools = &pools.Pools{RegionOf: func(string) string {
		if !asked.Swap(true) {
			close(blocked)
			<-release
		}
		return "a"
	}}
	now := time.Now()
	entry := func(id string, revision int64) roster.Entry {
		return roster.Entry{ID: id, Pool: name, Address: "127.0.0.1:9", DataCentre: "a1", Slots: 1, Revision: revision, Era: 1}
	}
	apply := func(e roster.Entry) {
		n.applyRegistrations(n.Roster.Apply(now, []roster.Entry{e}, stamp.Stamp{Era: 1, Revision: e.Revision}), "a peer")
	}
	n.Roster.Apply(now, []roster.Entry{entry("left", 1)}, stamp.Stamp{Era: 1, Revision: 1})
	var applying sync.WaitGroup
	applying.Go(func() { apply(entry("stays", 2)) })
	<-blocked
	left := make(chan struct{})
	applying.Go(func() {
		defer close(left)
		apply(roster.Entry{ID: "left", Revision: 3, Era: 1, Gone: true})
	})
	select {
	case <-left:
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	applying.Wait()
	var used []string
	for _, target := range n.Pools.Fleet(name).Plan().Replicas[0] {
		used = append(used, target.ID)
	}
	if want := []string{"stays"}; !slices.Equal(used, want) {
		t.Errorf("the targets in use are %v, want %v", used, want)
	}
}
