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
	interval   = 20 * time.Millisecond
	bytesPerKB = 1 << 10
	// localColumn, queuesColumn and inodeColumn are columns of the system's table of TCP sockets.
	localColumn  = 1
	queuesColumn = 4
	inodeColumn  = 9
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
			sockets, descriptors := g.openSockets()
			g.memoryKB = max(g.memoryKB, g.status("VmRSS")+g.queuedKB(sockets))
			g.descriptors = max(g.descriptors, descriptors)
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

// openSockets returns the inodes of the process's sockets and the number of all its
// descriptors.
func (g *Gauge) openSockets() (inodes map[string]bool, descriptors int) {
	inodes = map[string]bool{}
	entries, err := os.ReadDir(g.path("fd"))
	if err != nil {
		return inodes, 0
	}
	for _, entry := range entries {
		// A descriptor may have been closed meanwhile.
		target, err := os.Readlink(filepath.Join(g.path("fd"), entry.Name()))
		if inode, isSocket := strings.CutPrefix(target, "socket:["); err == nil && isSocket {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, len(entries)
}

// queuedKB returns what TCP sockets hold: bytes that were received and not read, and bytes
// that were written and not yet received by the other side. It counts the sockets of the
// process, and those at its address that it has not accepted yet or has closed.
func (g *Gauge) queuedKB(inodes map[string]bool) int {
	content, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ip := net.ParseIP(g.IP).To4()
	local := strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + ":"
	queued := int64(0)
	for _, line := range strings.Split(string(content), "\n")[1:] {
		columns := strings.Fields(line)
		if len(columns) <= inodeColumn {
			continue
		}
		if !inodes[columns[inodeColumn]] && !strings.HasPrefix(columns[localColumn], local) {
			continue
		}
		sent, received, _ := strings.Cut(columns[queuesColumn], ":")
		for _, count := range []string{sent, received} {
			value, _ := strconv.ParseInt(count, 16, 64)
			queued += value
		}
	}
	return int(queued / bytesPerKB)
}

func (g *Gauge) path(name string) string {
	return filepath.Join("/proc", strconv.Itoa(g.PID), name)
}
