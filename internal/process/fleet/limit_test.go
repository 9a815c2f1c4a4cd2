package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/alloc"
	"github.com/magnoliarelay/magnoliarelay/internal/process/roster"
)

// limitOf returns a reply to a request sent at the given time, which names the limit.
func limitOf(perSecond float64, sent time.Time) Statement {
	return Statement{Request: "r", Limit: &perSecond, Sent: sent, Answered: true}
}

// sendAll sends as many requests as the fleet admits, one every 10 ms, and returns when.
func sendAll(f *Fleet, from, until time.Time) (sent []time.Time) {
	for now := from; now.Before(until); now = now.Add(10 * time.Millisecond) {
		if c := pickNow(f, now); c.Target != nil {
			sent = append(sent, now)
			f.Finish(now, c.Target, 0, Success, 0.001, nil)
		}
	}
	return sent
}

// Guards against limits that are not followed from answer to answer, and against those
// that never end.
func TestLimitFollowsTheAnswers(t *testing.T) {
	later := start.Add(time.Second)
	tests := []struct {
		name string
		say  func(f *Fleet, t *Target)
		// limit is the one in force in the ten seconds after it; zero means none.
		limit   float64
		notices []NoticeKind
	}{
		{"a limit", func(f *Fleet, a *Target) { f.RecordStatement(later, a, limitOf(4, start)) }, 4, []NoticeKind{NoticeLimit}},
		{"a limit that rises", func(f *Fleet, a *Target) {
			f.RecordStatement(start, a, limitOf(4, start))
			f.RecordStatement(later, a, limitOf(8, start))
		}, 8, []NoticeKind{NoticeLimit, NoticeLimit}},
		{"a limit that falls", func(f *Fleet, a *Target) {
			f.RecordStatement(start, a, limitOf(40, start))
			f.RecordStatement(later, a, limitOf(1, start))
		}, 1, []NoticeKind{NoticeLimit, NoticeLimit}},
		{"a limit that changes little", func(f *Fleet, a *Target) {
			f.RecordStatement(start, a, limitOf(4, start))
			f.RecordStatement(later, a, limitOf(4.5, start))
		}, 4.5, []NoticeKind{NoticeLimit}},
		{"an end", func(f *Fleet, a *Target) {
			f.RecordStatement(start, a, limitOf(4, start))
			f.RecordStatement(later, a, Statement{Request: "r", Sent: start.Add(time.Millisecond), Answered: true})
		}, 0, []NoticeKind{NoticeLimit, NoticeNoLimit}},
		{"a late answer to an earlier request", func(f *Fleet, a *Target) {
			f.RecordStatement(start, a, limitOf(4, start))
			f.RecordStatement(later, a, Statement{Request: "r", Sent: start.Add(-time.Millisecond), Answered: true})
		}, 4, []NoticeKind{NoticeLimit}},
		{"a rejection that names none", func(f *Fleet, a *Target) {
			f.RecordStatement(start, a, limitOf(4, start))
			f.RecordStatement(later, a, Statement{Request: "r", Sent: start.Add(time.Millisecond)})
		}, 4, []NoticeKind{NoticeLimit}},
		{"invalid values", func(f *Fleet, a *Target) {
			f.RecordStatement(start, a, limitOf(4, start))
			for range 3 {
				f.RecordStatement(later, a, Statement{Request: "r", InvalidLimit: "few", Sent: start.Add(time.Millisecond), Answered: true})
			}
		}, 4, []NoticeKind{NoticeLimit, NoticeInvalidLimit}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, notices := registeredPool(entry("a", "1", 1, 1))
			tt.say(f, f.targets["a"])
			least, most := int(10*tt.limit)-1, int(10*tt.limit+limitBurst+tt.limit*limitBurstTime.Seconds())
			if tt.limit == 0 {
				least, most = 1000, 1000
			}
			if count := len(sendAll(f, later, later.Add(10*time.Second))); count < least || count > most {
				t.Errorf("%d requests in ten seconds, want %d to %d", count, least, most)
			}
			var kinds []NoticeKind
			for _, n := range *notices {
				kinds = append(kinds, n.Kind)
			}
			if !slices.Equal(kinds, tt.notices) {
				t.Errorf("notices %v, want %v", kinds, tt.notices)
			}
		})
	}
}

// Guards against a limit that is taken for that of another process, and against one that
// is forgotten since the registration lapsed.
func TestLimitBelongsToOneBoot(t *testing.T) {
	tests := []struct {
		name  string
		next  func(f *Fleet)
		least int
		most  int
	}{
		{"the address is reused", func(f *Fleet) { register(f, start, entry("b", "1", 1, 2)) }, 1000, 1000},
		{"the target restarts", func(f *Fleet) { register(f, start, entry("a", "1", 2, 2)) }, 1000, 1000},
		{"the registration lapses and comes back", func(f *Fleet) {
			register(f, start)
			register(f, start, entry("a", "1", 1, 3))
		}, 0, 45},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, _ := registeredPool(entry("a", "1", 1, 1))
			f.RecordStatement(start, f.targets["a"], limitOf(4, start))
			tt.next(f)
			f.SetConnections(20)
			if count := len(sendAll(f, start, start.Add(10*time.Second))); count < tt.least || count > tt.most {
				t.Errorf("%d requests in ten seconds, want %d to %d", count, tt.least, tt.most)
			}
		})
	}
}

// Guards against daemons that together exceed a limit which each of them keeps to: after
// a calm, in a burst, when there are many of them, or when the limit is small.
func TestLimitsAddUpOverDaemons(t *testing.T) {
	const window = 4 * time.Second
	for _, daemons := range []int{1, 8, 40, 300} {
		for _, limit := range []float64{MinLimit, 1, 3.7, 18, 200} {
			t.Run(fmt.Sprintf("%d daemons, %v a second", daemons, limit), func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(daemons), 5))
				fleets := make([]*Fleet, daemons)
				for i := range fleets {
					fleets[i], _ = registeredPool(entry("a", "1", 1, 1))
					fleets[i].SetLimitFraction(start, alloc.UsableFraction/float64(daemons))
					fleets[i].RecordStatement(start, fleets[i].targets["a"], limitOf(limit, start))
				}
				var sent []time.Time
				// Each daemon saves up what it can before the burst.
				begin := start.Add(time.Hour)
				for now := begin; now.Before(begin.Add(20 * time.Second)); now = now.Add(50 * time.Millisecond) {
					for _, f := range fleets {
						g := NewGroup([]*Fleet{f})
						g.Draw = random.Float64()
						for c := g.pickAt(now); c.Target != nil; c = g.pickAt(now) {
							sent = append(sent, now)
							f.Finish(now, c.Target, 0, Success, 0.001, nil)
						}
					}
				}
				most, first := 0, 0
				for last, at := range sent {
					for at.Sub(sent[first]) >= window {
						first++
					}
					most = max(most, last-first+1)
				}
				if allowed := 1.5*limit*window.Seconds() + 5; float64(most) > allowed {
					t.Errorf("%d requests in %v, allowed %.1f", most, window, allowed)
				}
				if wanted := limit * 20; wanted > 10 && float64(len(sent)) < 0.7*wanted {
					t.Errorf("%d requests in 20 s, of %.0f that the limit allows", len(sent), wanted)
				}
			})
		}
	}
}

// Guards against urgent requests that are refused since others have taken what a limit
// allows.
func TestHigherRanksGoFirst(t *testing.T) {
	f, _ := registeredPool(entry("a", "1", 1, 1), entry("b", "2", 1, 1))
	for _, target := range f.order {
		f.RecordStatement(start, target, limitOf(4, start))
	}
	served, asked := [2]int{}, [2]int{}
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		rank := 1
		if i%10 == 0 {
			rank = 0
		}
		g := NewGroup([]*Fleet{f})
		g.Rank = rank
		asked[rank]++
		if g.AvailableShards(now) == 0 {
			continue
		}
		if c := g.pickAt(now); c.Target != nil {
			served[rank]++
			f.Finish(now, c.Target, 0, Success, 0.001, nil)
		}
	}
	t.Logf("served %v of %v", served, asked)
	if served[0] < asked[0]*95/100 {
		t.Errorf("%d of %d urgent requests served", served[0], asked[0])
	}
	if total := served[0] + served[1]; total < 140 || total > 164 {
		t.Errorf("%d requests in 20 s, limits of 8 a second", total)
	}
}

// Guards against a gather through a peer that is charged twice or not at all.
func TestGrantIsChargedToTheAsker(t *testing.T) {
	asker, _ := registeredPool(entry("a", "1", 1, 1))
	peer, _ := registeredPool(entry("a", "1", 1, 1))
	for _, f := range []*Fleet{asker, peer} {
		f.RecordStatement(start, f.targets["a"], limitOf(1, start))
	}
	now := start.Add(1100 * time.Millisecond)
	group := NewGroup([]*Fleet{asker})
	shards, granted := group.Grant(now, []int{0}, "here")
	if len(shards) != 1 || granted[0] != "a" {
		t.Fatalf("granted %v for %v", granted, shards)
	}
	if shards, _ := group.Grant(now, []int{0}, "here"); len(shards) != 0 {
		t.Error("the same token was granted twice")
	}
	if shards, _ := group.Grant(now, []int{0}, "away"); len(shards) != 0 {
		t.Error("a region without a target was granted a token")
	}
	atPeer := NewGroup([]*Fleet{peer})
	atPeer.Granted = func(int) string { return granted[0] }
	if c := atPeer.pickAt(now); c.Target == nil {
		t.Fatalf("the granted request is not sent: %+v", c)
	}
	if c := pickNow(peer, now); c.Target == nil {
		t.Error("the granted request has taken the peer's own token")
	}
	if c := pickNow(peer, now); c.Verdict != OverLimit {
		t.Errorf("%+v, want OverLimit", c)
	}
}

// Guards against tokens that are lost with requests which were not sent, and against
// waiting requests that pass by a limit which comes meanwhile.
func TestUnsentRequestsGiveTokensBack(t *testing.T) {
	f, _ := registeredPool(entry("a", "1", 1, 1))
	a := f.targets["a"]
	recalled := a.Recalled()
	f.RecordStatement(start, a, limitOf(1, start))
	select {
	case <-recalled:
	default:
		t.Error("the limit does not recall waiting requests")
	}
	now := start.Add(1100 * time.Millisecond)
	for _, outcome := range []Outcome{Withheld, Withheld, Success} {
		c := pickNow(f, now)
		if c.Target == nil {
			t.Fatalf("%+v before outcome %s", c, outcome)
		}
		f.Finish(now, c.Target, 0, outcome, 0, nil)
	}
	if c := pickNow(f, now); c.Verdict != OverLimit {
		t.Errorf("%+v after the token was used, want OverLimit", c)
	}
}

// Guards against notices of peers that override what the target itself has just said, or
// that concern another process of it.
func TestPeersTellOfLimits(t *testing.T) {
	tests := []struct {
		name string
		tell func(f *Fleet) bool
		news bool
		most int
	}{
		{"a limit", func(f *Fleet) bool { return f.RecordPeerLimit(start, "a", 1, 4) }, true, 42},
		{"an end", func(f *Fleet) bool {
			f.RecordPeerLimit(start.Add(-time.Second), "a", 1, 4)
			return f.RecordPeerLimit(start, "a", 1, 0)
		}, true, 1000},
		{"another process", func(f *Fleet) bool { return f.RecordPeerLimit(start, "a", 2, 4) }, false, 1000},
		{"an unknown target", func(f *Fleet) bool { return f.RecordPeerLimit(start, "z", 1, 4) }, false, 1000},
		{"a value that is no limit", func(f *Fleet) bool { return f.RecordPeerLimit(start, "a", 1, -4) }, false, 1000},
		{"an end, right after a reply with a limit", func(f *Fleet) bool {
			f.RecordStatement(start, f.targets["a"], limitOf(4, start))
			return f.RecordPeerLimit(start, "a", 1, 0)
		}, false, 42},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, _ := registeredPool(entry("a", "1", 1, 1))
			if news := tt.tell(f); news != tt.news {
				t.Errorf("news %v, want %v", news, tt.news)
			}
			if count := len(sendAll(f, start, start.Add(10*time.Second))); count > tt.most || tt.most == 1000 && count < 1000 {
				t.Errorf("%d requests in ten seconds, want %d at most", count, tt.most)
			}
		})
	}
}

// Guards against shards that are short of targets at daemons which use a part of the
// replicas, since all of these have named limits.
func TestReplicasWithLimitsAreReplacedInTheSubset(t *testing.T) {
	entries := make([]roster.Entry, 8)
	for i := range entries {
		entries[i] = entry(strconv.Itoa(i), strconv.Itoa(i), 1, 1)
	}
	f, _ := registeredPool(entries...)
	f.SetDaemons(300)
	used := slices.Clone(f.Plan().Replicas[0])
	f.RecordStatement(start, used[0], limitOf(1, start))
	f.RecordPeerLimit(start, used[1].ID, 1, 1)
	if got := f.Plan().Replicas[0]; len(got) != minSubset+2 || !slices.Contains(got, used[0]) {
		t.Errorf("%d replicas while two have limits, want %d", len(got), minSubset+2)
	}
	f.RecordStatement(start.Add(2*time.Second), used[0], Statement{Sent: start.Add(time.Second), Answered: true})
	f.RecordPeerLimit(start.Add(2*time.Second), used[1].ID, 1, 0)
	if got := f.Plan().Replicas[0]; len(got) != minSubset {
		t.Errorf("%d replicas after the limits, want %d", len(got), minSubset)
	}
}
