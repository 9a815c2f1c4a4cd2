package member

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// maxDaemons is the size of the largest cluster.
const maxDaemons = 300

// cluster passes heartbeats in virtual time, without any socket.
type cluster struct {
	tables      map[string]*Table
	partitioned func(from, to string) bool
	now         time.Time
	sent        int
	// differs holds the time since which each table has differed from those of its
	// peers.
	differs map[string]time.Time
	// crossCentreRecords counts the records that were sent to another data centre.
	crossCentreRecords int
}

// newCluster creates daemons spread over data centres. Each daemon has a record of the
// first one of every data centre.
func newCluster(count, centres int) *cluster {
	c := &cluster{tables: map[string]*Table{}, differs: map[string]time.Time{}, now: start, partitioned: func(string, string) bool { return false }}
	for i := range count {
		name := fmt.Sprintf("d%d", i)
		c.tables[name] = New(start, Member{Name: name, Link: name, DataCentre: centreOf(i, centres), Incarnation: 1, State: Ready}, uint64(i))
		for first := range centres {
			seed := fmt.Sprintf("d%d", first)
			c.tables[name].Merge(start, []Member{{Name: seed, Link: seed, DataCentre: centreOf(first, centres), Incarnation: 1, State: Ready}})
		}
	}
	return c
}

func centreOf(number, centres int) string { return fmt.Sprintf("c%d", number%centres) }

// runInterval runs one heartbeat interval of every daemon, in a seeded order.
func (c *cluster) runInterval(random *rand.Rand) {
	c.now = c.now.Add(500 * time.Millisecond)
	names := make([]string, 0, len(c.tables))
	for i := range maxDaemons {
		if name := fmt.Sprintf("d%d", i); c.tables[name] != nil {
			names = append(names, name)
		}
	}
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		from := c.tables[name]
		from.Expire(c.now, 2*time.Second)
		news := from.News(c.now)
		recipients := from.Recipients(c.now, true)
		c.send(name, recipients.Local, news.Local)
		c.send(name, recipients.Gateways, news.Gateways)
		c.send(name, recipients.Remote, news.Own)
	}
}

// send sends one heartbeat to each member.
func (c *cluster) send(name string, recipients, updates []Member) {
	from := c.tables[name]
	for _, n := range recipients {
		to := c.tables[n.Name]
		if to == nil || c.partitioned(name, n.Name) {
			continue
		}
		c.sent++
		self := from.Self(c.now)
		updates := updates
		if n.State >= Silent {
			updates = append(slices.Clip(updates), n)
		}
		if n.DataCentre != self.DataCentre {
			c.crossCentreRecords += len(updates)
		}
		to.MergeFrom(c.now, name, updates)
		if to.Outdated(updates) && !c.partitioned(n.Name, name) {
			from.Merge(c.now, []Member{to.Self(c.now)})
		}
		record, known := to.RecordHeartbeat(c.now, self.Brief())
		if known && record.State != self.State && !c.partitioned(n.Name, name) {
			if len(from.Merge(c.now, []Member{record})) > 0 {
				to.Merge(c.now, []Member{from.Self(c.now)})
			}
		}
		c.compare(n.Name, name)
	}
}

// compare merges in the records that a table lacks once it has differed from the
// other tables for 3 s.
func (c *cluster) compare(name, other string) {
	table, from := c.tables[name], c.tables[other]
	switch {
	case table.Digest() == from.Digest():
		c.differs[name] = time.Time{}
	case c.differs[name].IsZero():
		c.differs[name] = c.now
	case c.now.Sub(c.differs[name]) > 3*time.Second && !c.partitioned(name, other) && !c.partitioned(other, name):
		c.differs[name] = c.now
		newer, older := from.Compare(c.now, table.Digests())
		from.Merge(c.now, table.Records(c.now, older))
		table.Merge(c.now, newer)
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

func TestClusterDetectsJoinsAndFailures(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, centres := range []int{1, 6, 20} {
		c := newCluster(60, centres)
		intervals := 0
		for ; !c.agree(60) && intervals < 60; intervals++ {
			c.runInterval(random)
		}
		if !c.agree(60) {
			t.Fatalf("60 daemons of %d data centres do not all have each other's records after 30 s", centres)
		}
		for _, name := range []string{"d3", "d7", "d8"} {
			delete(c.tables, name)
		}
		for intervals = 0; !c.agree(57) && intervals < 20; intervals++ {
			c.runInterval(random)
		}
		if !c.agree(57) {
			t.Errorf("not every daemon of %d data centres has detected the three dead daemons after 10 s", centres)
		}
	}
}

// A data centre loses power. The other daemons must detect that although its
// daemons were monitored mostly by each other.
func TestLostDataCentreIsDetected(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	c := newCluster(60, 6)
	for range 60 {
		c.runInterval(random)
	}
	for i := 0; i < 60; i += 6 {
		delete(c.tables, fmt.Sprintf("d%d", i))
	}
	intervals := 0
	for ; !c.agree(50) && intervals < 30; intervals++ {
		c.runInterval(random)
	}
	if !c.agree(50) {
		t.Error("not every daemon has detected the ten dead daemons of one data centre after 15 s")
	}
}

// All 300 daemons, which have each other's records, change their state at once. The
// number of records that cross data centres must grow with the number of daemons
// times that of data centres, not with the number of pairs of daemons.
func TestNewsOfAllCrossDataCentresFewTimes(t *testing.T) {
	const count, centres = 300, 6
	random := rand.New(rand.NewPCG(1, 2))
	c := newCluster(count, centres)
	for _, table := range c.tables {
		for _, other := range c.tables {
			self := other.Self(start)
			table.Merge(start, []Member{self})
			table.members[self.Name].sends = 0
		}
		table.self.sends = 0
	}
	for _, table := range c.tables {
		table.SetState(start, Leaving)
	}
	leaving := func() bool {
		for _, table := range c.tables {
			for _, m := range table.All(c.now) {
				if m.State != Leaving {
					return false
				}
			}
		}
		return true
	}
	intervals := 0
	for ; !leaving() && intervals < 40; intervals++ {
		c.runInterval(random)
	}
	if !leaving() {
		t.Fatal("not every daemon has recorded after 20 s that all others are leaving")
	}
	if limit := 8 * count * centres; c.crossCentreRecords > limit {
		t.Errorf("%d records crossed data centres, want %d at most", c.crossCentreRecords, limit)
	}
}

func TestHeartbeatsDoNotGrowWithTheCluster(t *testing.T) {
	for _, count := range []int{10, 100} {
		random := rand.New(rand.NewPCG(1, 2))
		c := newCluster(count, 1)
		for range 40 {
			c.runInterval(random)
		}
		c.sent = 0
		c.runInterval(random)
		if each := float64(c.sent) / float64(count); each > 2*degree+2 {
			t.Errorf("%d daemons send %.1f heartbeats each", count, each)
		}
	}
}

func TestNetworkPartitionHeals(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	c := newCluster(20, 1)
	for range 40 {
		c.runInterval(random)
	}
	half := func(name string) bool { return name < "d15" }
	c.partitioned = func(from, to string) bool { return half(from) != half(to) }
	for range 20 {
		c.runInterval(random)
	}
	if c.agree(20) {
		t.Fatal("the network partition was not detected")
	}
	c.partitioned = func(string, string) bool { return false }
	for range 40 {
		c.runInterval(random)
	}
	if !c.agree(20) {
		t.Error("the two halves did not merge within 20 s after the partition")
	}
}

// Guards against a live daemon that stays silent in the tables of some others, which have
// missed its refutation.
func TestMissedRefutationIsRepeated(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, believers := range []int{1, 2, 6} {
		c := newCluster(20, 1)
		for range 40 {
			c.runInterval(random)
		}
		subject := c.tables["d7"]
		subject.SetState(c.now, Ready)
		for range 20 {
			c.runInterval(random)
		}
		if !c.agree(20) {
			t.Fatal("the daemons do not have each other's records")
		}
		for i := range believers {
			e := c.tables[fmt.Sprint("d", 10+i)].members["d7"]
			e.State, e.Version, e.sends = Silent, subject.self.Version-1, 0
			c.tables[fmt.Sprint("d", 10+i)].dirty = true
		}
		// bound is as long as it takes to find a daemon silent.
		const bound = 2 * time.Second
		began := c.now
		for c.now.Sub(began) < bound && !c.agree(20) {
			c.runInterval(random)
		}
		if !c.agree(20) {
			t.Errorf("%d daemons hold a live one for silent for %v", believers, bound)
		}
	}
}

func TestOutdatedRecords(t *testing.T) {
	table := New(start, Member{Name: "a", Incarnation: 2, Version: 3, State: Ready}, 1)
	for _, tt := range []struct {
		name string
		in   Member
		want bool
	}{
		{"an older claim of silence", Member{Name: "a", Incarnation: 2, Version: 2, State: Silent}, true},
		{"a claim of silence", Member{Name: "a", Incarnation: 2, Version: 3, State: Silent}, true},
		{"an earlier process", Member{Name: "a", Incarnation: 1, Version: 9, State: Ready}, true},
		{"an older record", Member{Name: "a", Incarnation: 2, Version: 2, State: Joining}, false},
		{"the record", Member{Name: "a", Incarnation: 2, Version: 3, State: Ready}, false},
		{"another daemon", Member{Name: "b", Incarnation: 1, State: Silent}, false},
	} {
		if got := table.Outdated([]Member{tt.in}); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
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
