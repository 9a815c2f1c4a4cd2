// Package change applies changes of the settings to the store.
//
// # Usage
//
//	c := &change.Change{Store: s}
//	result, err := c.Apply(ctx, change.Request{Files: files, Author: "ada", Message: "longer queues"})
//	changes, err := c.History(ctx)
//
// An apply is one compare-and-swap over the whole tree. If another change wins the
// race, Apply returns an error of KindConflict and writes nothing. If the reply to
// the write is lost, Apply reads from the store whether the change took effect.
package change

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/store"
	"github.com/magnoliarelay/magnoliarelay/internal/process/watch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	// KindConflict means that another change was applied first; nothing was written.
	KindConflict Kind = "Conflict"
	// KindInvalid means that the settings are invalid; nothing was written.
	KindInvalid Kind = "Invalid"
	// KindUnavailable means that the store was unavailable; nothing was written.
	KindUnavailable Kind = "Unavailable"
	// KindUnknown means that it is unknown whether the change took effect.
	KindUnknown Kind = "Unknown"
	// KindLost means that a daemon has a later change in force than the store holds;
	// nothing was written.
	KindLost Kind = "Lost"
	// KindNotFound means that the history has no change with the number.
	KindNotFound Kind = "NotFound"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	// maxHistory is the number of changes that the history in the store holds.
	maxHistory = 64
	// resolveTimeout bounds the reads that determine the outcome of a write.
	resolveTimeout = 15 * time.Second
)

// Change applies changes. Exported fields are set before use.
type Change struct {
	Store *store.Store
}

// Request is a change to apply.
type Request struct {
	Files   tree.Files
	Author  string
	Message string
	// Expect is the revision that the change is based on; nil means the one in force
	// when Apply starts.
	Expect *int64
	// InForce is the latest change that a daemon has in force, without its files. The zero
	// value means that none is known.
	InForce epoch.Change
	// Restored allows a change of a store that has lost the one in force. The new change is
	// ordered after it.
	Restored bool
}

// Result is a change that took effect.
type Result struct {
	Change epoch.Change
	// Resolved is true if the write returned an error and a later read from the
	// store showed that the change took effect.
	Resolved bool
}

// Current returns the change in force, with revision zero if there is none.
func (c *Change) Current(ctx context.Context) (epoch.Change, error) {
	item, err := c.Store.Get(ctx, watch.SettingsKey)
	if err != nil {
		return epoch.Change{}, &Error{Op: "read settings", Kind: KindUnavailable, Err: err}
	}
	if item.Revision == 0 {
		return epoch.Change{Files: tree.Files{}}, nil
	}
	change, err := watch.Decode(item)
	if err != nil {
		return epoch.Change{}, &Error{Op: "read settings", Kind: KindInvalid, Err: err}
	}
	return change, nil
}

// Apply puts a tree in force.
func (c *Change) Apply(ctx context.Context, request Request) (*Result, error) {
	if _, err := tree.Parse(request.Files); err != nil {
		return nil, &Error{Op: "apply", Kind: KindInvalid, Err: err}
	}
	current, err := c.Current(ctx)
	if err != nil {
		return nil, err
	}
	if request.Expect != nil && *request.Expect != current.Revision {
		return nil, conflict(*request.Expect, current)
	}
	inForce := request.InForce
	if !request.Restored && Behind(current, inForce) {
		return nil, &Error{Op: "apply", Kind: KindLost, Err: fault.Causef("the store has lost changes after %d, up to %d; "+
			"make sure that the tree holds what they did, then apply it as restored (--restored)", current.Number, inForce.Number)}
	}
	now := time.Now().UnixMilli()
	change := epoch.Change{
		Number: max(current.Number, inForce.Number) + 1, Order: max(now, current.Order+1, inForce.Order+1), ID: uuid.NewString(),
		Author: request.Author, Message: request.Message, UnixMillis: now, Files: request.Files,
	}
	value, err := codec.Encode(&change)
	if err != nil {
		return nil, &Error{Op: "apply", Kind: KindInvalid, Err: err}
	}
	swap := store.Swap{
		Key: watch.SettingsKey, Expect: current.Revision, Value: value,
		Also: []store.Item{{Key: historyKey(change.Number), Value: value}},
	}
	for n := max(1, current.Number+1-maxHistory); n <= min(current.Number, change.Number-maxHistory); n++ {
		swap.Drop = append(swap.Drop, historyKey(n))
	}
	revision, err := c.Store.Swap(ctx, swap)
	if err == nil {
		change.Revision = revision
		return &Result{Change: change}, nil
	}
	return c.resolve(ctx, change, current.Revision, err)
}

// Behind reports whether the store, with the given current change, has lost a change that a
// daemon has in force.
func Behind(current, inForce epoch.Change) bool { return inForce.Order > current.Order }

// resolve determines the outcome of a write that returned an error.
func (c *Change) resolve(ctx context.Context, change epoch.Change, base int64, cause error) (*Result, error) {
	var e *store.Error
	if errors.As(cause, &e) && e.Kind == store.KindUnavailable {
		return nil, &Error{Op: "apply", Kind: KindUnavailable, Err: cause}
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	found, err := backoff.Retry(ctx, func() (store.Item, error) {
		return c.Store.Get(ctx, historyKey(change.Number))
	}, backoff.WithMaxElapsedTime(resolveTimeout))
	if err != nil {
		return nil, &Error{Op: "apply", Kind: KindUnknown, Err: errors.Join(cause, err)}
	}
	if written, err := watch.Decode(found); err == nil && written.ID == change.ID {
		change.Revision = found.Revision
		return &Result{Change: change, Resolved: true}, nil
	}
	now, err := c.Current(ctx)
	if err != nil {
		return nil, &Error{Op: "apply", Kind: KindUnknown, Err: errors.Join(cause, err)}
	}
	if now.Revision > base {
		return nil, conflict(base, now)
	}
	if now.Revision < base {
		putBack := fault.Causef("the store was put back from revision %d to %d meanwhile; daemons may have the change in force", base, now.Revision)
		return nil, &Error{Op: "apply", Kind: KindUnknown, Err: errors.Join(putBack, cause)}
	}
	// The key is unchanged, but a write still in flight could change it.
	return nil, &Error{Op: "apply", Kind: KindUnknown, Err: cause}
}

func conflict(base int64, now epoch.Change) error {
	cause := fault.Causef("the change was made from revision %d, but %s applied revision %d (change %d: %s) since",
		base, now.Author, now.Revision, now.Number, now.Message)
	return &Error{Op: "apply", Kind: KindConflict, Err: cause}
}

// Daemons returns the base URLs of the daemons that are registered in the store.
func (c *Change) Daemons(ctx context.Context) ([]string, error) {
	members, err := watch.Members(ctx, c.Store)
	if err != nil {
		return nil, &Error{Op: "read daemons", Kind: KindUnavailable, Err: err}
	}
	urls := make([]string, 0, len(members))
	for i := range members {
		urls = append(urls, members[i].URL)
	}
	return urls, nil
}

// History returns the changes in the store, oldest first.
func (c *Change) History(ctx context.Context) ([]epoch.Change, error) {
	items, err := c.Store.List(ctx, watch.HistoryPrefix)
	if err != nil {
		return nil, &Error{Op: "read history", Kind: KindUnavailable, Err: err}
	}
	changes := make([]epoch.Change, 0, len(items))
	for i := range items {
		change, err := watch.Decode(items[i])
		if err != nil {
			return nil, &Error{Op: "read history", Kind: KindInvalid, Err: err}
		}
		changes = append(changes, change)
	}
	slices.SortFunc(changes, func(a, b epoch.Change) int { return int(a.Number - b.Number) })
	return changes, nil
}

// Find returns the change of the history with the given number.
func (c *Change) Find(ctx context.Context, number int64) (epoch.Change, error) {
	item, err := c.Store.Get(ctx, historyKey(number))
	if err != nil {
		return epoch.Change{}, &Error{Op: "read history", Kind: KindUnavailable, Err: err}
	}
	if item.Revision == 0 {
		return epoch.Change{}, &Error{Op: "read history", Kind: KindNotFound, Err: fault.Causef("change %d is not in the history", number)}
	}
	return watch.Decode(item)
}

func historyKey(number int64) string { return fmt.Sprintf("%s%012d", watch.HistoryPrefix, number) }
