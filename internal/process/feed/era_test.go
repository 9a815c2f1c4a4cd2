package feed

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

// Guards against a daemon that takes a store for sound which answers from an earlier state
// than it has shown before.
func TestStaleStoreCountsAsLost(t *testing.T) {
	for _, known := range []stamp.Stamp{{Era: 1, Revision: 2}, {Era: 2, Revision: 1}} {
		synctest.Test(t, func(t *testing.T) {
			store := &quietStore{}
			store.era.Store(1)
			f := unchosen(store)
			f.Roster.Apply(time.Now(), []roster.Entry{{ID: "t", Pool: "p", Era: 1, Revision: 1}}, known)
			var e *Error
			if err := f.LoadOnce(t.Context(), 0); !errors.As(err, &e) || e.Kind != KindStale {
				t.Errorf("error %v", err)
			}
			if confirmed, _ := f.Fresh.Ages(time.Now()); confirmed >= 0 || f.Roster.Len() != 1 || f.Roster.Stamp() != known {
				t.Errorf("confirmed %v ago, %d registrations at %v", confirmed, f.Roster.Len(), f.Roster.Stamp())
			}
		})
	}
}
