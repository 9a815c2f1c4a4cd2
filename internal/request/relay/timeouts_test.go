package relay

import (
	"testing"
	"time"
)

// A daemon has just started, and all callers open connections to it. The time
// spent on that is the difference between a round timeout and the time left.
func TestTimeSpentOnConnecting(t *testing.T) {
	var c callerTimeouts
	now := time.Unix(1000, 0)
	for _, remaining := range []time.Duration{3978, 3992, 3979, 4000, 3978} {
		remaining *= time.Millisecond
		if got, want := c.timeSpent(now, "r", remaining), 4*time.Second-remaining; got != want {
			t.Errorf("%v left: %v, want %v", remaining, got, want)
		}
	}
	for range minSeen {
		c.timeSpent(now, "odd", 1730*time.Millisecond)
	}
	if got := c.timeSpent(now, "odd", 1730*time.Millisecond); got != 0 {
		t.Errorf("%v, want none once the callers' timeout has been learned", got)
	}
}

// A caller with less time left than usual has spent the difference, unless the
// callers of the route use different timeouts.
func TestTimeSpent(t *testing.T) {
	const longest = 4 * time.Second
	tests := []struct {
		name string
		// others are the remaining times of earlier requests, in turns.
		others    []time.Duration
		remaining time.Duration
		want      time.Duration
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
			var c callerTimeouts
			now := time.Unix(1000, 0)
			for i := range 400 {
				c.timeSpent(now, "r", tt.others[i%len(tt.others)])
			}
			if got := c.timeSpent(now, "r", tt.remaining); got != tt.want {
				t.Errorf("%v, want %v", got, tt.want)
			}
		})
	}
}

// While targets are short of room, attempts for requests whose answer in part is due
// would fill the queues before requests that can still be in time. A request yields
// from that moment, here and at a peer that gathers for it.
func TestRequestYieldsOnceItsAnswerInPartIsDue(t *testing.T) {
	r := &Runner{}
	now := time.Unix(1000, 0)
	route := historyRoute()
	x := &exchange{route: route, schedule: r.newSchedule(&Request{Arrived: now, Timeout: route.Timeout}, route)}
	for _, tt := range []struct {
		name   string
		at     time.Time
		yields bool
	}{
		{name: "before the answer in part is due", at: x.schedule.partialAt.Add(-time.Millisecond)},
		{name: "when it is due", at: x.schedule.partialAt, yields: true},
		{name: "when the latency target has passed", at: now.Add(2 * route.LatencyTarget), yields: true},
		{name: "near the deadline", at: x.schedule.deadline.Add(-route.LatencyTarget)},
	} {
		if got := x.yields(tt.at); got != tt.yields {
			t.Errorf("%s: yields %v, want %v", tt.name, got, tt.yields)
		}
	}
	times := assistSchedule(now, &remoteRequest{LeftMillis: 4000, SoonMillis: 150, LateMillis: 400})
	assisting := &exchange{route: route, schedule: times}
	if assisting.yields(times.partialAt.Add(-time.Millisecond)) || !assisting.yields(times.partialAt) {
		t.Errorf("at a peer, the request yields from %v to %v, want from %v", times.yieldFrom, times.urgentAt, times.partialAt)
	}
}
