package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/crowd"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/proxy"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	fakestore "github.com/magnoliarelay/magnoliarelay/internal/fake/store"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/world"
	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
	"github.com/magnoliarelay/magnoliarelay/pkg/caller"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const waitTimeout = 20 * time.Second

var binary string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "magnoliarelay")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(directory, "magnoliarelay")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// tier is a set of daemons that run as separate processes and use the fake
// services of the test process.
type tier struct {
	t         testing.TB
	world     *world.World
	directory string
	listen    []string
	links     []string
	processes []*exec.Cmd
	logs      []*logBuffer
	// passedOn holds the queries that have arrived at a searcher.
	passedOn *sync.Map
	limits   string
}

// logBuffer is a buffer that a daemon writes to while the test reads it.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *logBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// daemonsStarted counts the daemons that got an IP address of their own.
var daemonsStarted atomic.Int64

// newIP returns a loopback address that no other daemon of this or another test process
// has, so that its ports are free.
func newIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+pid>>8%100, pid%256, 1+daemonsStarted.Add(1)%250)
}

// opaquePort is the port for opaque requests of a daemon with limits.
const opaquePort = "7090"

// startTierWithLimits starts a daemon on a host with the given memory and descriptors.
func startTierWithLimits(t testing.TB, memoryMB, descriptors int) *tier {
	t.Helper()
	limits := fmt.Sprintf("[Limits]\nMemoryMB = %d\nDescriptors = %d\n", memoryMB, descriptors)
	return startTierOf(t, tierOptions{daemons: 1, shards: 6, replicas: 3, limits: limits})
}

func startTier(t testing.TB, daemons int, proxied bool, settings tree.Files) *tier {
	t.Helper()
	return startTierWithShards(t, daemons, proxied, settings, 6, 3)
}

func startTierWithShards(t testing.TB, daemons int, proxied bool, settings tree.Files, shards, replicas int) *tier {
	t.Helper()
	return startTierOf(t, tierOptions{daemons: daemons, proxied: proxied, settings: settings, shards: shards, replicas: replicas})
}

// tierOptions describes a tier.
type tierOptions struct {
	daemons, shards, replicas int
	proxied                   bool
	settings                  tree.Files
	// limits is added to the files of the daemons, which then serve opaque requests too.
	limits string
}

func startTierOf(t testing.TB, o tierOptions) *tier {
	t.Helper()
	files := tree.Files{"firm.ini": "[System]\nHeartbeatInterval = 100ms\nSilentAfter = 600ms\nAddressKeep = 1s\n[Targets]\nStatusInterval = 200ms\n"}
	for path, content := range o.settings {
		files[path] = content
	}
	passedOn := &sync.Map{}
	w := &world.World{
		Settings: files, Seed: 1, Proxied: o.proxied, OnQuery: func(query string) { passedOn.Store(query, true) },
		Services: []world.Service{{
			Deployment: "D", Name: "S", Shards: o.shards, Replicas: o.replicas, Slots: 4, Connections: 60, Documents: 300,
			Behaviour: shard.Behaviour{Median: 2 * time.Millisecond},
		}},
	}
	t.Cleanup(w.Stop)
	if err := w.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	r := &tier{t: t, world: w, directory: t.TempDir(), passedOn: passedOn, limits: o.limits}
	for i := range o.daemons {
		ip := newIP()
		r.listen = append(r.listen, ip+":7080")
		r.links = append(r.links, ip+":7100")
		r.processes = append(r.processes, nil)
		r.logs = append(r.logs, &logBuffer{})
		r.start(i)
	}
	for i := range o.daemons {
		r.waitListed(i, o.daemons, o.shards, o.replicas)
	}
	return r
}

func (r *tier) start(i int) {
	r.t.Helper()
	name := fmt.Sprintf("d%d", i)
	k := &keys.Keys{
		Certificate: filepath.Join(r.directory, name+".pem"), Key: filepath.Join(r.directory, name+".key"),
		// A file that daemons share would be written again while an earlier one reads it.
		Authority: filepath.Join(r.directory, name+"-authority.pem"),
	}
	if err := r.world.Authority().Write(k, name); err != nil {
		r.t.Fatal(err)
	}
	config := fmt.Sprintf("[Daemon]\nName = %s\nListen = %s\nLink = %s\nDataCentre = dc-%d\nRegion = r-1\n[Platform]\nStore = %s\nHostList = http://%s/hosts\n"+
		"[Keys]\nCertificate = %s\nKey = %s\nAuthority = %s\n",
		name, r.listen[i], r.links[i], i%2, r.world.Store.URL(), r.world.Hosts.Address(), k.Certificate, k.Key, k.Authority)
	if r.limits != "" {
		ip, _, _ := strings.Cut(r.listen[i], ":")
		config = strings.Replace(config, "[Platform]", "Opaque = "+ip+":"+opaquePort+"\n[Platform]", 1) + r.limits
	}
	path := filepath.Join(r.directory, name+".ini")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		r.t.Fatal(err)
	}
	command := exec.Command(binary, "daemon", "--config", path)
	command.Stderr = r.logs[i]
	if err := command.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.processes[i] = command
	r.world.AddHost(wire.Host{Address: r.links[i], Role: "Daemon", DataCentre: fmt.Sprintf("dc-%d", i%2), Region: "r-1"})
	r.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
}

func (r *tier) signal(i int, s syscall.Signal) {
	r.t.Helper()
	if err := r.processes[i].Process.Signal(s); err != nil {
		r.t.Fatal(err)
	}
}

func (r *tier) url(i int) string { return "http://" + r.listen[i] }

func (r *tier) caller(seeds ...int) *caller.Caller {
	c := &caller.Caller{Deployment: "D", Name: "c", DataCentre: "dc-0", Region: "r-1"}
	for _, i := range seeds {
		c.Seeds = append(c.Seeds, r.url(i))
	}
	r.t.Cleanup(c.Close)
	return c
}

// waitListed waits until a daemon lists count ready daemons and serves all shards.
func (r *tier) waitListed(i, count, shards, replicas int) {
	r.t.Helper()
	served := fmt.Sprintf("D/S\t1\t%d\t0\t%d/%d", shards, shards*replicas, shards*replicas)
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		out, err := exec.Command(binary, "status", "--daemon", r.url(i)).Output()
		if err == nil && strings.Count(string(out), "\tReady\t") == count && strings.Contains(string(out), served) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.t.Fatalf("daemon %d does not list %d daemons:\n%s", i, count, r.allLogs())
}

// allLogs returns the logs of all daemons.
func (r *tier) allLogs() string {
	var b strings.Builder
	for i, log := range r.logs {
		fmt.Fprintf(&b, "daemon %d, %s:\n%s", i, r.links[i], log.String())
	}
	return b.String()
}

// load runs searches until stop is called, which returns their number and errors.
func (r *tier) load(c *caller.Caller) (stop func() (queries int, failures []error)) {
	ctx, cancel := context.WithCancel(r.t.Context())
	var mu sync.Mutex
	var failures []error
	queries := 0
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				answer, err := c.Search(context.WithoutCancel(ctx), caller.Query{Service: "S", Text: fmt.Sprintf("sage %d-%d", worker, n), Deadline: 2 * time.Second})
				mu.Lock()
				queries++
				if err == nil && !answer.Complete {
					err = fmt.Errorf("coverage %+v", answer.Coverage)
				}
				if err != nil {
					failures = append(failures, err)
				}
				mu.Unlock()
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	return func() (int, []error) {
		cancel()
		group.Wait()
		return queries, failures
	}
}

func TestTermStopsGracefullyUnderLoad(t *testing.T) {
	r := startTier(t, 3, false, nil)
	stop := r.load(r.caller(0, 1, 2))
	time.Sleep(300 * time.Millisecond)
	r.signal(1, syscall.SIGTERM)
	if err := r.processes[1].Wait(); err != nil {
		t.Errorf("the stopped daemon ended with %v:\n%s", err, r.logs[1].String())
	}
	time.Sleep(300 * time.Millisecond)
	queries, failures := stop()
	if len(failures) > 0 || queries < 50 {
		t.Errorf("%d of %d searches failed: %v\n%s", len(failures), queries, failures, r.allLogs())
	}
}

// newCrowd makes callers of a daemon who search, over connections that they keep, until the
// daemon's process is gone.
func (r *tier) newCrowd(daemon, callers int, seed uint64) *crowd.Crowd {
	var count atomic.Int64
	return &crowd.Crowd{
		Address: r.listen[daemon], Callers: callers, Pause: 60 * time.Millisecond, Seed: seed,
		Request: func() (string, *http.Request) {
			id := fmt.Sprintf("d%d-%d", daemon, count.Add(1))
			body := fmt.Sprintf(`{"Deployment":"D","Service":"S","Caller":"c","RequestID":%q,"Deadline":"4s","Query":%q}`, id, crowdQuery(id))
			request, err := http.NewRequest(http.MethodPost, r.url(daemon)+"/v1/search", strings.NewReader(body))
			if err != nil {
				panic(err)
			}
			return id, request
		},
	}
}

// checkAnswered reports the requests that were passed on to a searcher and ended without
// a complete answer.
func (r *tier) checkAnswered(calls []crowd.Call, daemon int) {
	r.t.Helper()
	lost := 0
	for _, call := range calls {
		if _, passedOn := r.passedOn.Load(crowdQuery(call.ID)); call.Err != nil && passedOn {
			if lost++; lost <= 5 {
				r.t.Errorf("request %s was passed on and ended without an answer after %v: %v", call.ID, call.Ended.Sub(call.Sent), call.Err)
			}
		}
	}
	if lost > 0 {
		r.t.Errorf("%d of %d requests lost:\n%s", lost, len(calls), r.logs[daemon].String())
	}
}

func crowdQuery(id string) string { return "sage " + id }

const slowTargets = 300 * time.Millisecond

// slowDown makes all targets take slowTargets for a request.
func (r *tier) slowDown() {
	for _, searchers := range r.world.Searchers {
		for _, s := range searchers {
			s.UpdateBehaviour(func(b *shard.Behaviour) { b.Median = slowTargets })
		}
	}
}

// awaitEnd waits for the process of a daemon to end, and kills it after the timeout.
func (r *tier) awaitEnd(i int, timeout time.Duration) {
	r.t.Helper()
	command := r.processes[i]
	timer := time.AfterFunc(timeout, func() {
		r.t.Errorf("daemon %d is still there after %v", i, timeout)
		_ = command.Process.Kill()
	})
	defer timer.Stop()
	// The exit code says whether requests were cut, which the callers tell better.
	_ = command.Wait()
}

// Guards against requests that end without an answer when their daemon is stopped, while
// callers use its address until the process is gone.
func TestStopAnswersCallersThatDoNotLeave(t *testing.T) {
	const grace = 4 * time.Second
	r := startTier(t, 2, false, tree.Files{"D/deployment.ini": "[Cost]\nQueueLength = 50\n", "firm.ini": stopSettings})
	r.slowDown()
	callers := r.newCrowd(1, 10, 1)
	callers.Start()
	time.Sleep(400 * time.Millisecond)
	r.signal(1, syscall.SIGTERM)
	r.awaitEnd(1, grace)
	calls := callers.Stop()
	r.checkAnswered(calls, 1)
	if len(calls) < 30 {
		t.Errorf("only %d requests were sent", len(calls))
	}
}

const stopSettings = "[System]\nHeartbeatInterval = 100ms\nSilentAfter = 600ms\nAddressKeep = 1s\nStopGrace = 4s\n[Targets]\nStatusInterval = 200ms\n"

// Guards against signals that end a daemon at once, before or while it stops: SIGHUP, and
// SIGTERM again.
func TestSeriesOfSignalsCutsNoRequest(t *testing.T) {
	const (
		seed  = 3
		grace = 4 * time.Second
	)
	r := startTier(t, 2, false, tree.Files{"D/deployment.ini": "[Cost]\nQueueLength = 50\n", "firm.ini": stopSettings})
	r.slowDown()
	random := rand.New(rand.NewPCG(seed, 0))
	callers := r.newCrowd(1, 6, seed)
	callers.Start()
	time.Sleep(400 * time.Millisecond)
	for range 3 {
		r.signal(1, syscall.SIGHUP)
		time.Sleep(time.Duration(100+random.IntN(200)) * time.Millisecond)
	}
	if status := r.status(1); !strings.Contains(status, "settings revision") {
		t.Errorf("the daemon does not answer after SIGHUP: %s", status)
	}
	for range 40 {
		r.signal(1, syscall.SIGHUP)
	}
	r.signal(1, syscall.SIGTERM)
	for range 5 {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		// The daemon may have ended.
		_ = r.processes[1].Process.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[random.IntN(2)])
	}
	_ = r.processes[1].Process.Signal(syscall.SIGINT)
	r.awaitEnd(1, grace)
	r.checkAnswered(callers.Stop(), 1)
}

func TestKilledDaemonFailsNoSearch(t *testing.T) {
	r := startTier(t, 3, false, nil)
	stop := r.load(r.caller(0, 1, 2))
	time.Sleep(300 * time.Millisecond)
	r.signal(2, syscall.SIGKILL)
	time.Sleep(1500 * time.Millisecond)
	queries, failures := stop()
	if len(failures) > 0 {
		t.Errorf("%d of %d searches failed: %v", len(failures), queries, failures[0])
	}
	r.waitListed(0, 2, 6, 3)
}

// The home daemon is paused while a request is in flight, the caller retries
// through another daemon, and the home resumes after the deadline. The request
// must not run twice, and must not run if a daemon replied that it did not.
func TestPausedHomeRunsNothingTwice(t *testing.T) {
	r := startTier(t, 2, false, nil)
	for n := range 6 {
		home := n % 2
		c := r.caller(home, 1-home)
		key := fmt.Sprintf("jar-%d", n)
		if n%3 == 0 {
			r.signal(home, syscall.SIGSTOP)
			time.AfterFunc(1200*time.Millisecond, func() { _ = r.processes[home].Process.Signal(syscall.SIGCONT) })
		} else {
			time.AfterFunc(time.Duration(n)*time.Millisecond, func() {
				_ = r.processes[home].Process.Signal(syscall.SIGSTOP)
				time.Sleep(1200 * time.Millisecond)
				_ = r.processes[home].Process.Signal(syscall.SIGCONT)
			})
		}
		_, err := c.Execute(t.Context(), caller.Command{Service: "S", Text: "print", Key: key, Deadline: 700 * time.Millisecond})
		time.Sleep(1500 * time.Millisecond)
		runs := 0
		for _, s := range r.world.Searchers["D/S"] {
			runs += s.Runs()["c/"+key]
		}
		var e *caller.Error
		reportedNotRun := errors.As(err, &e) && e.Refusal != nil && e.Refusal.Ran == wire.RanNo
		if runs > 1 || runs == 0 && err == nil || runs > 0 && reportedNotRun {
			t.Errorf("%s ran %d times; the caller got error %v", key, runs, err)
		}
	}
}

func TestSettingsReachAllThroughKilledWatcherAndOutage(t *testing.T) {
	r := startTier(t, 4, false, nil)
	r.signal(0, syscall.SIGKILL)
	r.world.Store.SetFaults(fakestore.Faults{Down: true})
	time.Sleep(300 * time.Millisecond)
	r.world.Store.SetFaults(fakestore.Faults{})
	directory := t.TempDir()
	if err := os.WriteFile(filepath.Join(directory, "firm.ini"), []byte("[Cost]\nQueueLength = 55\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	apply := exec.Command(binary, "settings", "apply", directory, "--store", r.world.Store.URL(), "--message", "test", "--author", "ada")
	if out, err := apply.CombinedOutput(); err != nil {
		t.Fatalf("apply: %v\n%s", err, out)
	}
	for i := 1; i < 4; i++ {
		end := time.Now().Add(waitTimeout)
		for !strings.Contains(r.status(i), "settings revision 3") && time.Now().Before(end) {
			time.Sleep(50 * time.Millisecond)
		}
		if status := r.status(i); !strings.Contains(status, "settings revision") || strings.Contains(status, "settings revision 2,") {
			t.Errorf("daemon %d: %s", i, status)
		}
	}
}

func (r *tier) status(i int) string {
	out, _ := exec.Command(binary, "status", "--daemon", r.url(i)).CombinedOutput()
	return string(out)
}

func TestFaultyConnectionsToTargets(t *testing.T) {
	tests := []struct {
		name  string
		apply func(p *proxy.Proxy)
	}{
		{"half-open", func(p *proxy.Proxy) { p.SetFaults(proxy.Faults{HalfOpen: true}) }},
		{"held replies", func(p *proxy.Proxy) { p.SetFaults(proxy.Faults{HoldReplies: true}) }},
		{"dropped replies", func(p *proxy.Proxy) { p.SetFaults(proxy.Faults{DropReplies: true}) }},
		{"slow", func(p *proxy.Proxy) { p.SetFaults(proxy.Faults{Delay: 200 * time.Millisecond}) }},
		{"cut and refused", func(p *proxy.Proxy) {
			p.SetFaults(proxy.Faults{Refuse: true})
			p.Cut()
		}},
	}
	r := startTier(t, 2, true, tree.Files{"D/deployment.ini": "[Cost]\nExtraLoad = 0.2\nRetryBudget = 0.5\n"})
	c := r.caller(0, 1)
	// The daemons measure response times before the faults begin.
	for n := range 60 {
		if _, err := c.Search(t.Context(), caller.Query{Service: "S", Text: fmt.Sprint("mint ", n), Deadline: 2 * time.Second}); err != nil {
			t.Fatal(err)
		}
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// One replica of every shard is behind a faulty connection.
			for _, p := range r.world.Proxies["D/S"][:6] {
				tt.apply(p)
			}
			defer func() {
				for _, p := range r.world.Proxies["D/S"][:6] {
					p.SetFaults(proxy.Faults{})
				}
			}()
			stop := r.load(c)
			time.Sleep(1200 * time.Millisecond)
			queries, failures := stop()
			if len(failures) > 0 {
				t.Errorf("%d of %d searches failed: %v", len(failures), queries, failures[0])
			}
		})
	}
}

// BenchmarkDaemonProcess measures the CPU time of a daemon alone: callers and
// targets run in the test process.
func BenchmarkDaemonProcess(b *testing.B) {
	for _, shards := range []int{1, 30, 260} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			r := startTierWithShards(b, 1, false, nil, shards, 1)
			c := r.caller(0)
			search := func(n int) {
				answer, err := c.Search(b.Context(), caller.Query{Service: "S", Text: fmt.Sprint("sage ", n), Deadline: 2 * time.Second})
				if err != nil || !answer.Complete {
					b.Fatalf("answer %+v, %v", answer, err)
				}
			}
			for n := range 50 {
				search(n)
			}
			before := r.cpuSeconds(0)
			b.ResetTimer()
			for n := 0; b.Loop(); n++ {
				search(100 + n)
			}
			micros := (r.cpuSeconds(0) - before) * 1e6 / float64(b.N)
			b.ReportMetric(micros, "daemon-cpu-µs/query")
			b.ReportMetric(micros/float64(shards), "daemon-cpu-µs/sub-request")
		})
	}
}

// cpuSeconds reads a daemon's CPU time from its metrics.
func (r *tier) cpuSeconds(i int) float64 {
	r.t.Helper()
	response, err := http.Get(r.url(i) + "/metrics")
	if err != nil {
		r.t.Fatal(err)
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if value, ok := strings.CutPrefix(scanner.Text(), "process_cpu_seconds_total "); ok {
			seconds, err := strconv.ParseFloat(value, 64)
			if err != nil {
				r.t.Fatal(err)
			}
			return seconds
		}
	}
	r.t.Fatal("the metrics do not contain process_cpu_seconds_total")
	return 0
}
