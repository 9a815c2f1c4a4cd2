// Package gauge measures what a process of a test holds: its memory, together with what
// its sockets hold, and its descriptors.
//
// # Usage
//
//	g := &gauge.Gauge{PID: command.Process.Pid, IP: "127.100.1.1"}
//	g.Start()
//	...
//	memoryKB, descriptors := g.Stop()
package gauge

import (
	"encoding/hex"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	interval      = 20 * time.Millisecond
	bytesPerKB    = 1 << 10
	minTCPColumns = 5
)

// Gauge measures one process. Exported fields are set before Start.
type Gauge struct {
	PID int
	// IP is the address that the process listens at, and no other process.
	IP string

	memoryKB    int
	descriptors int
	done        chan struct{}
	group       sync.WaitGroup
}

// Start begins to measure.
func (g *Gauge) Start() {
	g.done = make(chan struct{})
	g.group.Go(func() {
		for {
			g.memoryKB = max(g.memoryKB, g.status("VmRSS")+g.queuedKB())
			g.descriptors = max(g.descriptors, g.countDescriptors())
			select {
			case <-g.done:
				return
			case <-time.After(interval):
			}
		}
	})
}

// Stop returns the greatest values since Start, for memory since the process began.
func (g *Gauge) Stop() (memoryKB, descriptors int) {
	close(g.done)
	g.group.Wait()
	return max(g.memoryKB, g.status("VmHWM")), g.descriptors
}

// status returns a field of the process's status, zero if the process is gone.
func (g *Gauge) status(name string) int {
	content, err := os.ReadFile(g.path("status"))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		if field, value, _ := strings.Cut(line, ":"); field == name {
			count, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return count
		}
	}
	return 0
}

// queuedKB returns what the sockets at the address hold: bytes that were received and not
// read, and bytes that were written and not yet received by the other side.
func (g *Gauge) queuedKB() int {
	content, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ip := net.ParseIP(g.IP).To4()
	local := strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]}))
	queued := int64(0)
	for _, line := range strings.Split(string(content), "\n")[1:] {
		columns := strings.Fields(line)
		if len(columns) < minTCPColumns || !strings.HasPrefix(columns[1], local+":") {
			continue
		}
		sent, received, _ := strings.Cut(columns[4], ":")
		for _, count := range []string{sent, received} {
			value, _ := strconv.ParseInt(count, 16, 64)
			queued += value
		}
	}
	return int(queued / bytesPerKB)
}

func (g *Gauge) countDescriptors() int {
	entries, err := os.ReadDir(g.path("fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

func (g *Gauge) path(name string) string {
	return filepath.Join("/proc", strconv.Itoa(g.PID), name)
}
