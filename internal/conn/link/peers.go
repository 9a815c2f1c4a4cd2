package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
)

// peer is the connection to one address.
type peer struct {
	mu      sync.Mutex
	conn    *quic.Conn
	sending atomic.Int32
}

func (l *Link) peer(address string) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[address]
	if p == nil {
		p = &peer{}
		l.peers[address] = p
	}
	return p
}

// Keep drops what is held for all other addresses.
func (l *Link) Keep(addresses map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address := range l.peers {
		if !addresses[address] {
			delete(l.peers, address)
		}
	}
}

// Renew drops the connection to an address unless the daemon there has shown the
// certificate of a fingerprint: a process that was restarted knows nothing of
// the connections of its predecessor, and what is sent on them is lost.
func (l *Link) Renew(address string, fingerprint []byte) {
	p := l.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || keys.Shown(p.conn.ConnectionState().TLS, fingerprint) {
		return
	}
	// The other end is gone; an error leaves nothing to do.
	_ = p.conn.CloseWithError(0, "the peer was restarted")
	p.conn = nil
}

// connect returns a live connection to an address, made if need be.
func (l *Link) connect(ctx context.Context, address string) (*quic.Conn, error) {
	p := l.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn, nil
	}
	remote, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := l.transport.Dial(ctx, remote, l.Keys.TLS(), l.config())
	if err != nil {
		return nil, err
	}
	p.conn = conn
	l.serve(conn)
	return conn, nil
}

// Warm opens a connection to an address in the background, unless there is one: a
// first message would wait for it.
func (l *Link) Warm(address string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		// Whoever sends a message there tries again, and sees the error.
		_, _ = l.connect(ctx, address)
	}()
}
