package crash

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func attempt(id uint64, sentMillis int) Attempt {
	return Attempt{ID: id, Fingerprint: id, Sent: at(sentMillis)}
}

func ids(blamed []Blamed) []uint64 {
	var found []uint64
	for _, b := range blamed {
		found = append(found, b.ID)
	}
	return found
}

// Guards against a crash that is blamed on the wrong request, or on none.
func TestBlame(t *testing.T) {
	tests := []struct {
		name string
		do   func(tracker *Tracker) []uint64
		want []uint64
	}{
		{"all attempts whose connection broke", func(tracker *Tracker) []uint64 {
			for id := range uint64(3) {
				tracker.Sent(at(0), "a", attempt(id, 0))
				tracker.Unanswered(at(int(id)), "a", attempt(id, 0))
			}
			return ids(tracker.Ended(at(5), "a"))
		}, []uint64{0, 1, 2}},
		{"an attempt that is still in flight, once it breaks", func(tracker *Tracker) []uint64 {
			tracker.Sent(at(0), "a", attempt(1, 0))
			if blamed := tracker.Ended(at(5), "a"); len(blamed) > 0 {
				return ids(blamed)
			}
			blamed, ended := tracker.Unanswered(at(6), "a", attempt(1, 0))
			if !ended {
				return nil
			}
			return []uint64{blamed.ID}
		}, []uint64{1}},
		{"no attempt that was sent after the end", func(tracker *Tracker) []uint64 {
			tracker.Ended(at(0), "a")
			tracker.Sent(at(0), "a", attempt(9, 0))
			tracker.Ended(at(5), "a")
			tracker.Sent(at(6), "a", attempt(1, 6))
			if blamed, ended := tracker.Unanswered(at(7), "a", attempt(1, 6)); ended {
				return []uint64{blamed.ID}
			}
			return nil
		}, nil},
		{"no attempt that was answered", func(tracker *Tracker) []uint64 {
			tracker.Sent(at(0), "a", attempt(1, 0))
			tracker.Answered(at(1), "a", attempt(1, 0))
			return ids(tracker.Ended(at(5), "a"))
		}, nil},
		{"none that broke before an answered one was sent", func(tracker *Tracker) []uint64 {
			tracker.Unanswered(at(1), "a", attempt(1, 0))
			tracker.Answered(at(4), "a", attempt(2, 3))
			return ids(tracker.Ended(at(5), "a"))
		}, nil},
		{"one that broke after an answered one was sent", func(tracker *Tracker) []uint64 {
			tracker.Unanswered(at(2), "a", attempt(1, 0))
			tracker.Answered(at(4), "a", attempt(2, 1))
			return ids(tracker.Ended(at(5), "a"))
		}, []uint64{1}},
		{"no attempt at another boot", func(tracker *Tracker) []uint64 {
			tracker.Unanswered(at(2), "a", attempt(1, 0))
			return ids(tracker.Ended(at(5), "b"))
		}, nil},
		{"no attempt of long ago", func(tracker *Tracker) []uint64 {
			tracker.Unanswered(at(0), "a", attempt(1, 0))
			return ids(tracker.Ended(start.Add(window), "a"))
		}, nil},
		{"each attempt once", func(tracker *Tracker) []uint64 {
			tracker.Unanswered(at(0), "a", attempt(1, 0))
			return append(ids(tracker.Ended(at(1), "a")), ids(tracker.Ended(at(2), "a"))...)
		}, []uint64{1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.do(&Tracker{}); !slices.Equal(got, tt.want) {
				t.Errorf("blamed %v, want %v", got, tt.want)
			}
		})
	}
}

func TestSharedBlame(t *testing.T) {
	tests := []struct {
		name         string
		fingerprints []uint64
		inFlight     uint64
		want         bool
	}{
		{"alone", []uint64{1}, 1, false},
		{"the same request twice", []uint64{1, 1}, 1, false},
		{"two requests", []uint64{1, 2}, 1, true},
		{"another one in flight", []uint64{1}, 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := &Tracker{}
			for i, fingerprint := range tt.fingerprints {
				tracker.Unanswered(at(1), "a", Attempt{ID: uint64(i), Fingerprint: fingerprint, Sent: at(0)})
			}
			tracker.Sent(at(1), "a", Attempt{ID: 100, Fingerprint: tt.inFlight, Sent: at(1)})
			for _, b := range tracker.Ended(at(2), "a") {
				if b.Shared != tt.want {
					t.Errorf("shared %v, want %v", b.Shared, tt.want)
				}
			}
		})
	}
}

// Guards against memory that grows with the targets and requests of a daemon's life.
func TestMemoryIsBounded(t *testing.T) {
	tracker := &Tracker{}
	for i := range 2 * maxBoots {
		tracker.Unanswered(at(i), fmt.Sprint(i), attempt(1, 0))
	}
	for i := range uint64(2 * maxAttempts) {
		tracker.Unanswered(at(0), "a", attempt(i, 0))
	}
	if len(tracker.boots) > maxBoots || len(tracker.boots["a"].unanswered) > maxAttempts {
		t.Errorf("%d boots, %d attempts", len(tracker.boots), len(tracker.boots["a"].unanswered))
	}
}
