// Package proxy implements a TCP proxy that injects faults.
//
// # Usage
//
//	p := &proxy.Proxy{Target: "127.0.0.1:9001"}
//	err := p.Start()
//	p.SetFaults(proxy.Faults{Delay: 50 * time.Millisecond})
//	p.Cut()
package proxy

import (
	"net"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

// Faults are the faults that a test can inject.
type Faults struct {
	// Delay is added before each write in either direction.
	Delay time.Duration
	// HoldReplies holds back the bytes that the target sends while it is set.
	HoldReplies bool
	// DropReplies discards the bytes that the target sends and closes the
	// connection.
	DropReplies bool
	// HalfOpen accepts connections and forwards nothing in either direction.
	HalfOpen bool
	// Refuse closes new connections immediately.
	Refuse bool
}

const (
	bufferBytes      = 32 << 10
	holdPollInterval = 5 * time.Millisecond
)

// Proxy forwards connections to one target. Exported fields must be set before
// Start.
type Proxy struct {
	Target string

	listener net.Listener
	mu       mutex.Mutex
	faults   Faults
	open     map[net.Conn]struct{}
}

// Start listens on a free loopback port.
func (p *Proxy) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.listener = listener
	p.open = map[net.Conn]struct{}{}
	go p.accept()
	return nil
}

// Address returns the address that clients use instead of the target's.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFaults replaces the faults, for open connections too.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Cut closes every open connection.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		_ = conn.Close()
	}
}

// Stop closes the listener and every open connection.
func (p *Proxy) Stop() {
	_ = p.listener.Close()
	p.Cut()
}

func (p *Proxy) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFaults().Refuse {
			_ = client.Close()
			continue
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.Target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.track(client, server)
	defer p.release(client, server)
	done := make(chan struct{}, 2)
	go p.forward(client, server, false, done)
	go p.forward(server, client, true, done)
	<-done
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.open[conn] = struct{}{}
	}
}

func (p *Proxy) release(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(p.open, conn)
	}
}

// forward copies bytes in one direction until either connection closes or a fault
// ends the copy.
func (p *Proxy) forward(from, to net.Conn, replies bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		f := p.currentFaults()
		time.Sleep(f.Delay)
		for f.HalfOpen || f.HoldReplies && replies {
			time.Sleep(holdPollInterval)
			f = p.currentFaults()
			if p.isClosed(to) {
				return
			}
		}
		if f.DropReplies && replies {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *Proxy) isClosed(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, open := p.open[conn]
	return !open
}
