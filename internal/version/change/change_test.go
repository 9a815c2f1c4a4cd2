package change

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	fakestore "github.com/magnoliarelay/magnoliarelay/internal/fake/store"
	"github.com/magnoliarelay/magnoliarelay/internal/process/store"
	"github.com/magnoliarelay/magnoliarelay/internal/process/watch"
	"github.com/magnoliarelay/magnoliarelay/internal/version/epoch"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

func newStore(t *testing.T) (*fakestore.Store, *Change) {
	t.Helper()
	s := &fakestore.Store{}
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s, &Change{Store: &store.Store{Endpoints: []string{s.URL()}}}
}

func queue(length int) tree.Files {
	return tree.Files{"firm.ini": fmt.Sprintf("[Cost]\nQueueLength = %d\n", length)}
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

func TestApply(t *testing.T) {
	stale := int64(1)
	tests := []struct {
		name        string
		faults      fakestore.Faults
		request     Request
		want        Kind
		takesEffect bool
	}{
		{"plain", fakestore.Faults{}, Request{Files: queue(9)}, "", true},
		{"reply lost", fakestore.Faults{LoseReplies: 1}, Request{Files: queue(9)}, "", true},
		{"store down", fakestore.Faults{Down: true}, Request{Files: queue(9)}, KindUnavailable, false},
		{"invalid", fakestore.Faults{}, Request{Files: queue(-1)}, KindInvalid, false},
		{"made from an older revision", fakestore.Faults{}, Request{Files: queue(9), Expect: &stale}, KindConflict, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, c := newStore(t)
			if _, err := c.Apply(t.Context(), Request{Files: queue(1), Author: "first"}); err != nil {
				t.Fatal(err)
			}
			s.SetFaults(tt.faults)
			result, err := c.Apply(t.Context(), tt.request)
			if kindOf(err) != tt.want {
				t.Fatalf("error %v, want kind %q", err, tt.want)
			}
			if err == nil && result.Resolved != (tt.faults.LoseReplies > 0) {
				t.Errorf("resolved %v", result.Resolved)
			}
			s.SetFaults(fakestore.Faults{})
			current, err := c.Current(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if tookEffect := current.Number == 2; tookEffect != tt.takesEffect {
				t.Errorf("took effect %v, want %v", tookEffect, tt.takesEffect)
			}
		})
	}
}

// Several operators race while replies are lost and the store fails at times. Each
// applies a change that adds an entry to the list it has read. The history must be
// linear: every change holds all entries of the one before it and one more, and the
// entry of every apply that returned success is in it exactly once.
func TestRacingOperatorsMakeALinearHistory(t *testing.T) {
	s, c := newStore(t)
	const operators, attempts = 6, 12
	var mu sync.Mutex
	accepted := map[string]bool{}
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() {
			random := rand.New(rand.NewPCG(42, uint64(operator)))
			for attempt := range attempts {
				entry := fmt.Sprintf("%d-%d", operator, attempt)
				if appendEntry(t.Context(), c, entry) == nil {
					mu.Lock()
					accepted[entry] = true
					mu.Unlock()
				}
				switch random.IntN(6) {
				case 0:
					s.SetFaults(fakestore.Faults{LoseReplies: 1 + random.IntN(2)})
				case 1:
					s.SetFaults(fakestore.Faults{Down: true})
				default:
					s.SetFaults(fakestore.Faults{})
				}
			}
		})
	}
	group.Wait()
	s.SetFaults(fakestore.Faults{})
	history, err := c.History(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	before := []string{}
	for i := range history {
		if history[i].Number != int64(i+1) {
			t.Fatalf("change %d is at position %d of the history", history[i].Number, i+1)
		}
		entries := entriesOf(history[i].Files)
		if len(entries) != len(before)+1 || strings.Join(entries[:len(before)], " ") != strings.Join(before, " ") {
			t.Fatalf("change %d holds %v after %v", i+1, entries, before)
		}
		before = entries
	}
	found := map[string]int{}
	for _, entry := range before {
		found[entry]++
	}
	for entry := range accepted {
		if found[entry] != 1 {
			t.Errorf("entry %s was accepted and is in the history %d times", entry, found[entry])
		}
	}
	if len(accepted) == 0 {
		t.Error("no apply was accepted")
	}
}

func appendEntry(ctx context.Context, c *Change, entry string) error {
	current, err := c.Current(ctx)
	if err != nil {
		return err
	}
	files := tree.Files{"firm.ini": "; " + strings.Join(append(entriesOf(current.Files), entry), " ") + "\n"}
	revision := current.Revision
	_, err = c.Apply(ctx, Request{Files: files, Author: entry, Expect: &revision})
	return err
}

func entriesOf(files tree.Files) []string {
	return strings.Fields(strings.TrimPrefix(files["firm.ini"], ";"))
}

func TestHistoryIsBoundedAndRestorable(t *testing.T) {
	_, c := newStore(t)
	for i := range maxHistory + 5 {
		if _, err := c.Apply(t.Context(), Request{Files: queue(i), Message: strconv.Itoa(i)}); err != nil {
			t.Fatal(err)
		}
	}
	history, err := c.History(t.Context())
	if err != nil || len(history) != maxHistory {
		t.Fatalf("%d changes kept, %v", len(history), err)
	}
	old, err := c.Find(t.Context(), 10)
	if err != nil {
		t.Fatal(err)
	}
	result, err := c.Apply(t.Context(), Request{Files: old.Files, Message: "go back"})
	if err != nil || result.Change.Number != maxHistory+6 || result.Change.Files["firm.ini"] != queue(9)["firm.ini"] {
		t.Errorf("restored %+v, %v", result, err)
	}
	if _, err := c.Find(t.Context(), 1); kindOf(err) != KindNotFound {
		t.Errorf("a dropped change gives %v", err)
	}
}

// Guards against a change that is ordered before the one that it replaces because the clock of
// its operator is behind that of the operator before.
func TestOrderRisesWhenClocksDisagree(t *testing.T) {
	s, c := newStore(t)
	ahead := epoch.Change{Number: 1, Order: time.Now().Add(time.Hour).UnixMilli(), Files: queue(1)}
	value, err := codec.Encode(&ahead)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Store.Swap(t.Context(), store.Swap{Key: watch.SettingsKey, Value: value}); err != nil {
		t.Fatal(err)
	}
	s.SetFaults(fakestore.Faults{LoseReplies: 1})
	for n := range 3 {
		result, err := c.Apply(t.Context(), Request{Files: queue(2 + n)})
		if err != nil || result.Change.Order <= ahead.Order {
			t.Fatalf("order %d after %d, %v", result.Change.Order, ahead.Order, err)
		}
		ahead = result.Change
	}
}

// Guards against a change that is ordered before one that an earlier version of the command wrote.
func TestOrderRisesAfterChangeWithoutOrder(t *testing.T) {
	_, c := newStore(t)
	value, err := codec.Encode(&epoch.Change{Number: 7, UnixMillis: time.Now().Add(time.Hour).UnixMilli(), Files: queue(1)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Store.Swap(t.Context(), store.Swap{Key: watch.SettingsKey, Value: value}); err != nil {
		t.Fatal(err)
	}
	before, err := c.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	result, err := c.Apply(t.Context(), Request{Files: queue(2)})
	if err != nil || !result.Change.Stamp().After(before.Stamp()) {
		t.Errorf("%v after %v, %v", result, before.Stamp(), err)
	}
}

// Guards against an apply that undoes, without a word, changes that daemons have in force and
// the store has lost, and against one that is then ordered before them.
func TestApplyToStoreThatLostChanges(t *testing.T) {
	s, c := newStore(t)
	for n := range maxHistory + 2 {
		if _, err := c.Apply(t.Context(), Request{Files: queue(n)}); err != nil {
			t.Fatal(err)
		}
	}
	snapshot := s.Snapshot()
	// The clock of whoever applied the last lost change was ahead.
	inForce := epoch.Change{Number: maxHistory + 5, Order: time.Now().Add(time.Hour).UnixMilli(), Revision: 90}
	s.Restore(snapshot)
	request := Request{Files: queue(200), InForce: inForce}
	if _, err := c.Apply(t.Context(), request); kindOf(err) != KindLost {
		t.Fatalf("error %v, want kind %q", err, KindLost)
	}
	if current, err := c.Current(t.Context()); err != nil || current.Number != maxHistory+2 {
		t.Fatalf("change %d was written, %v", current.Number, err)
	}
	request.Restored = true
	result, err := c.Apply(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	if result.Change.Number != inForce.Number+1 || !result.Change.Stamp().After(inForce.Stamp()) {
		t.Errorf("change %d, order %d after change %d, order %d", result.Change.Number, result.Change.Order, inForce.Number, inForce.Order)
	}
	history, err := c.History(t.Context())
	if err != nil || history[0].Number <= result.Change.Number-maxHistory {
		t.Errorf("the history begins with change %d, %v", history[0].Number, err)
	}
	request.InForce = result.Change
	request.Restored = false
	if _, err := c.Apply(t.Context(), request); err != nil {
		t.Errorf("the next change: %v", err)
	}
}

// afterWrite calls a function after each transaction, before its reply is passed on.
type afterWrite struct {
	http.RoundTripper

	call func()
}

func (a *afterWrite) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := a.RoundTripper.RoundTrip(r)
	if strings.HasSuffix(r.URL.Path, "/txn") {
		a.call()
	}
	return response, err
}

// Guards against an apply that says "nothing was written" where its reply was lost and the store
// was put back before the outcome was read: daemons may have the change in force.
func TestOutcomeIsUnknownIfStoreIsRestoredMeanwhile(t *testing.T) {
	s, c := newStore(t)
	if _, err := c.Apply(t.Context(), Request{Files: queue(1)}); err != nil {
		t.Fatal(err)
	}
	snapshot := s.Snapshot()
	if _, err := c.Apply(t.Context(), Request{Files: queue(2)}); err != nil {
		t.Fatal(err)
	}
	c.Store.Transport = &afterWrite{RoundTripper: http.DefaultTransport, call: func() { s.Restore(snapshot) }}
	s.SetFaults(fakestore.Faults{LoseReplies: 1})
	if _, err := c.Apply(t.Context(), Request{Files: queue(3)}); kindOf(err) != KindUnknown {
		t.Errorf("error %v, want kind %q", err, KindUnknown)
	}
}
