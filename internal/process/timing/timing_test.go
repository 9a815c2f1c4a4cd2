package timing

import (
	"testing"
	"time"
)

// A slow target that gives 5 % of the answers does not change the hedge delay.
func TestSlowTargetDoesNotChangeTheHedgeDelay(t *testing.T) {
	tracker := New()
	if got := tracker.HedgeDelay("r", "north", true); got != defaultLocalHedgeDelay {
		t.Errorf("hedge delay %v without response times", got)
	}
	for i := range 400 {
		took := 10 * time.Millisecond
		if i%20 == 0 {
			took = 250 * time.Millisecond
		}
		tracker.Observe("r", "north", took)
	}
	if got := tracker.HedgeDelay("r", "north", true); got != 10*time.Millisecond+timerMargin {
		t.Errorf("hedge delay %v", got)
	}
	if got := tracker.Median("r", "north", true); got != 10*time.Millisecond {
		t.Errorf("median %v", got)
	}
	if got := tracker.HedgeDelay("r", "south", false); got != defaultRemoteHedgeDelay {
		t.Errorf("hedge delay %v in another region", got)
	}
}

// When all targets become slow, the hedge delay rises, so that hedges become rare
// again.
func TestHedgeDelayFollowsTheLoad(t *testing.T) {
	tracker := New()
	for range samples {
		tracker.Observe("r", "north", 10*time.Millisecond)
	}
	for range samples {
		tracker.Observe("r", "north", 90*time.Millisecond)
	}
	if got := tracker.HedgeDelay("r", "north", true); got < 90*time.Millisecond {
		t.Errorf("hedge delay %v", got)
	}
}
