// Package link carries messages between daemons over QUIC with mutual TLS.
//
// # Usage
//
//	l := &link.Link{Address: "127.0.0.1:7100", Keys: k, Handle: handle}
//	err := l.Start()
//	l.Send("127.0.0.1:7101", link.Heartbeat, body)
//	reply, err := l.Ask(ctx, "127.0.0.1:7101", link.Fetch, body)
//
// Each message has a stream of its own, so that a lost or slow one does not delay
// the others. Send does not report whether the message arrived; Ask returns the
// reply.
package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

// Type is the first byte of a message.
type Type byte

// The types of message.
const (
	Heartbeat Type = iota + 1
	// Fetch asks for the settings.
	Fetch
	// Table asks for the membership records that the asking daemon lacks.
	Table
	// Execute forwards a request to execute.
	Execute
	// Entries asks for the registrations that changed.
	Entries
	// Stall is a notice about a target that is late to answer or has lost an answer.
	Stall
	// Gather asks for the merged results of some shards.
	Gather
)

// String returns the name of the type, for metrics.
func (t Type) String() string {
	names := [...]string{"Unknown", "Heartbeat", "Fetch", "Table", "Execute", "Entries", "Stall", "Gather"}
	if int(t) >= len(names) {
		t = 0
	}
	return names[t]
}

// ErrorKind classifies an Error.
type ErrorKind string

// The kinds.
const (
	// KindUnreachable means that nothing was sent.
	KindUnreachable ErrorKind = "Unreachable"
	// KindBroken means that the message may have arrived.
	KindBroken ErrorKind = "Broken"
	// KindGivenUp means that the asking daemon no longer wants the reply.
	KindGivenUp ErrorKind = "GivenUp"
	// KindCrowded means that too many messages for the peer are pending.
	KindCrowded ErrorKind = "Crowded"
	KindListen  ErrorKind = "Listen"
)

// Error is the error of this package.
type Error = fault.Error[ErrorKind]

var errTooManySends = &Error{Op: "send", Kind: KindCrowded}

const (
	// MaxMessageBytes bounds one message.
	MaxMessageBytes    = 2 << 20
	handshakeTimeout   = time.Second
	defaultIdleTimeout = 15 * time.Second
	streamTimeout      = 5 * time.Second
	maxStreams         = 4096
	// streamWindowBytes and connectionWindowBytes bound the bytes that a peer sends
	// before they are read.
	streamWindowBytes     = 512 << 10
	connectionWindowBytes = 1 << 20
	// keepAlivesPerTimeout is the number of keep-alives sent within an idle timeout.
	keepAlivesPerTimeout = 3
)

// Link is one daemon's endpoint. Exported fields are set before Start.
type Link struct {
	// Address is the UDP "ip:port" to listen on.
	Address string
	Keys    *keys.Keys
	// Handle takes a message and returns the reply to an Ask. The context ends
	// when the asking daemon gives up.
	Handle func(ctx context.Context, from net.Addr, kind Type, body []byte) []byte
	// HandleGather takes a message of type Gather and returns the reply. The channel
	// confirmed is closed once the asking daemon has confirmed that it waits for the
	// reply. The context ends when the asking daemon gives up.
	HandleGather func(ctx context.Context, body []byte, confirmed <-chan struct{}) []byte
	// WrapSocket, if set, wraps the socket that QUIC uses, for experiments.
	WrapSocket func(net.PacketConn) net.PacketConn
	// Sent, if set, is called with the size of each message and reply sent.
	Sent func(kind Type, bytes int)
	// SendFailed, if set, is called with the reason why Send dropped a message.
	SendFailed func(address string, kind Type, err error)
	// IdleTimeout, if set, ends a connection on which nothing is received; a third
	// of it is the time between keep-alives.
	IdleTimeout time.Duration

	socket        net.PacketConn
	transport     *quic.Transport
	handshakes    handshakes
	listener      *quic.Listener
	mu            mutex.Mutex
	peers         map[string]*peer
	closed        bool
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
}

// maxPendingSends bounds the messages pending for one peer; further ones are
// dropped, since a later heartbeat replaces an earlier one.
const maxPendingSends = 8

// Start listens for connections and serves them in the background.
func (l *Link) Start() error {
	address, err := net.ResolveUDPAddr("udp", l.Address)
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	l.peers = map[string]*peer{}
	l.Address = socket.LocalAddr().String()
	l.socket = socket
	if l.WrapSocket != nil {
		l.socket = l.WrapSocket(socket)
	}
	l.transport = &quic.Transport{Conn: l.socket, VerifySourceAddress: l.handshakes.crowded, ConnContext: l.handshakes.begin}
	l.listener, err = l.transport.Listen(l.Keys.TLS(), l.config())
	if err != nil {
		return &Error{Op: "listen", Kind: KindListen, Err: err}
	}
	go l.accept()
	return nil
}

func (l *Link) config() *quic.Config {
	config := &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        defaultIdleTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: maxStreams,

		MaxStreamReceiveWindow:     streamWindowBytes,
		MaxConnectionReceiveWindow: connectionWindowBytes,
	}
	if l.IdleTimeout > 0 {
		config.MaxIdleTimeout = l.IdleTimeout
		config.KeepAlivePeriod = l.IdleTimeout / keepAlivesPerTimeout
	}
	return config
}

// Close ends all connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	// Errors while closing need no handling.
	_ = l.listener.Close()
	_ = l.transport.Close()
	_ = l.socket.Close()
}

// Bytes returns the bytes of messages sent and received.
func (l *Link) Bytes() (sent, received int64) { return l.sentBytes.Load(), l.receivedBytes.Load() }

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept(context.Background())
		if err != nil {
			return
		}
		l.handshakes.end(conn)
		go l.serveIncoming(conn)
	}
}

// serveIncoming serves a connection and also uses it to send to the daemon at its
// remote address: daemons dial from the socket that they listen on. A new
// connection replaces an older one, since the peer may have been restarted.
func (l *Link) serveIncoming(conn *quic.Conn) {
	p := l.peer(conn.RemoteAddr().String())
	p.mu.Lock()
	p.conn = conn
	p.mu.Unlock()
	l.serve(conn)
}

func (l *Link) serve(conn *quic.Conn) {
	go l.serveUni(conn)
	go l.serveBidi(conn)
}

func (l *Link) serveUni(conn *quic.Conn) {
	for {
		stream, err := conn.AcceptUniStream(conn.Context())
		if err != nil {
			return
		}
		go func() {
			if kind, body, err := l.readMessage(stream); err == nil {
				l.Handle(conn.Context(), conn.RemoteAddr(), kind, body)
			}
		}()
	}
}

func (l *Link) serveBidi(conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		go l.answer(conn, stream)
	}
}

func (l *Link) answer(conn *quic.Conn, stream *quic.Stream) {
	defer stream.Close()
	kind, body, err := l.readMessage(stream)
	if err != nil {
		return
	}
	if kind == Gather {
		l.answerGather(stream, body)
		return
	}
	// An asking daemon that gives up cancels its read, which ends the stream's context.
	reply := l.Handle(stream.Context(), conn.RemoteAddr(), kind, body)
	l.countSent(kind, len(reply))
	// If the reply cannot be written, the asking daemon gets an error from its read.
	_, _ = stream.Write(reply)
}

type deadlineReader interface {
	io.Reader
	SetReadDeadline(time.Time) error
}

func (l *Link) readMessage(stream deadlineReader) (Type, []byte, error) {
	if err := stream.SetReadDeadline(time.Now().Add(streamTimeout)); err != nil {
		return 0, nil, err
	}
	var first [1]byte
	if _, err := io.ReadFull(stream, first[:]); err != nil {
		return 0, nil, err
	}
	if Type(first[0]) == Gather {
		body, err := l.readGather(stream)
		return Gather, body, err
	}
	data, err := io.ReadAll(io.LimitReader(stream, MaxMessageBytes+1))
	if err != nil {
		return 0, nil, err
	}
	l.receivedBytes.Add(int64(len(data) + 1))
	if len(data) > MaxMessageBytes {
		return 0, nil, fault.Causef("a message of %d bytes", len(data))
	}
	return Type(first[0]), data, nil
}

// Send sends a message in the background.
func (l *Link) Send(address string, kind Type, body []byte) {
	p := l.peer(address)
	if p.pendingSends.Add(1) > maxPendingSends {
		p.pendingSends.Add(-1)
		l.reportUnsent(address, kind, errTooManySends)
		return
	}
	go func() {
		defer p.pendingSends.Add(-1)
		if err := l.deliver(address, kind, body); err != nil {
			l.reportUnsent(address, kind, err)
		}
	}()
}

// deliver sends a message on a new unidirectional stream.
func (l *Link) deliver(address string, kind Type, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	conn, err := l.connect(ctx, address)
	if err != nil {
		return &Error{Op: "send", Kind: KindUnreachable, Err: err}
	}
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return &Error{Op: "send", Kind: KindUnreachable, Err: err}
	}
	l.countSent(kind, len(body)+1)
	_, err = stream.Write(append([]byte{byte(kind)}, body...))
	if err = errors.Join(err, stream.Close()); err != nil {
		return &Error{Op: "send", Kind: KindBroken, Err: err}
	}
	return nil
}

func (l *Link) reportUnsent(address string, kind Type, err error) {
	if l.SendFailed != nil {
		l.SendFailed(address, kind, err)
	}
}

// Ask sends a message and waits for the reply.
func (l *Link) Ask(ctx context.Context, address string, kind Type, body []byte) ([]byte, error) {
	stream, err := l.openStream(ctx, address, append([]byte{byte(kind)}, body...))
	if err != nil {
		return nil, err
	}
	defer stream.CancelRead(0)
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(0) })
	defer stop()
	if err := stream.Close(); err != nil {
		return nil, &Error{Op: "ask", Kind: KindBroken, Err: err}
	}
	return l.readReply(stream)
}

// countSent counts bytes sent.
func (l *Link) countSent(kind Type, bytes int) {
	l.sentBytes.Add(int64(bytes))
	if l.Sent != nil {
		l.Sent(kind, bytes)
	}
}

// openStream opens a bidirectional stream and sends a message on it.
func (l *Link) openStream(ctx context.Context, address string, message []byte) (*quic.Stream, error) {
	conn, err := l.connect(ctx, address)
	if err != nil {
		return nil, &Error{Op: "ask", Kind: KindUnreachable, Err: err}
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, &Error{Op: "ask", Kind: KindUnreachable, Err: err}
	}
	l.countSent(Type(message[0]), len(message))
	if _, err := stream.Write(message); err != nil {
		return nil, &Error{Op: "ask", Kind: KindBroken, Err: err}
	}
	return stream, nil
}

func (l *Link) readReply(stream *quic.Stream) ([]byte, error) {
	reply, err := io.ReadAll(io.LimitReader(stream, MaxMessageBytes+1))
	if err != nil {
		return nil, &Error{Op: "ask", Kind: KindBroken, Err: err}
	}
	l.receivedBytes.Add(int64(len(reply)))
	return reply, nil
}
