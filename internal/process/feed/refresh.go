package feed

import (
	"context"
	"errors"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

// refreshTimeout is the timeout of the call that reads the changes which this daemon
// has missed. It is shorter than the time between two such calls.
const refreshTimeout = time.Second

// refresh reads what has changed in the store since the state of this daemon was last
// confirmed, and the records of the other daemons, which it may need to reach them.
func (f *Feed) refresh(ctx context.Context) {
	now := f.Clock()
	confirmed, attempted := f.Fresh.Ages(now)
	f.Meter.CountDecision("RefreshFromStore")
	f.Log.State("nothing confirms the settings and registrations, reading the store", "revision", f.Fresh.Stamp().Revision, "era", f.Fresh.Stamp().Era,
		"confirmedMillisAgo", confirmed.Milliseconds(), "attemptedMillisAgo", attempted.Milliseconds(), "members", f.Table.Live())
	if err := f.readChanges(ctx); err != nil {
		f.Log.State("the store could not be read to confirm the settings and registrations", "error", err)
		return
	}
	if err := f.readMembers(ctx); err != nil {
		f.Log.State("the records of the other daemons could not be read", "error", err)
	}
}

// readChanges reads the changes since the state of this daemon was last confirmed, or the
// whole store if that is too long ago.
func (f *Feed) readChanges(ctx context.Context) error {
	asked, after := f.Clock(), f.Fresh.Stamp()
	if after == (stamp.Stamp{}) {
		return f.LoadOnce(ctx, 0)
	}
	waiting, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	changes, err := f.Source.Follow(waiting, after, minWaitTimeout)
	var e *Error
	if errors.As(err, &e) && e.Kind == KindCompacted {
		return f.LoadOnce(ctx, 0)
	}
	if err != nil {
		return err
	}
	f.apply(changes, asked)
	return nil
}

// readMembers reads the records of the other daemons.
func (f *Feed) readMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, err := f.Source.Members(ctx)
	if err != nil {
		return err
	}
	f.mergeMembers(records)
	f.Log.State("read the records of the other daemons", "records", len(records), "members", f.Table.Live())
	return nil
}
