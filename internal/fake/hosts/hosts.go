// Package hosts implements a fake of the platform's list of live and leaving
// hosts. The list can lag behind changes by a configured time.
//
// # Usage
//
//	h := &hosts.List{Lag: 2 * time.Second}
//	err := h.Start("127.0.0.1:0")
//	h.Set([]wire.Host{{Address: "127.0.0.1:9001", Role: "Searcher"}})
package hosts

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// List serves GET /hosts. Exported fields must be set before Start.
type List struct {
	// Lag is the delay before a change becomes visible.
	Lag time.Duration

	mu      mutex.Mutex
	history []snapshot
	down    bool
	calls   int64
	server  *http.Server
	address string
}

type snapshot struct {
	at    time.Time
	hosts []wire.Host
}

// Start listens and serves.
func (l *List) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", l.serve)
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	l.address = listener.Addr().String()
	// Serve always returns an error when the server is closed.
	go func() { _ = l.server.Serve(listener) }()
	return nil
}

// Address returns the address that the list listens on.
func (l *List) Address() string { return l.address }

// Stop closes the server.
func (l *List) Stop() { _ = l.server.Close() }

// Set replaces the list; the change becomes visible after the lag.
func (l *List) Set(hosts []wire.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now()
	if len(l.history) == 0 {
		at = time.Time{}
	}
	l.history = append(l.history, snapshot{at: at, hosts: append([]wire.Host(nil), hosts...)})
}

// Leave marks a host as leaving.
func (l *List) Leave(address string) {
	l.mu.Lock()
	newest := append([]wire.Host(nil), l.history[len(l.history)-1].hosts...)
	l.mu.Unlock()
	for i := range newest {
		if newest[i].Address == address {
			newest[i].Leaving = true
		}
	}
	l.Set(newest)
}

// SetDown makes the list refuse calls, or accept them again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *List) serve(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	list := wire.HostList{}
	for _, e := range l.history {
		if time.Since(e.at) >= l.Lag {
			list.Hosts = e.hosts
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// If the write fails, the client sees it.
	_ = json.NewEncoder(w).Encode(&list)
}
