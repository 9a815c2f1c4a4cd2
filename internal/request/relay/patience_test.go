package relay

import (
	"testing"
	"time"
)

// Pattern: a daemon has just started, and all callers open connections to it.
// What they have spent on that is told by how far they are from a round time.
func TestTimeSpentBeforeTheFirstRequest(t *testing.T) {
	var p callerTimeouts
	now := time.Unix(1000, 0)
	for _, left := range []time.Duration{3978, 3992, 3979, 4000, 3978} {
		left *= time.Millisecond
		if got, want := p.timeSpent(now, "r", left), 4*time.Second-left; got != want {
			t.Errorf("%v left: %v, want %v", left, got, want)
		}
	}
	for range minSeen {
		p.timeSpent(now, "odd", 1730*time.Millisecond)
	}
	if got := p.timeSpent(now, "odd", 1730*time.Millisecond); got != 0 {
		t.Errorf("%v, want none once it is known how long callers wait", got)
	}
}

// A caller that has less time left than usual has spent it before, unless the
// callers of the route differ in how long they wait.
func TestTimeSpentBefore(t *testing.T) {
	const longest = 4 * time.Second
	tests := []struct {
		name string
		// others are the times left of requests before, in turns.
		others []time.Duration
		left   time.Duration
		want   time.Duration
	}{
		{"unknown", []time.Duration{longest}, 0, 0},
		{"fresh", []time.Duration{longest}, longest, 0},
		{"opened a connection", []time.Duration{longest}, longest - 12*time.Millisecond, 12 * time.Millisecond},
		{"asks again", []time.Duration{longest}, longest - 1800*time.Millisecond, 1800 * time.Millisecond},
		{"half ask again", []time.Duration{longest, longest - time.Second}, longest - 2*time.Second, 2 * time.Second},
		{
			"callers differ",
			[]time.Duration{longest, time.Second, time.Second, time.Second, time.Second, time.Second, time.Second, time.Second},
			time.Second, 0,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p callerTimeouts
			now := time.Unix(1000, 0)
			for i := range 400 {
				p.timeSpent(now, "r", tt.others[i%len(tt.others)])
			}
			if got := p.timeSpent(now, "r", tt.left); got != tt.want {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
}
