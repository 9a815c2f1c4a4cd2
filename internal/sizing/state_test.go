package sizing

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/gossip"
	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

var start = time.Unix(1000, 0)

func newMember(i int) member.Member {
	return member.Member{
		Name: fmt.Sprintf("entry-%04d", i), Link: fmt.Sprintf("10.%d.%d.1:7100", i/256, i%256), URL: fmt.Sprintf("http://10.%d.%d.1:7000", i/256, i%256),
		DataCentre: fmt.Sprintf("dc-%02d", i%17), Region: fmt.Sprintf("region-%d", i%5), Incarnation: 1, State: member.Ready,
	}
}

func newTable(members int) *member.Table {
	t := member.New(start, newMember(0), 1)
	for i := 1; i < members; i++ {
		t.Merge(start, []member.Member{newMember(i)})
	}
	return t
}

// newFleet returns the fleet of a service whose targets hold one shard each.
func newFleet(daemons, targets, shards int) *fleet.Fleet {
	f := fleet.New(fleet.Config{Daemon: "entry-0000", Service: "S", Seed: 1})
	hosts := make([]wire.Host, 0, targets)
	address := func(i int) string { return fmt.Sprintf("10.%d.%d.%d:9000", 100+i/65536, i/256%256, i%256) }
	for i := range targets {
		hosts = append(hosts, wire.Host{Address: address(i), Region: "region-1", DataCentre: fmt.Sprintf("dc-%02d", i%17), Rack: fmt.Sprint("rack-", i%100)})
	}
	f.SetDaemons(daemons)
	f.SetHosts(start, hosts)
	for i := range targets {
		f.Report(start, address(i), &wire.TargetStatus{
			Incarnation: "1", Slots: 6, Connections: 40,
			Indexes: []wire.Index{{Service: "S", Version: 1, ShardCount: shards, Shards: []int{i % shards}}},
		})
	}
	f.Plan()
	return f
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkState builds the control state of one daemon and reports its heap size.
func BenchmarkState(b *testing.B) {
	for _, members := range []int{200, 1000, 2000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				t := newTable(members)
				b.ReportMetric(float64(heapBytes()-before)/1024, "heap-KB")
				runtime.KeepAlive(t)
			}
		})
	}
	for _, targets := range []int{7200, 36000, 72000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				f := newFleet(2000, targets, 260)
				b.ReportMetric(float64(heapBytes()-before)/1024, "heap-KB")
				runtime.KeepAlive(f)
			}
		})
	}
}

// BenchmarkSecond measures the control work of one second in a daemon with up to
// 2,000 members in its table: sending and receiving heartbeats, and updates of
// restarts.
func BenchmarkSecond(b *testing.B) {
	for _, members := range []int{200, 1000, 2000} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			t := newTable(members)
			random := rand.New(rand.NewPCG(1, 1))
			now := start
			version := uint64(1)
			for b.Loop() {
				now = now.Add(time.Second)
				// 22,000 restarts a day are one in four seconds, with four records each.
				update := newMember(1 + random.IntN(members-1))
				version++
				update.Version = version
				for range 8 {
					body := encodeHeartbeat(t, now)
					var h gossip.Heartbeat
					if err := codec.Decode(body, &h); err != nil {
						b.Fatal(err)
					}
					t.Merge(now, append(h.Updates, update))
					t.RecordHeartbeat(now, h.From)
				}
				for range 2 {
					t.Expire(now, time.Hour)
					t.Recipients(now, true)
					encodeHeartbeat(t, now)
				}
				for range 4 {
					t.Live()
				}
			}
		})
	}
}

func encodeHeartbeat(t *member.Table, now time.Time) []byte {
	self := t.Self(now)
	body, err := codec.Encode(&gossip.Heartbeat{From: self.Brief(), Updates: t.News(now).Local, Digest: t.Digest()})
	if err != nil {
		panic(err)
	}
	return body
}

// BenchmarkDataCentreLost measures the burst of work when one daemon in 17 and
// one target in 17 are lost at once: merging the claims and rebuilding the view.
func BenchmarkDataCentreLost(b *testing.B) {
	b.Run("members=2000", func(b *testing.B) {
		var lost []member.Member
		for i := 1; i < 2000; i += 17 {
			m := newMember(i)
			m.State = member.Silent
			lost = append(lost, m)
		}
		for b.Loop() {
			b.StopTimer()
			t := newTable(2000)
			b.StartTimer()
			t.Merge(start, lost)
			t.Recipients(start, true)
		}
	})
	b.Run("targets=72000", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			f := newFleet(2000, 72000, 260)
			rows := f.Rows(start)
			b.StartTimer()
			for i := 0; i < len(rows); i += 17 {
				f.Unreachable(rows[i].Address, true)
			}
			f.Plan()
		}
	})
}
