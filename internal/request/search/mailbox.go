package search

import (
	"sync"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// event is the end of an attempt, or room at a target of a waiting shard.
type event struct {
	freed   bool
	shard   int
	attempt uint64
	target  *fleet.Target
	outcome fleet.Outcome
	reply   *wire.ShardReply
}

// mailbox passes events to the goroutine of the request without blocking the
// sender, also after the request has ended.
type mailbox struct {
	mu     sync.Mutex
	events []event
	signal chan struct{}
}

func newMailbox() *mailbox { return &mailbox{signal: make(chan struct{}, 1)} }

func (m *mailbox) put(e event) {
	m.mu.Lock()
	m.events = append(m.events, e)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// take returns the events and leaves the given buffer in their place.
func (m *mailbox) take(buffer []event) []event {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	m.events = buffer[:0]
	return events
}
