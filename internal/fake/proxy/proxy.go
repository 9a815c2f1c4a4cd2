// Package proxy is a TCP proxy that inflicts faults on what passes through it.
//
// # Usage
//
//	p := &proxy.Proxy{Target: "127.0.0.1:9001"}
//	err := p.Start()
//	p.Set(proxy.Faults{Delay: 50 * time.Millisecond})
//	p.Cut()
package proxy

import (
	"net"
	"sync"
	"time"
)

// Faults are what happens to the bytes.
type Faults struct {
	// Delay holds every chunk back.
	Delay time.Duration
	// HoldReplies keeps what the target sends until it is lifted.
	HoldReplies bool
	// DropReplies throws away what the target sends and cuts the connection.
	DropReplies bool
	// HalfOpen accepts connections and passes nothing in either direction.
	HalfOpen bool
	// Refuse closes new connections at once.
	Refuse bool
}

const (
	chunk     = 32 << 10
	holdCheck = 5 * time.Millisecond
)

// Proxy stands before one target. Exported fields are set before Start.
type Proxy struct {
	Target string

	listener net.Listener
	mu       sync.Mutex
	faults   Faults
	open     map[net.Conn]struct{}
}

// Start listens on a free port of loopback.
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

// Address returns the address to use instead of the target's.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the faults, also for connections that are open.
func (p *Proxy) Set(f Faults) {
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

// Stop ends the proxy.
func (p *Proxy) Stop() {
	_ = p.listener.Close()
	p.Cut()
}

func (p *Proxy) current() Faults {
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
		if p.current().Refuse {
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
	p.keep(client, server)
	defer p.release(client, server)
	done := make(chan struct{}, 2)
	go p.copy(client, server, false, done)
	go p.copy(server, client, true, done)
	<-done
}

func (p *Proxy) keep(conns ...net.Conn) {
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

// copy passes bytes one way until an end closes or a fault says so.
func (p *Proxy) copy(from, to net.Conn, replies bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		f := p.current()
		time.Sleep(f.Delay)
		for f.HalfOpen || f.HoldReplies && replies {
			time.Sleep(holdCheck)
			f = p.current()
			if p.closed(to) {
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

func (p *Proxy) closed(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, open := p.open[conn]
	return !open
}
