package search

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/target"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/corpus"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	"github.com/magnoliarelay/magnoliarelay/internal/process/budget"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/poison"
	"github.com/magnoliarelay/magnoliarelay/internal/request/merge"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// bench is a service whose targets answer at once.
type bench struct {
	runner    *Runner
	settings  *tree.Settings
	addresses []string
}

func newBench(b *testing.B, shards int) *bench {
	b.Helper()
	c := corpus.New("S", 1000)
	f := fleet.New(fleet.Config{Deployment: "D", Service: "S", Seed: 1})
	x := &bench{settings: tree.Default()}
	var hosts []wire.Host
	for i := range shards {
		s := &shard.Searcher{Service: "S", Slots: 64, Connections: 1000}
		s.Hold(c, 1, shards, []int{i})
		if err := s.Start("127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(s.Stop)
		x.addresses = append(x.addresses, s.Address())
		hosts = append(hosts, wire.Host{Address: s.Address()})
	}
	f.SetHosts(time.Now(), hosts)
	for i, address := range x.addresses {
		f.Report(time.Now(), address, &wire.TargetStatus{
			Slots: 64, Connections: 1000, Indexes: []wire.Index{{Service: "S", Version: 1, ShardCount: shards, Shards: []int{i}}},
		})
	}
	x.runner = &Runner{
		Deployment: "D", Service: "S", Fleet: f, Pool: target.NewPool(), HedgeBudget: budget.New(), RetryBudget: budget.New(),
		Poison: poison.New(), Meter: meter.New(), OnTargetLost: func() {},
	}
	b.Cleanup(x.runner.Pool.Close)
	return x
}

// relay runs a whole query through the runner.
func (x *bench) relay(b *testing.B, n int) {
	answer, refusal := x.runner.Run(b.Context(), &Request{
		ID: strconv.Itoa(n), Query: "oregano", Limit: 10, MinCoverage: 1, Deadline: time.Now().Add(10 * time.Second), Settings: x.settings,
	})
	if refusal != nil || !answer.Complete {
		b.Fatalf("answer %+v, refusal %v", answer, refusal)
	}
}

// direct runs the simplest scatter: one goroutine and one request per shard, with
// no choice of targets, no limits and no deadline of its own.
func (x *bench) direct(b *testing.B, n int) {
	body, err := codec.Encode(&wire.ShardRequest{Service: "S", Query: "oregano", Limit: 10})
	if err != nil {
		b.Fatal(err)
	}
	m := merge.New(10, false)
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, address := range x.addresses {
		group.Go(func() {
			echo := wire.Echo{Request: strconv.Itoa(n), Shard: i, Version: 1}
			reply, outcome := x.runner.Pool.Get(address, 1).Search(context.Background(), &echo, body, time.Second)
			if outcome != fleet.Success {
				b.Errorf("outcome %s", outcome)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			m.Add(reply.Hits, reply.More)
		})
	}
	group.Wait()
	m.Result()
}

func cpu() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkScatter compares a query through the runner with a direct scatter. The
// processor time includes that of the fake targets, which is the same for both, so
// the difference is the cost of the runner's decisions.
func BenchmarkScatter(b *testing.B) {
	for _, shards := range []int{1, 30, 260} {
		for _, way := range []string{"Direct", "Relay"} {
			b.Run(fmt.Sprintf("%s/shards=%d", way, shards), func(b *testing.B) {
				x := newBench(b, shards)
				run := x.direct
				if way == "Relay" {
					run = x.relay
				}
				for n := range 20 {
					run(b, n)
				}
				runtime.GC()
				b.ReportAllocs()
				b.ResetTimer()
				before := cpu()
				for n := 0; b.Loop(); n++ {
					run(b, n)
				}
				spent := cpu() - before
				b.ReportMetric(float64(spent.Microseconds())/float64(b.N*shards), "cpu-µs/sub-request")
			})
		}
	}
}
