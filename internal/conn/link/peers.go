package link

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

// peer holds the connection to one address.
type peer struct {
	mu   mutex.Mutex // guards conn, and is not held during a handshake
	conn *quic.Conn
	// dialing is held by the one that dials, so that there is one handshake at a time.
	dialing      mutex.Mutex
	pendingSends atomic.Int32
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

// Keep drops the peers at all other addresses.
func (l *Link) Keep(addresses map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address := range l.peers {
		if !addresses[address] {
			delete(l.peers, address)
		}
	}
}

// Renew drops the connection to an address unless the peer on it has presented the
// certificate with the given fingerprint. A restarted process does not have the
// connections of its predecessor, so messages sent on them are lost.
func (l *Link) Renew(address string, fingerprint []byte) {
	p := l.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || keys.PeerHasFingerprint(p.conn.ConnectionState().TLS, fingerprint) {
		return
	}
	// The peer's old process is gone; an error needs no handling.
	_ = p.conn.CloseWithError(0, "the peer was restarted")
	p.conn = nil
}

// open returns the open connection to the peer, or nil.
func (p *peer) open() *quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn
	}
	return nil
}

// connect returns an open connection to an address and dials if there is none.
func (l *Link) connect(ctx context.Context, address string) (*quic.Conn, error) {
	p := l.peer(address)
	if conn := p.open(); conn != nil {
		return conn, nil
	}
	p.dialing.Lock()
	defer p.dialing.Unlock()
	// Another dial, or the peer itself, may have connected meanwhile.
	if conn := p.open(); conn != nil {
		return conn, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, err
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
	p.mu.Lock()
	p.conn = conn
	p.mu.Unlock()
	l.serve(conn)
	return conn, nil
}

// Warm opens a connection to an address in the background, unless there is one, so
// that the first message does not wait for the handshake.
func (l *Link) Warm(address string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		// The next message to the address dials again and reports the error.
		_, _ = l.connect(ctx, address)
	}()
}
