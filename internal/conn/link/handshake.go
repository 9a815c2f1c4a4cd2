package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

const (
	// maxUnverifiedHandshakes is the number of unfinished handshakes above which a new peer
	// first has to prove that it receives at its address, which takes a round trip more.
	maxUnverifiedHandshakes = 32
	// maxHandshakes bounds the unfinished handshakes, which hold memory for peers that may
	// know no key.
	maxHandshakes = 256
)

var errTooManyHandshakes = &Error{Op: "accept", Kind: KindCrowded}

// handshakes counts the incoming connections whose handshake has not ended.
type handshakes struct{ unfinished atomic.Int32 }

type handshakeKey struct{}

// crowded reports whether a peer has to prove its address.
func (h *handshakes) crowded(net.Addr) bool { return h.unfinished.Load() >= maxUnverifiedHandshakes }

// begin counts a handshake until end or until its connection ends.
func (h *handshakes) begin(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if h.unfinished.Add(1) > maxHandshakes {
		h.unfinished.Add(-1)
		return nil, errTooManyHandshakes
	}
	end := sync.OnceFunc(func() { h.unfinished.Add(-1) })
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// end says that the handshake of a connection has ended.
func (h *handshakes) end(conn *quic.Conn) {
	if end, ok := conn.Context().Value(handshakeKey{}).(func()); ok {
		end()
	}
}
