package room

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// client opens a claim and records its eviction.
func client(r *Room, evicted map[string]bool, name string) *Claim {
	return r.Open(func() { evicted[name] = true })
}

func mustTake(t *testing.T, c *Claim, now time.Time, bytes int64) {
	t.Helper()
	if !c.Take(now, bytes) {
		t.Fatalf("no room for %d bytes", bytes)
	}
}

func TestOneRequestAloneFitsWhateverItsSize(t *testing.T) {
	r := &Room{MaxBytes: 64 << 10}
	c := client(r, map[string]bool{}, "a")
	mustTake(t, c, start, 1<<20)
	mustTake(t, c, start, 1<<20)
	c.Close()
	if used := r.Used(); used != 0 {
		t.Errorf("%d bytes are used after the end", used)
	}
}

// The client that holds the most for the longest time makes room, not the one that came
// last, nor one that is being served.
func TestWhoIsEvicted(t *testing.T) {
	r, evicted := &Room{MaxBytes: 400 << 10}, map[string]bool{}
	served, small, large, recent := client(r, evicted, "served"), client(r, evicted, "small"), client(r, evicted, "large"), client(r, evicted, "recent")
	for _, c := range []*Claim{served, small, large} {
		c.Await(start)
	}
	mustTake(t, served, start, 150<<10)
	mustTake(t, small, start, 10<<10)
	mustTake(t, large, start, 100<<10)
	if !served.Serve() {
		t.Error("a client was evicted while there was room")
	}
	later := start.Add(2 * minWait)
	recent.Await(later)
	mustTake(t, recent, later, 30<<10)
	newest := client(r, evicted, "newest")
	newest.Await(later)
	mustTake(t, newest, later, 60<<10)
	if len(evicted) != 1 || !evicted["large"] {
		t.Errorf("evicted %v, want the large one", evicted)
	}
	if large.Serve() || large.Take(later, 1) {
		t.Error("an evicted client goes on")
	}
}

// While everybody has come just now or is being served, a large request is refused; a small
// one finds the reserved room.
func TestSmallRequestsFindRoom(t *testing.T) {
	r, evicted := &Room{MaxBytes: 400 << 10}, map[string]bool{}
	held := client(r, evicted, "held")
	held.Await(start)
	mustTake(t, held, start, 300<<10)
	small, large := client(r, evicted, "small"), client(r, evicted, "large")
	if large.Take(start.Add(minWait/2), SmallBytes+1) {
		t.Error("there was room for a large request")
	}
	mustTake(t, small, start.Add(minWait/2), SmallBytes)
	if len(evicted) > 0 {
		t.Errorf("evicted %v", evicted)
	}
}

// What is read for a request that has ended, such as the reply to a second attempt, takes
// no room, and neither does a claim that is closed twice.
func TestClosedClaimTakesNothing(t *testing.T) {
	r := &Room{MaxBytes: 64 << 10}
	c := client(r, map[string]bool{}, "a")
	mustTake(t, c, start, 100)
	c.Close()
	c.Close()
	mustTake(t, c, start, SmallBytes)
	c.Give(SmallBytes)
	if !c.Closed() || c.Take(start, SmallBytes+1) {
		t.Error("much is read for a request that has ended")
	}
	if used := r.Used(); used != 0 {
		t.Errorf("%d bytes are used", used)
	}
}

// Claims that each hold a part of what they need don't wait for each other for ever.
func TestOneOfTheWaitingGoesOn(t *testing.T) {
	r := &Room{MaxBytes: 400 << 10}
	first, second := client(r, nil, ""), client(r, nil, "")
	mustTake(t, first, start, 150<<10)
	mustTake(t, second, start, 150<<10)
	if first.Take(start, 100<<10) || second.Take(start, 100<<10) {
		t.Fatal("there was room")
	}
	endFirst, endSecond := first.Wait(), second.Wait()
	defer endSecond()
	mustTake(t, first, start, 100<<10)
	endFirst()
	if second.Take(start, 100<<10) {
		t.Error("two claims took more than there is")
	}
	first.Close()
	mustTake(t, second, start, 100<<10)
}
