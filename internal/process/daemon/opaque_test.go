package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/world"
	"github.com/magnoliarelay/magnoliarelay/internal/process/daemon"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const routes = `[Route 1]
Name = Catalogue
Host = shop.example
Prefix = /catalogue/
Timeout = 3s
LatencyTarget = 1s
MaxAttempts = 2
Gather = D/A, D/B, D/C
Merge = Greatest
Top = 4
LeastCoverage = 0.6

[Route 2]
Name = Print
Host = shop.example
Prefix = /print/
Idempotent = Off
Timeout = 3s
MaxAttempts = 2
Split = D/A

[Route 3]
Name = Wrong
Host = shop.example
Prefix = /wrong/
Timeout = 3s
Split = D/S
`

// opaqueWorld starts three pools of two targets each and a service of two shards.
func opaqueWorld(t *testing.T, daemons int) *world.World {
	files := quickSettings()
	files["routes.ini"] = routes
	service := func(name string, shards int) world.Service {
		return world.Service{
			Deployment: "D", Name: name, Shards: shards, Replicas: 2, Slots: 4, Connections: 40, Documents: 10,
			Behaviour: shard.Behaviour{Median: time.Millisecond},
		}
	}
	return start(t, &world.World{
		Daemons: daemons, Settings: files, Services: []world.Service{service("A", 1), service("B", 1), service("C", 1), service("S", 2)},
	})
}

// opaqueReply is the answer to an opaque request.
type opaqueReply struct {
	status int
	header http.Header
	body   string
}

// sendOpaque sends an opaque request.
func sendOpaque(t *testing.T, d *daemon.Daemon, method, path, id string) opaqueReply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+d.Opaque()+path, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "shop.example"
	request.Header.Set(wire.HeaderRequest, id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return opaqueReply{status: response.StatusCode, header: response.Header, body: string(body)}
}

// A daemon serves opaque routes over its services. The reported coverage excludes a
// pool without targets.
func TestOpaqueGatherReportsItsCoverage(t *testing.T) {
	w := opaqueWorld(t, 2)
	for i, d := range w.Running {
		response := sendOpaque(t, d, http.MethodGet, "/catalogue/x?q=1", fmt.Sprint("g", i))
		if response.status != http.StatusOK || response.header.Get(wire.HeaderCoverage) != "3/3" || len(response.body) != 4*shard.RecordBytes {
			t.Errorf("status %d, coverage %s, %d bytes", response.status, response.header.Get(wire.HeaderCoverage), len(response.body))
		}
	}
	for _, s := range w.Searchers["D/B"] {
		s.Stop()
	}
	eventually(t, "an answer without the lost pool", func() bool {
		response := sendOpaque(t, w.Running[0], http.MethodGet, "/catalogue/x", "part")
		return response.status == http.StatusOK && response.header.Get(wire.HeaderCoverage) == "2/3"
	})
	for _, s := range w.Searchers["D/C"] {
		s.Stop()
	}
	eventually(t, "a refusal, since too few pools are left", func() bool {
		response := sendOpaque(t, w.Running[0], http.MethodGet, "/catalogue/x", "none")
		return response.status == http.StatusServiceUnavailable && response.header.Get(wire.HeaderNotRun) != ""
	})
}

func TestOpaqueRequestRunsAtMostOnce(t *testing.T) {
	w := opaqueWorld(t, 1)
	runs := func(id string) int {
		sum := 0
		for _, s := range w.Searchers["D/A"] {
			sum += s.Runs()[id]
		}
		return sum
	}
	if response := sendOpaque(t, w.Running[0], http.MethodPost, "/print/1", "ok"); response.status != http.StatusOK || runs("ok") != 1 {
		t.Errorf("status %d, %d runs: %s", response.status, runs("ok"), response.body)
	}
	for _, s := range w.Searchers["D/A"] {
		s.UpdateBehaviour(func(b *shard.Behaviour) { b.DropReplies = true })
	}
	for i := range 4 {
		id := fmt.Sprint("lost", i)
		response := sendOpaque(t, w.Running[0], http.MethodPost, "/print/1", id)
		if response.status != http.StatusBadGateway || response.header.Get(wire.HeaderNotRun) != "" || runs(id) != 1 {
			t.Errorf("status %d, %d runs", response.status, runs(id))
		}
	}
	for _, s := range w.Searchers["D/A"] {
		s.UpdateBehaviour(func(b *shard.Behaviour) { b.DropReplies, b.ShedAll = false, true })
	}
	response := sendOpaque(t, w.Running[0], http.MethodPost, "/print/1", "shed")
	if response.status != http.StatusServiceUnavailable || response.header.Get(wire.HeaderNotRun) == "" || runs("shed") != 0 {
		t.Errorf("status %d, %d runs of a request that all targets shed", response.status, runs("shed"))
	}
}

func TestUnusableOpaqueRoutesAreRefused(t *testing.T) {
	w := opaqueWorld(t, 1)
	tests := []struct {
		path   string
		status int
	}{
		{"/unknown/", http.StatusNotFound},
		{"/catalogue", http.StatusNotFound},
		{"/wrong/x", http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		if response := sendOpaque(t, w.Running[0], http.MethodGet, tt.path, "n"); response.status != tt.status {
			t.Errorf("%s: status %d, want %d", tt.path, response.status, tt.status)
		}
	}
}

func TestGracefulStopCutsNoOpaqueRequest(t *testing.T) {
	w := opaqueWorld(t, 2)
	for _, searchers := range w.Searchers {
		for _, s := range searchers {
			s.UpdateBehaviour(func(b *shard.Behaviour) { b.Median = 300 * time.Millisecond })
		}
	}
	stopped := make(chan error, 1)
	go func() { stopped <- w.Running[0].Stop(context.WithoutCancel(t.Context())) }()
	// Callers continue to use the address of the leaving daemon for a while.
	for i := range 3 {
		if response := sendOpaque(t, w.Running[0], http.MethodGet, "/catalogue/x", fmt.Sprint("s", i)); response.status != http.StatusOK {
			t.Errorf("status %d during the stop", response.status)
		}
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}
