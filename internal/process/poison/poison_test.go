package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestQuarantine(t *testing.T) {
	q := Query{Fingerprint: 1, Version: 7}
	loss := func(target, rack string) Loss { return Loss{Target: target, Domain: rack} }
	tests := []struct {
		name string
		do   func(r *Register)
		want bool
	}{
		{"one loss", func(r *Register) { r.Lost(start, q, loss("a", "r1")) }, false},
		{"the same target twice", func(r *Register) {
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("a", "r1"))
		}, false},
		{"two targets in two racks", func(r *Register) {
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r2"))
		}, true},
		{"two targets of one rack, where the rack may have failed", func(r *Register) {
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r1"))
		}, false},
		{"three targets of one rack", func(r *Register) {
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r1"))
			r.Lost(start, q, loss("c", "r1"))
		}, true},
		{"a success between two losses", func(r *Register) {
			r.Lost(start, q, loss("a", "r1"))
			r.Succeeded(start, q)
			r.Lost(start, q, loss("b", "r2"))
		}, false},
		{"losses found out after a success that their attempts were sent before", func(r *Register) {
			r.Succeeded(start, q)
			for _, target := range []string{"a", "b", "c"} {
				r.Lost(start.Add(time.Second), q, Loss{Target: target, Domain: target, Sent: start.Add(-time.Second)})
			}
			r.Lost(start.Add(2*time.Second), q, Loss{Target: "d", Domain: "d", Sent: start.Add(2 * time.Second)})
		}, false},
		{"losses of other daemons, found out likewise", func(r *Register) {
			r.Succeeded(start, q)
			r.Merge(start.Add(time.Second), []Entry{{Query: q, Losses: []Loss{
				{Target: "a", Domain: "a", RanMillis: 2000}, {Target: "b", Domain: "b", RanMillis: 1500, AgeMillis: 200}, {Target: "c", Domain: "c", RanMillis: 1200},
			}}})
			r.Lost(start.Add(2*time.Second), q, Loss{Target: "d", Domain: "d", Sent: start.Add(2 * time.Second)})
		}, false},
		{"a success at another index version only", func(r *Register) {
			r.Succeeded(start, Query{Fingerprint: 1, Version: 6})
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r2"))
		}, true},
		{"a loss reported by another daemon", func(r *Register) {
			r.Merge(start, []Entry{{Query: q, Losses: []Loss{loss("a", "r1")}}})
			r.Lost(start, q, loss("b", "r2"))
		}, true},
		{"an expired loss", func(r *Register) {
			r.Lost(start.Add(-2*lossLifetime), q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r2"))
		}, false},
		{"a mass failure", func(r *Register) {
			for i := range 10 {
				r.Lost(start, Query{Fingerprint: uint64(100 + i)}, loss(fmt.Sprint("t", i), "r9"))
			}
			r.Lost(start, q, loss("a", "r1"))
			r.Lost(start, q, loss("b", "r2"))
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			tt.do(r)
			if _, quarantined := r.Quarantined(start, q.Fingerprint); quarantined != tt.want {
				t.Errorf("quarantined: %v, want %v", quarantined, tt.want)
			}
		})
	}
}

func TestQuarantineExpires(t *testing.T) {
	r := New()
	q := Query{Fingerprint: 1}
	r.Lost(start, q, Loss{Target: "a", Domain: "r1"})
	r.Lost(start, q, Loss{Target: "b", Domain: "r2"})
	if left, quarantined := r.Quarantined(start.Add(quarantineDuration-time.Second), 1); !quarantined || left != time.Second {
		t.Errorf("quarantined: %v, for another %v, just before the end", quarantined, left)
	}
	if _, quarantined := r.Quarantined(start.Add(quarantineDuration), 1); quarantined {
		t.Error("still quarantined at the end")
	}
}

func TestMemoryIsBounded(t *testing.T) {
	r := New()
	for i := range 3 * maxSuspects {
		r.Lost(start, Query{Fingerprint: uint64(i)}, Loss{Target: "a"})
	}
	for i := range 3 * maxSuccesses {
		r.Succeeded(start, Query{Fingerprint: uint64(i)})
	}
	if len(r.suspects) > maxSuspects || len(r.succeeded) > maxSuccesses || len(r.succeededBefore) > maxSuccesses {
		t.Errorf("%d suspects, %d and %d successes", len(r.suspects), len(r.succeeded), len(r.succeededBefore))
	}
}

// A rack of two targets fails while new queries have two canaries in flight, each
// at a random target. Innocent queries stay out of quarantine only because failure
// domains are counted as well as targets: with a domain for each target, the
// queries that had both canaries in the rack are quarantined.
func TestRackFailureQuarantinesNoInnocentQuery(t *testing.T) {
	const queries, racks, perRack = 300, 3, 2
	quarantinedCount := func(domain func(target int) string, distinctRacks bool) int {
		random := rand.New(rand.NewPCG(9, 9))
		r := New()
		count := 0
		for n := range queries {
			q := Query{Fingerprint: uint64(n + 1)}
			first := random.IntN(racks * perRack)
			second := random.IntN(racks * perRack)
			for second == first || distinctRacks && second/perRack == first/perRack {
				second = random.IntN(racks * perRack)
			}
			// Each query meets a separate rack failure, a minute after the previous one.
			at := start.Add(time.Duration(n) * time.Minute)
			for _, target := range []int{first, second} {
				if target/perRack == 0 {
					r.Lost(at, q, Loss{Target: fmt.Sprint(target), Domain: domain(target)})
				}
			}
			if _, quarantined := r.Quarantined(at, q.Fingerprint); quarantined {
				count++
			}
		}
		return count
	}
	byTarget := quarantinedCount(func(target int) string { return fmt.Sprint(target) }, false)
	byRack := quarantinedCount(func(target int) string { return fmt.Sprint(target / perRack) }, false)
	inTwoRacks := quarantinedCount(func(target int) string { return fmt.Sprint(target) }, true)
	t.Logf("innocent queries quarantined of %d: %d counting targets only, %d counting racks, %d with canaries in two racks", queries, byTarget, byRack, inTwoRacks)
	if byTarget == 0 || byRack != 0 || inTwoRacks != 0 {
		t.Errorf("quarantined %d counting targets only, %d counting racks, %d with canaries in two racks", byTarget, byRack, inTwoRacks)
	}
}

// Guards against a register that grows with every target lost since its start, although
// no query is suspected of more than one loss.
func TestLossesAreForgottenAfterTheirWindow(t *testing.T) {
	const losses = 10_000
	r := New()
	for i := range losses {
		now := start.Add(time.Duration(i) * time.Minute)
		r.Lost(now, Query{Fingerprint: uint64(i)}, Loss{Target: fmt.Sprint("t", i), Domain: "r"})
	}
	if len(r.recentLosses) != 1 {
		t.Errorf("%d losses are remembered, want that of the last minute", len(r.recentLosses))
	}
}

// sentAgo returns a loss of an attempt that the target had had for the given time.
func sentAgo(target string, ran time.Duration, shared bool) Loss {
	return Loss{Target: target, Domain: target, RanMillis: ran.Milliseconds(), Shared: shared}
}

// Guards against quarantines of harmless requests that were running beside a deadly one,
// and against a deadly one that is not quarantined because of them.
func TestAmbiguousLossesNeedRepetition(t *testing.T) {
	const ran, moment = 20 * time.Millisecond, 200 * time.Microsecond
	q := Query{Fingerprint: 1, Version: 7}
	tests := []struct {
		name string
		do   func(r *Register) (now time.Time)
		want bool
	}{
		{"attempts that were sent together", func(r *Register) time.Time {
			r.Lost(start, q, sentAgo("a", ran, false))
			r.Lost(start.Add(time.Millisecond), q, sentAgo("b", ran, false))
			r.Lost(start.Add(2*time.Millisecond), q, sentAgo("c", ran, false))
			return start.Add(time.Second)
		}, false},
		{"an attempt that was sent after a loss", func(r *Register) time.Time {
			r.Lost(start, q, sentAgo("a", ran, false))
			r.Lost(start.Add(ran), q, sentAgo("b", ran, false))
			return start.Add(ran)
		}, true},
		{"attempts that were sent together and lost within a millisecond", func(r *Register) time.Time {
			for i, target := range []string{"a", "b", "c"} {
				r.Lost(start.Add(time.Duration(i)*moment), q, Loss{Target: target, Domain: target, Sent: start.Add(-moment)})
			}
			return start.Add(time.Second)
		}, false},
		{"an attempt that was sent and lost within a millisecond of a loss", func(r *Register) time.Time {
			r.Lost(start, q, Loss{Target: "a", Domain: "a", Sent: start.Add(-moment)})
			r.Lost(start.Add(2*moment), q, Loss{Target: "b", Domain: "b", Sent: start.Add(moment)})
			return start.Add(2 * moment)
		}, true},
		{"two targets that ran other requests as well", func(r *Register) time.Time {
			r.Lost(start, q, sentAgo("a", ran, true))
			r.Lost(start.Add(time.Second), q, sentAgo("b", ran, true))
			return start.Add(time.Second)
		}, false},
		{"three targets that ran other requests as well", func(r *Register) time.Time {
			r.Lost(start, q, sentAgo("a", ran, true))
			r.Lost(start.Add(time.Millisecond), q, sentAgo("b", ran, true))
			r.Lost(start.Add(time.Second), q, sentAgo("c", ran, true))
			return start.Add(time.Second)
		}, true},
		{"targets that are lost under other queries all the while", func(r *Register) time.Time {
			now := start
			for i := range 30 {
				now = start.Add(time.Duration(i) * 100 * time.Millisecond)
				r.Lost(now, Query{Fingerprint: uint64(100 + i)}, sentAgo(fmt.Sprint("t", i), ran, false))
				if i%10 == 0 {
					r.Lost(now, q, sentAgo(fmt.Sprint("own", i), ran, false))
				}
			}
			return now
		}, true},
		{"two losses after a success", func(r *Register) time.Time {
			r.Succeeded(start, q)
			r.Lost(start.Add(time.Second), q, sentAgo("a", ran, false))
			r.Lost(start.Add(2*time.Second), q, sentAgo("b", ran, false))
			return start.Add(2 * time.Second)
		}, false},
		{"three losses after a success", func(r *Register) time.Time {
			r.Succeeded(start, q)
			for i, target := range []string{"a", "b", "c"} {
				r.Lost(start.Add(time.Duration(i+1)*time.Second), q, sentAgo(target, ran, false))
			}
			return start.Add(3 * time.Second)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New()
			now := tt.do(r)
			if _, quarantined := r.Quarantined(now, q.Fingerprint); quarantined != tt.want {
				t.Errorf("quarantined: %v, want %v", quarantined, tt.want)
			}
		})
	}
}

// Guards against a request that is refused for minutes by mistake although it is known
// to be harmless, and against one that has become deadly and is tried again too often.
func TestQuarantinesOfKnownQueriesGrow(t *testing.T) {
	r := New()
	q := Query{Fingerprint: 1}
	r.Succeeded(start, q)
	now := start
	for round, want := range []time.Duration{2 * time.Second, 10 * time.Second, 50 * time.Second} {
		losses := lossesSameDomain
		if round > 0 {
			losses = 1
		}
		for i := range losses {
			now = now.Add(10 * time.Millisecond)
			r.Lost(now, q, sentAgo(fmt.Sprint(now, i), time.Millisecond, false))
		}
		if left, quarantined := r.Quarantined(now, 1); !quarantined || left != want {
			t.Fatalf("quarantined: %v, for %v, want %v", quarantined, left, want)
		}
		now = now.Add(want)
		if _, quarantined := r.Quarantined(now, 1); quarantined {
			t.Fatalf("still quarantined after %v", want)
		}
	}
}

// Guards against daemons that hold a request back although another one has seen it
// succeed.
func TestSuccessClearsTheSuspicionOfOtherDaemons(t *testing.T) {
	q := Query{Fingerprint: 1}
	tests := []struct {
		name      string
		succeedAt time.Time
		want      bool
	}{
		{"before the losses", start.Add(-time.Second), true},
		{"after the losses, before they are told", start.Add(3 * time.Second), false},
		{"after they are told", start.Add(5 * time.Second), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			suspicious, other := New(), New()
			succeed := func(now time.Time) {
				if now.Equal(tt.succeedAt) {
					other.Succeeded(now, q)
				}
			}
			succeed(start.Add(-time.Second))
			for i, target := range []string{"a", "b", "c"} {
				suspicious.Lost(start.Add(time.Duration(i)*time.Second), q, sentAgo(target, time.Millisecond, false))
			}
			succeed(start.Add(3 * time.Second))
			told := start.Add(4 * time.Second)
			other.Merge(told, suspicious.Entries(told, 16))
			succeed(start.Add(5 * time.Second))
			now := start.Add(6 * time.Second)
			suspicious.Merge(now, other.Entries(now, 16))
			if _, quarantined := suspicious.Quarantined(now, 1); quarantined != tt.want {
				t.Errorf("quarantined: %v, want %v", quarantined, tt.want)
			}
		})
	}
}

// Guards against heartbeats that carry other suspects than those that matter.
func TestQuarantinedQueriesAreToldFirst(t *testing.T) {
	r := New()
	for i, target := range []string{"a", "b"} {
		r.Lost(start.Add(time.Duration(i)*time.Second), Query{Fingerprint: 1}, sentAgo(target, time.Millisecond, false))
	}
	now := start.Add(10 * time.Second)
	for i := range 100 {
		r.Lost(now.Add(time.Duration(i)*time.Millisecond), Query{Fingerprint: uint64(i + 2)}, sentAgo(fmt.Sprint(i), time.Millisecond, false))
	}
	entries := r.Entries(now.Add(time.Second), 3)
	want := []uint64{1, 101, 100}
	for i, fingerprint := range want {
		if i >= len(entries) || entries[i].Query.Fingerprint != fingerprint {
			t.Fatalf("entries %+v, want the fingerprints %v", entries, want)
		}
	}
}

// Guards against a harmless query that other daemons quarantine since the times that they
// are told are rounded, and against a deadly one that they don't.
func TestRoundingForOtherDaemonsKeepsTheOrderOfLosses(t *testing.T) {
	const moment = 100 * time.Microsecond
	q := Query{Fingerprint: 1, Version: 7}
	for _, tt := range []struct {
		name string
		// sent is when the second attempt was sent, counted from the loss of the first.
		sent time.Duration
		want bool
	}{{"sent together", -moment, false}, {"sent later", 3 * time.Millisecond, true}} {
		for offset := range 50 {
			a, b := New(), New()
			a.Lost(start, q, Loss{Target: "a", Domain: "a", Sent: start.Add(-moment)})
			now := start.Add(max(0, tt.sent) + 7*moment)
			a.Lost(now, q, Loss{Target: "b", Domain: "b", Sent: start.Add(tt.sent)})
			now = now.Add(time.Duration(offset) * moment / 2)
			b.Merge(now, a.Entries(now, 1))
			for name, r := range map[string]*Register{"this daemon": a, "another one": b} {
				if _, quarantined := r.Quarantined(now, q.Fingerprint); quarantined != tt.want {
					t.Errorf("%s, told %v later, at %s: quarantined %v", tt.name, now.Sub(start), name, quarantined)
				}
			}
		}
	}
}
