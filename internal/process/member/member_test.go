package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestMergePrecedence(t *testing.T) {
	base := Member{Name: "b", Incarnation: 2, Version: 3, State: Ready}
	tests := []struct {
		name string
		in   Member
		want bool
	}{
		{"the same", base, false},
		{"an older incarnation", Member{Name: "b", Incarnation: 1, Version: 9, State: Ready}, false},
		{"a newer incarnation", Member{Name: "b", Incarnation: 3, State: Joining}, true},
		{"an older version", Member{Name: "b", Incarnation: 2, Version: 2, State: Gone}, false},
		{"a claim of silence", Member{Name: "b", Incarnation: 2, Version: 3, State: Silent}, true},
		{"a refutation", Member{Name: "b", Incarnation: 2, Version: 4, State: Ready}, true},
		{"an unknown that is gone", Member{Name: "c", Incarnation: 2, State: Gone}, false},
		{"no name", Member{Incarnation: 9}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := New(start, Member{Name: "a", State: Ready}, 1)
			table.Merge(start, []Member{base})
			if got := len(table.Merge(start, []Member{tt.in})) == 1; got != tt.want {
				t.Errorf("news %v, want %v", got, tt.want)
			}
		})
	}
}

func TestFalseClaimIsRefuted(t *testing.T) {
	table := New(start, Member{Name: "a", Incarnation: 1, State: Ready}, 1)
	table.Merge(start, []Member{{Name: "a", Incarnation: 1, State: Silent}})
	self := table.Self(start)
	if self.State != Ready || self.Version != 1 {
		t.Errorf("self %+v, want ready at version 1", self)
	}
}

// cluster passes heartbeats in virtual time, without any socket.
type cluster struct {
	tables map[string]*Table
	cut    func(from, to string) bool
	now    time.Time
	sent   int
}

func newCluster(count int) *cluster {
	c := &cluster{tables: map[string]*Table{}, now: start, cut: func(string, string) bool { return false }}
	for i := range count {
		name := fmt.Sprintf("d%d", i)
		c.tables[name] = New(start, Member{Name: name, Link: name, Incarnation: 1, State: Ready}, uint64(i))
		c.tables[name].Merge(start, []Member{{Name: "d0", Link: "d0", Incarnation: 1, State: Ready}})
	}
	return c
}

// beat is one heartbeat interval of every daemon, in a seeded order.
func (c *cluster) beat(random *rand.Rand) {
	c.now = c.now.Add(500 * time.Millisecond)
	names := make([]string, 0, len(c.tables))
	for i := range len(c.tables) + 8 {
		if name := fmt.Sprintf("d%d", i); c.tables[name] != nil {
			names = append(names, name)
		}
	}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		from := c.tables[name]
		from.Expire(c.now, 2*time.Second)
		updates := from.Updates(c.now)
		for _, n := range from.Neighbours(c.now, len(updates) > 0) {
			to := c.tables[n.Name]
			if to == nil || c.cut(name, n.Name) {
				continue
			}
			c.sent++
			self := from.Self(c.now)
			to.Merge(c.now, updates)
			record, known := to.Heard(c.now, self.Brief())
			if known && record.State != self.State && !c.cut(n.Name, name) {
				from.Merge(c.now, []Member{record})
			}
		}
	}
}

func (c *cluster) agree(live int) bool {
	for _, table := range c.tables {
		if table.Live() != live {
			return false
		}
	}
	return true
}

func TestClusterFindsEachOtherAndTheDead(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	c := newCluster(60)
	beats := 0
	for ; !c.agree(60) && beats < 60; beats++ {
		c.beat(random)
	}
	if !c.agree(60) {
		t.Fatal("60 daemons do not know each other after 30 s")
	}
	for _, name := range []string{"d3", "d7", "d8"} {
		delete(c.tables, name)
	}
	for beats = 0; !c.agree(57) && beats < 20; beats++ {
		c.beat(random)
	}
	if !c.agree(57) {
		t.Error("three dead daemons are not all known to be silent after 10 s")
	}
}

func TestHeartbeatsDoNotGrowWithTheTier(t *testing.T) {
	for _, count := range []int{10, 100} {
		random := rand.New(rand.NewPCG(1, 2))
		c := newCluster(count)
		for range 40 {
			c.beat(random)
		}
		c.sent = 0
		c.beat(random)
		if each := float64(c.sent) / float64(count); each > degree+2 {
			t.Errorf("%d daemons send %.1f heartbeats each", count, each)
		}
	}
}

func TestHalvesOfACutNetworkHeal(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	c := newCluster(20)
	for range 40 {
		c.beat(random)
	}
	half := func(name string) bool { return name < "d15" }
	c.cut = func(from, to string) bool { return half(from) != half(to) }
	for range 20 {
		c.beat(random)
	}
	if c.agree(20) {
		t.Fatal("the cut was not noticed")
	}
	c.cut = func(string, string) bool { return false }
	for range 40 {
		c.beat(random)
	}
	if !c.agree(20) {
		t.Error("the halves did not heal within 20 s")
	}
}

func TestUptimeIsCarriedForward(t *testing.T) {
	table := New(start, Member{Name: "a", State: Ready}, 1)
	table.Merge(start, []Member{{Name: "b", Incarnation: 1, State: Ready, UptimeMillis: 5000}})
	m, _ := table.Find(start.Add(3*time.Second), "b")
	if m.UptimeMillis != 8000 {
		t.Errorf("uptime %d ms, want 8000", m.UptimeMillis)
	}
}
