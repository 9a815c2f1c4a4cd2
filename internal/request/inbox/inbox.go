// Package inbox is an unbounded queue of events for the goroutine of one request.
//
// # Usage
//
//	in := inbox.New[event]()
//	in.Put(event{...}) // from any goroutine
//	<-in.Signal
//	events = in.Take(events)
package inbox

import "github.com/magnoliarelay/magnoliarelay/internal/process/mutex"

// Inbox holds the events that its owner has not taken yet. Put never blocks, even
// after the owner has stopped taking events.
type Inbox[E any] struct {
	// Signal holds a value while there may be events.
	Signal chan struct{}

	mu     mutex.Mutex
	events []E
}

// New returns an empty inbox.
func New[E any]() *Inbox[E] { return &Inbox[E]{Signal: make(chan struct{}, 1)} }

// Put adds an event.
func (i *Inbox[E]) Put(event E) {
	i.mu.Lock()
	i.events = append(i.events, event)
	i.mu.Unlock()
	select {
	case i.Signal <- struct{}{}:
	default:
	}
}

// Take returns all events in the order of their arrival. The inbox reuses the
// buffer, typically an earlier result of Take, for later events.
func (i *Inbox[E]) Take(buffer []E) []E {
	i.mu.Lock()
	defer i.mu.Unlock()
	events := i.events
	i.events = buffer[:0]
	return events
}
