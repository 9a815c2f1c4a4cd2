// Package epoch decides which revision of the settings is in force on a
// daemon. Revisions are the store's; a higher one replaces a lower one and
// nothing ever goes back, whoever offers it.
//
// # Usage
//
//	k := epoch.NewKeeper()
//	accepted, err := k.Offer(epoch.Change{Revision: 7, Files: files})
//	inForce := k.Current()
//	delta := k.Since(5) // for another daemon that has revision 5
//	change, ok := k.Patch(delta)
//
// A request keeps the *Epoch that it began with until it ends.
package epoch

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// kept is the number of revisions that deltas can start from.
const kept = 16

// Change is one revision of the settings as the store holds it.
type Change struct {
	// Revision is the store's; it orders changes.
	Revision int64
	// Number counts changes from 1.
	Number int64
	// ID is unique to the apply that made the change.
	ID      string
	Author  string
	Message string
	// UnixMillis is when the change was applied, by the operator's clock.
	UnixMillis int64
	Files      tree.Files
}

// Epoch is a revision in force.
type Epoch struct {
	Change Change
	Tree   *tree.Tree
	// Since is when this daemon put it in force.
	Since time.Time
}

// Delta is a change told as its difference from an older revision. Base zero
// carries every file.
type Delta struct {
	Base    int64
	Change  Change
	Deleted []string
}

// Keeper holds the epoch in force and some before it. Its methods may be
// called from any goroutine.
type Keeper struct {
	current atomic.Pointer[Epoch]

	mu    sync.Mutex
	older []Change
}

// NewKeeper returns a keeper with the default settings at revision zero.
func NewKeeper() *Keeper {
	k := &Keeper{}
	empty, err := tree.Parse(tree.Files{})
	if err != nil {
		panic(err)
	}
	k.current.Store(&Epoch{Tree: empty})
	return k
}

// Current returns the epoch in force.
func (k *Keeper) Current() *Epoch { return k.current.Load() }

// Offer puts a change in force if it is newer than the one that is. An error
// means that the change breaks the rules of the tree; it is then not in force.
func (k *Keeper) Offer(now time.Time, change Change) (accepted bool, err error) {
	if change.Revision <= k.Current().Change.Revision {
		return false, nil
	}
	parsed, err := tree.Parse(change.Files)
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	current := k.Current()
	if change.Revision <= current.Change.Revision {
		return false, nil
	}
	k.older = append(k.older, current.Change)
	if len(k.older) > kept {
		k.older = k.older[1:]
	}
	k.current.Store(&Epoch{Change: change, Tree: parsed, Since: now})
	return true, nil
}

// Since returns what a daemon that has an older revision needs.
func (k *Keeper) Since(have int64) Delta {
	k.mu.Lock()
	defer k.mu.Unlock()
	change := k.Current().Change
	for i := range k.older {
		if have != 0 && k.older[i].Revision == have {
			return difference(&k.older[i], change)
		}
	}
	return Delta{Change: change}
}

// Patch rebuilds the whole change from a delta; ok is false when this daemon
// does not have the base, and has to ask for all files.
func (k *Keeper) Patch(delta Delta) (change Change, ok bool) {
	if delta.Base == 0 {
		return delta.Change, true
	}
	current := k.Current().Change
	if current.Revision != delta.Base {
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
	delta := Delta{Base: base.Revision, Change: change}
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
