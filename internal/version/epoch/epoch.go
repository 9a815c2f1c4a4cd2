// Package epoch holds the revision of the settings that is in force on a daemon.
// Stamps order the revisions. A later one replaces an earlier one and never the
// reverse, whichever source a revision comes from.
//
// # Usage
//
//	k := epoch.NewKeeper()
//	accepted, err := k.Apply(time.Now(), epoch.Change{Revision: 7, Files: files})
//	inForce := k.Current()
//	delta := k.Since(base) // for a daemon that has the settings of the stamp base
//	change, ok := k.Patch(delta)
//
// A request keeps the *Epoch that it began with until it ends.
package epoch

import (
	"cmp"
	"maps"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// maxOlderRevisions is the number of older revisions that deltas can start from.
const maxOlderRevisions = 16

// Change is one revision of the settings as the store holds it.
type Change struct {
	// Revision is the store's revision of the change, in the era in which it was read.
	Revision int64
	Era      int64
	// Number counts changes from 1.
	Number int64
	// Order goes first in the order of changes: the time of the apply in milliseconds, but
	// later than that of the change before it. A store that was restored gives out numbers
	// and revisions again, but not times. If it is zero, the number takes its place.
	Order int64
	// ID identifies the apply that made the change.
	ID      string
	Author  string
	Message string
	// UnixMillis is the time at which the change was applied, by the operator's clock.
	UnixMillis int64
	Files      tree.Files
}

// Stamp orders the change among others.
func (c *Change) Stamp() stamp.Stamp {
	return stamp.Stamp{Number: cmp.Or(c.Order, c.Number), Era: c.Era, Revision: c.Revision}
}

// Epoch is a revision that is in force, with its parsed settings.
type Epoch struct {
	Change Change
	Tree   *tree.Tree
	// Since is the time at which this daemon put the revision in force.
	Since time.Time
}

// Delta is a change as its difference from the one with the stamp Base. With Base zero
// it holds every file.
type Delta struct {
	Base    stamp.Stamp
	Change  Change
	Deleted []string
}

// Keeper holds the epoch in force and some older changes. Its methods may be called
// from any goroutine.
type Keeper struct {
	current atomic.Pointer[Epoch]

	mu    mutex.Mutex
	older []Change
}

// NewKeeper returns a keeper with the default settings at revision zero.
func NewKeeper() *Keeper {
	k := &Keeper{}
	defaults, err := tree.Parse(tree.Files{})
	if err != nil {
		panic(err)
	}
	k.current.Store(&Epoch{Tree: defaults})
	return k
}

// Current returns the epoch in force.
func (k *Keeper) Current() *Epoch { return k.current.Load() }

// Stamp returns the stamp of the change in force.
func (k *Keeper) Stamp() stamp.Stamp { return k.Current().Change.Stamp() }

// Apply puts a change in force if it is newer than the one in force, and reports
// whether it did. An error means that the settings are invalid; the change is then
// not put in force.
func (k *Keeper) Apply(now time.Time, change Change) (accepted bool, err error) {
	if !change.Stamp().After(k.Stamp()) {
		return false, nil
	}
	parsed, err := tree.Parse(change.Files)
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	current := k.Current()
	if !change.Stamp().After(current.Change.Stamp()) {
		return false, nil
	}
	k.older = append(k.older, current.Change)
	if len(k.older) > maxOlderRevisions {
		k.older = k.older[1:]
	}
	k.current.Store(&Epoch{Change: change, Tree: parsed, Since: now})
	return true, nil
}

// Since returns the delta for a daemon that has the change with the stamp base. The
// delta holds every file if the keeper no longer has that change.
func (k *Keeper) Since(base stamp.Stamp) Delta {
	k.mu.Lock()
	defer k.mu.Unlock()
	change := k.Current().Change
	for i := range k.older {
		if base != (stamp.Stamp{}) && k.older[i].Stamp() == base {
			return difference(&k.older[i], change)
		}
	}
	return Delta{Change: change}
}

// Patch returns the complete change for a delta. If the change in force is not the
// base of the delta, ok is false and this daemon has to ask for all files.
func (k *Keeper) Patch(delta Delta) (change Change, ok bool) {
	if delta.Base == (stamp.Stamp{}) {
		return delta.Change, true
	}
	current := k.Current().Change
	if current.Stamp() != delta.Base {
		return Change{}, false
	}
	files := maps.Clone(current.Files)
	maps.Copy(files, delta.Change.Files)
	for _, path := range delta.Deleted {
		delete(files, path)
	}
	change = delta.Change
	change.Files = files
	return change, true
}

func difference(base *Change, change Change) Delta {
	delta := Delta{Base: base.Stamp(), Change: change}
	delta.Change.Files = tree.Files{}
	for path, content := range change.Files {
		if old, had := base.Files[path]; !had || old != content {
			delta.Change.Files[path] = content
		}
	}
	for path := range base.Files {
		if _, has := change.Files[path]; !has {
			delta.Deleted = append(delta.Deleted, path)
		}
	}
	return delta
}
