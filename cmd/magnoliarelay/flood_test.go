//go:build flood

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/flood"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/gauge"
	"github.com/magnoliarelay/magnoliarelay/pkg/caller"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// The limits of the host in these tests, small enough for a small crowd to exceed.
const (
	floodMemoryMB    = 96
	floodDescriptors = 400
	floodClients     = 600
	maxFloodBody     = 64 << 10
	kilobyte         = 1 << 10
)

func floodHead(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: d\r\n"
}

// floodSearch is a whole search of the greatest size; its query is too long.
func floodSearch() []byte {
	body := fmt.Sprintf(`{"Deployment":"D","Service":"S","Caller":"c","RequestID":"r","Deadline":"4s","Query":%q}`, strings.Repeat("x", maxFloodBody))
	return flood.Sized(floodHead(http.MethodPost, "/v1/search"), []byte(body)[:maxFloodBody])
}

func TestFloodOfDaemon(t *testing.T) {
	search, status, metrics := floodHead(http.MethodPost, "/v1/search"), floodHead(http.MethodGet, "/v1/status"), floodHead(http.MethodGet, "/metrics")
	whole := floodSearch()
	for name, crowd := range map[string]*flood.Crowd{
		"length":                     {Clients: floodClients, Bytes: whole[:len(whole)-1]},
		"large chunks":               {Clients: floodClients, Bytes: withoutEnd(flood.Chunked(search, maxFloodBody, 16*kilobyte))},
		"chunks of a byte":           {Clients: floodClients, Bytes: withoutEnd(flood.Chunked(search, maxFloodBody, 1))},
		"closed and sent again":      {Clients: floodClients, Bytes: whole[:len(whole)-1], Rounds: 4},
		"pipelined and unread":       {Clients: floodClients / 2, Bytes: bytes.Repeat(whole, 20)},
		"half a head of many fields": {Clients: floodClients, Bytes: []byte(flood.Fields(search, 60*kilobyte))},
		"silent":                     {Clients: floodClients},
		"status with a body":         {Clients: floodClients, Bytes: []byte(status + "Content-Length: 1000\r\n\r\n")},
		"metrics unread":             {Clients: floodClients / 2, Bytes: bytes.Repeat([]byte(metrics+"\r\n"), 200)},
		"traces":                     {Clients: floodClients / 2, Bytes: []byte(floodHead(http.MethodGet, "/debug/pprof/trace?seconds=60") + "\r\n")},
	} {
		t.Run(name, func(t *testing.T) { floodDaemon(t, crowd, false) })
	}
}

// The address for opaque requests has no limits of an operator here, so heads and bodies
// have the limits of the program.
func TestFloodOfOpaque(t *testing.T) {
	post := floodHead(http.MethodPost, "/x/1")
	for name, crowd := range map[string]*flood.Crowd{
		"length":                     {Clients: floodClients, Bytes: withoutEnd(flood.Sized(post, make([]byte, maxFloodBody)))},
		"half a head of many fields": {Clients: floodClients, Bytes: []byte(flood.Fields(post, 60*kilobyte))},
		"silent":                     {Clients: floodClients},
	} {
		t.Run(name, func(t *testing.T) { floodDaemon(t, crowd, true) })
	}
}

// Clients that send commands with ever new keys must not take the memory: a home keeps each
// key for minutes.
func TestFloodOfKeys(t *testing.T) {
	const (
		workers  = 16
		requests = 10_000
	)
	r := startTierWithLimits(t, floodMemoryMB, floodDescriptors)
	ip, _, err := net.SplitHostPort(r.listen[0])
	if err != nil {
		t.Fatal(err)
	}
	var list wire.AddressList
	response, err := http.Get(r.url(0) + "/v1/addresses")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil || len(list.Addresses) == 0 {
		t.Fatalf("%+v, %v", list, err)
	}
	measured := &gauge.Gauge{PID: r.processes[0].Process.Pid, IP: ip}
	measured.Start()
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() { r.sendKeys(list.Addresses[0].Home, worker, requests) })
	}
	group.Wait()
	r.checkSearch("after")
	checkUse(t, measured)
}

// sendKeys sends commands to a service that does not exist, each with a long key of its own.
func (r *tier) sendKeys(home string, worker, requests int) {
	long := strings.Repeat("x", 60)
	for i := range requests {
		body := fmt.Sprintf(`{"Deployment":%q,"Service":%q,"Caller":%q,"RequestID":"r","Deadline":"4s","Home":%q,"IdempotencyKey":"%0120d","Command":"x"}`,
			long, long, long, home, worker*requests+i)
		response, err := http.Post(r.url(0)+"/v1/execute", "application/json", strings.NewReader(body))
		if err != nil {
			r.t.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

func withoutEnd(request []byte) []byte { return request[:len(request)-5] }

// floodDaemon lets the crowd press on a daemon that runs as a process. The process must
// live, stay within the memory and the descriptors of its host, and answer an ordinary
// search while the clients stay and after they have left.
func floodDaemon(t *testing.T, crowd *flood.Crowd, opaque bool) {
	r := startTierWithLimits(t, floodMemoryMB, floodDescriptors)
	ip, _, err := net.SplitHostPort(r.listen[0])
	if err != nil {
		t.Fatal(err)
	}
	crowd.Address = r.listen[0]
	if opaque {
		crowd.Address = net.JoinHostPort(ip, opaquePort)
	}
	measured := &gauge.Gauge{PID: r.processes[0].Process.Pid, IP: ip}
	measured.Start()
	crowd.Start()
	crowd.Settle()
	r.checkSearch("during")
	crowd.Stop()
	r.checkSearch("after")
	checkUse(t, measured)
}

// checkUse checks that the process has stayed within the limits of its host.
func checkUse(t *testing.T, measured *gauge.Gauge) {
	t.Helper()
	memoryKB, descriptors := measured.Stop()
	t.Logf("at most %d MB and %d descriptors", memoryKB/kilobyte, descriptors)
	if memoryKB > floodMemoryMB*kilobyte {
		t.Errorf("%d MB of memory were in use, of %d", memoryKB/kilobyte, floodMemoryMB)
	}
	if descriptors > floodDescriptors {
		t.Errorf("%d descriptors were in use, of %d", descriptors, floodDescriptors)
	}
}

// checkSearch sends an ordinary search.
func (r *tier) checkSearch(when string) {
	r.t.Helper()
	answer, err := r.caller(0).Search(r.t.Context(), caller.Query{Service: "S", Text: "sage " + when, Deadline: 10 * time.Second})
	if err != nil || !answer.Complete {
		log := r.allLogs()
		r.t.Errorf("%s the flood: %v; end of the log:\n%s", when, err, log[max(0, len(log)-2000):])
	}
}
