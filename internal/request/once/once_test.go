package once

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func home() *Home {
	return New(Config{Daemon: "d1", Incarnation: 5, MaxTokenLife: time.Minute, MaxKeys: 3})
}

func token(expiry time.Duration) Token {
	return Token{Daemon: "d1", Incarnation: 5, ExpiryMillis: expiry.Milliseconds()}
}

func TestBegin(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(h *Home)
		uptime  time.Duration
		token   Token
		content uint64
		want    Verdict
	}{
		{"first", nil, 0, token(time.Minute), 1, Run},
		{"another daemon", nil, 0, Token{Daemon: "d2", Incarnation: 5, ExpiryMillis: 1000}, 1, WrongHome},
		{"an earlier incarnation", nil, 0, Token{Daemon: "d1", Incarnation: 4, ExpiryMillis: 1000}, 1, WrongHome},
		{"an expired token", nil, time.Minute, token(time.Minute), 1, Expired},
		{"a token from too far ahead", nil, 0, token(2 * time.Minute), 1, Expired},
		{"while it runs", func(h *Home) { h.Begin(0, token(time.Minute), "k", 1) }, time.Second, token(time.Minute), 1, Wait},
		{"after it ran", func(h *Home) {
			e, _ := h.Begin(0, token(time.Minute), "k", 1)
			h.Finish(e, Result{Outcome: Done})
		}, time.Second, token(time.Minute), 1, Replay},
		{"with another command", func(h *Home) { h.Begin(0, token(time.Minute), "k", 1) }, time.Second, token(time.Minute), 2, Mismatch},
		{"known, though its token has expired", func(h *Home) {
			e, _ := h.Begin(0, token(time.Minute), "k", 1)
			h.Finish(e, Result{Outcome: Done})
		}, 2 * time.Minute, token(time.Minute), 1, Replay},
		{"full", func(h *Home) {
			for _, key := range []string{"a", "b", "c"} {
				h.Begin(0, token(time.Minute), key, 1)
			}
		}, time.Second, token(time.Minute), 1, Full},
		{"new at a closed home", func(h *Home) { h.Close() }, time.Second, token(time.Minute), 1, Closed},
		{"running at a closed home", func(h *Home) {
			h.Begin(0, token(time.Minute), "k", 1)
			h.Close()
		}, time.Second, token(time.Minute), 1, Wait},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := home()
			if tt.prepare != nil {
				tt.prepare(h)
			}
			if _, got := h.Begin(tt.uptime, tt.token, "k", tt.content); got != tt.want {
				t.Errorf("verdict %v, want %v", got, tt.want)
			}
		})
	}
}

func TestTokenRoundTrip(t *testing.T) {
	want := Token{Daemon: "entry-1", Incarnation: 1 << 60, ExpiryMillis: 123456}
	got, err := ParseToken(want.String())
	if err != nil || got != want {
		t.Errorf("parsed %+v, %v", got, err)
	}
	for _, bad := range []string{"", "a", "a.b", ".1.1", "a.*.1", "a.1.*", "a.1.1.1"} {
		if _, err := ParseToken(bad); err == nil {
			t.Errorf("%q was parsed", bad)
		}
	}
}

// For any intervals between requests and sweeps, a request runs at most once.
func TestAKeyRunsAtMostOnce(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(11))
	properties.Property("at most one run", prop.ForAll(func(steps []int) bool {
		h := home()
		uptime := time.Duration(0)
		runs := 0
		tokens := []Token{token(time.Minute)}
		for _, step := range steps {
			uptime += time.Duration(step%7000) * time.Millisecond
			h.Sweep(uptime)
			entry, verdict := h.Begin(uptime, tokens[0], "k", 1)
			if verdict == Run {
				runs++
				h.Finish(entry, Result{Outcome: Unknown})
			}
		}
		return runs <= 1
	}, gen.SliceOfN(60, gen.IntRange(0, 100000))))
	properties.TestingRun(t)
}

// Guards against a search through all keys with each command that a full home refuses.
func TestFullHomeSweepsOnceInAWhile(t *testing.T) {
	h := home()
	for _, key := range []string{"a", "b", "c"} {
		e, _ := h.Begin(0, token(time.Second), key, 1)
		if key != "c" {
			h.Finish(e, Result{Outcome: Done})
		}
	}
	later := 2 * time.Second
	if _, verdict := h.Begin(later, token(time.Minute), "d", 1); verdict != Run {
		t.Fatalf("%v after the keys have expired", verdict)
	}
	if _, verdict := h.Begin(later, token(time.Minute), "e", 1); verdict != Run {
		t.Fatalf("%v for the second key", verdict)
	}
	sweeps := 0
	for i := range 100 {
		before := h.nextSweep
		if _, verdict := h.Begin(later+time.Duration(i)*10*time.Millisecond, token(time.Minute), "f", 1); verdict != Full {
			t.Fatalf("%v while the home is full", verdict)
		}
		if h.nextSweep != before {
			sweeps++
		}
	}
	if sweeps > 1 {
		t.Errorf("%d sweeps in a second", sweeps)
	}
}
