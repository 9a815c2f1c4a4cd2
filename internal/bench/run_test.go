package bench

import (
	"errors"
	"testing"
	"time"
)

// Guards against a panic of a scenario that is run with fewer shards or daemons than it
// acts on.
func TestScenarioRefusesTooSmallTier(t *testing.T) {
	for name, o := range map[string]Options{
		"SharedRate":  {Daemons: 1, Duration: time.Second},
		"LastReplica": {Shards: 1, Daemons: 1, Duration: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			s, found := Find(name)
			if !found {
				t.Fatal("there is no such scenario")
			}
			_, err := Run(t.Context(), s, o)
			var e *Error
			if !errors.As(err, &e) || e.Kind != KindInvalid {
				t.Errorf("error %v, want %s", err, KindInvalid)
			}
		})
	}
}
