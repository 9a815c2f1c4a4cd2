package guard

import (
	"syscall"

	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
)

// Host describes what a process may use of its host. Zero values mean that the process
// finds out itself.
type Host struct {
	MemoryBytes int64
	Descriptors int
}

// The shares of the descriptors that connections of clients may use. The rest is for
// targets, other daemons, the store and files.
const (
	Callers   = 0.375
	Addresses = 0.0625
	Readiness = 0.015
	Metrics   = 0.015
)

const (
	// minConnections is the least number of connections of a listener.
	minConnections = 8
	// connectionBytes is what an open connection takes in the process and in the system.
	connectionBytes = 2 * 2 * socketBufferBytes
	// connectionsDivisor divides the memory; the result is for open connections. The others
	// do the same for requests and for answers.
	connectionsDivisor = 4
	requestsDivisor    = 8
	answersDivisor     = 8
	// defaultMemoryBytes is assumed if the memory is not known.
	defaultMemoryBytes = 1 << 30
	// defaultDescriptors is assumed if the limit of the process is not known.
	defaultDescriptors = 1024
)

// Requests returns the room for the requests of all clients of the process.
func (h Host) Requests() *room.Room { return &room.Room{MaxBytes: h.Memory() / requestsDivisor} }

// Answers returns the room for the answers to them.
func (h Host) Answers() *room.Room { return &room.Room{MaxBytes: h.Memory() / answersDivisor} }

// Connections returns how many connections a listener may have that gets the given share
// of the descriptors.
func (h Host) Connections(share float64) int {
	byDescriptors := int(share * float64(h.descriptors()))
	byMemory := int(share / Callers * float64(h.Memory()/connectionsDivisor/connectionBytes))
	return max(min(byDescriptors, byMemory), minConnections)
}

// Memory returns the bytes of memory that the process may use.
func (h Host) Memory() int64 {
	if h.MemoryBytes > 0 {
		return h.MemoryBytes
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return defaultMemoryBytes
	}
	return int64(info.Totalram) * int64(info.Unit)
}

func (h Host) descriptors() int {
	if h.Descriptors > 0 {
		return h.Descriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(limit.Cur)
}
