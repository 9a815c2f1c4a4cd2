// Package link carries messages between daemons over QUIC with mutual TLS.
//
// # Usage
//
//	l := &link.Link{Address: "127.0.0.1:7100", Keys: k, Handle: handle}
//	err := l.Start()
//	l.Send("127.0.0.1:7101", link.Heartbeat, body)
//	reply, err := l.Ask(ctx, "127.0.0.1:7101", link.Fetch, body)
//
// Each message has a stream of its own, so one that is lost or slow holds up no
// other. Send gives no news of its fate; Ask returns the reply.
package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
)

// Type is the first byte of a message.
type Type byte

// The types of message.
const (
	Heartbeat Type = iota + 1
	Fetch
	Table
	Execute
	// Entries asks for the registrations that changed.
	Entries
	// Stall tells of a target that is late to answer.
	Stall
	// Gather asks for the merged parts of some shards.
	Gather
)

// String names the type, for metrics.
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
	// KindGivenUp means that the asker no longer wanted the reply.
	KindGivenUp ErrorKind = "GivenUp"
	// KindCrowded means that too many messages wait for the peer.
	KindCrowded ErrorKind = "Crowded"
	KindListen  ErrorKind = "Listen"
)

// Error is the error of this package.
type Error = fault.Error[ErrorKind]

var errCrowded = &Error{Op: "send", Kind: KindCrowded}

const (
	// MaxMessageBytes bounds one message.
	MaxMessageBytes  = 2 << 20
	handshakeTimeout = time.Second
	idleTimeout      = 15 * time.Second
	streamTimeout    = 5 * time.Second
	streamsMost      = 4096
	// streamWindow and connectionWindow bound the bytes that a peer sends before
	// they are read.
	streamWindow     = 512 << 10
	connectionWindow = 1 << 20
	// signsOfLife is how many are sent before a silent connection is given up.
	signsOfLife = 3
)

// Link is one daemon's end. Exported fields are set before Start.
type Link struct {
	// Address is the UDP "ip:port" to listen on.
	Address string
	Keys    *keys.Keys
	// Handle takes a message and returns the reply to an Ask. The context ends
	// when the asker gives up.
	Handle func(ctx context.Context, from net.Addr, kind Type, body []byte) []byte
	// Consulted takes a message of type Gather and returns the reply. Confirmed is
	// closed once the asker knows that the message has arrived, and waits for the
	// reply. The context ends when the asker gives up.
	Consulted func(ctx context.Context, body []byte, confirmed <-chan struct{}) []byte
	// Wrap, if set, stands between QUIC and the socket, for experiments.
	Wrap func(net.PacketConn) net.PacketConn
	// Sent, if set, is told of the bytes of each message and reply that is sent.
	Sent func(kind Type, bytes int)
	// Unsent, if set, is told why a message of Send was given up.
	Unsent func(address string, kind Type, err error)
	// IdleTimeout, if set, ends a connection on which nothing is heard; a third
	// of it is the time between signs of life.
	IdleTimeout time.Duration

	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	mu        sync.Mutex
	peers     map[string]*peer
	closed    bool
	sent      atomic.Int64
	received  atomic.Int64
}

// sendsMost bounds the messages waiting for one peer; more are dropped, since
// heartbeats replace each other.
const sendsMost = 8

// Start listens.
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
	if l.Wrap != nil {
		l.socket = l.Wrap(socket)
	}
	l.transport = &quic.Transport{Conn: l.socket}
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
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    streamsMost,
		MaxIncomingUniStreams: streamsMost,

		MaxStreamReceiveWindow:     streamWindow,
		MaxConnectionReceiveWindow: connectionWindow,
	}
	if l.IdleTimeout > 0 {
		config.MaxIdleTimeout = l.IdleTimeout
		config.KeepAlivePeriod = l.IdleTimeout / signsOfLife
	}
	return config
}

// Close ends all connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	// Errors while closing leave nothing to do.
	_ = l.listener.Close()
	_ = l.transport.Close()
	_ = l.socket.Close()
}

// Bytes returns the bytes of messages sent and received.
func (l *Link) Bytes() (sent, received int64) { return l.sent.Load(), l.received.Load() }

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept(context.Background())
		if err != nil {
			return
		}
		go l.adopt(conn)
	}
}

// adopt serves a connection, and uses it to send to the daemon at its other
// end: daemons dial from the socket that they listen on. A new connection
// replaces an older one, whose peer may have been restarted.
func (l *Link) adopt(conn *quic.Conn) {
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
			if kind, body, err := l.read(stream); err == nil {
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
	kind, body, err := l.read(stream)
	if err != nil {
		return
	}
	if kind == Gather {
		l.answerConsult(stream, body)
		return
	}
	// An asker that gives up cancels its reading, which ends the stream's context.
	reply := l.Handle(stream.Context(), conn.RemoteAddr(), kind, body)
	l.count(kind, len(reply))
	// A reply that can not be written is lost, and its asker sees that.
	_, _ = stream.Write(reply)
}

type deadlineReader interface {
	io.Reader
	SetReadDeadline(time.Time) error
}

func (l *Link) read(stream deadlineReader) (Type, []byte, error) {
	if err := stream.SetReadDeadline(time.Now().Add(streamTimeout)); err != nil {
		return 0, nil, err
	}
	var first [1]byte
	if _, err := io.ReadFull(stream, first[:]); err != nil {
		return 0, nil, err
	}
	if Type(first[0]) == Gather {
		body, err := l.readConsult(stream)
		return Gather, body, err
	}
	data, err := io.ReadAll(io.LimitReader(stream, MaxMessageBytes+1))
	if err != nil {
		return 0, nil, err
	}
	l.received.Add(int64(len(data) + 1))
	if len(data) > MaxMessageBytes {
		return 0, nil, fault.Causef("a message of %d bytes", len(data))
	}
	return Type(first[0]), data, nil
}

// Send sends a message without waiting for it to arrive.
func (l *Link) Send(address string, kind Type, body []byte) {
	p := l.peer(address)
	if p.sending.Add(1) > sendsMost {
		p.sending.Add(-1)
		l.unsent(address, kind, errCrowded)
		return
	}
	go func() {
		defer p.sending.Add(-1)
		if err := l.deliver(address, kind, body); err != nil {
			l.unsent(address, kind, err)
		}
	}()
}

// deliver sends a message on a stream of its own.
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
	l.count(kind, len(body)+1)
	_, err = stream.Write(append([]byte{byte(kind)}, body...))
	if err = errors.Join(err, stream.Close()); err != nil {
		return &Error{Op: "send", Kind: KindBroken, Err: err}
	}
	return nil
}

func (l *Link) unsent(address string, kind Type, err error) {
	if l.Unsent != nil {
		l.Unsent(address, kind, err)
	}
}

// Ask sends a message and waits for the reply.
func (l *Link) Ask(ctx context.Context, address string, kind Type, body []byte) ([]byte, error) {
	stream, err := l.open(ctx, address, append([]byte{byte(kind)}, body...))
	if err != nil {
		return nil, err
	}
	defer stream.CancelRead(0)
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(0) })
	defer stop()
	if err := stream.Close(); err != nil {
		return nil, &Error{Op: "ask", Kind: KindBroken, Err: err}
	}
	return l.reply(stream)
}

// count notes bytes that are sent.
func (l *Link) count(kind Type, bytes int) {
	l.sent.Add(int64(bytes))
	if l.Sent != nil {
		l.Sent(kind, bytes)
	}
}

// open sends a message on a stream of its own.
func (l *Link) open(ctx context.Context, address string, message []byte) (*quic.Stream, error) {
	conn, err := l.connect(ctx, address)
	if err != nil {
		return nil, &Error{Op: "ask", Kind: KindUnreachable, Err: err}
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, &Error{Op: "ask", Kind: KindUnreachable, Err: err}
	}
	l.count(Type(message[0]), len(message))
	if _, err := stream.Write(message); err != nil {
		return nil, &Error{Op: "ask", Kind: KindBroken, Err: err}
	}
	return stream, nil
}

func (l *Link) reply(stream *quic.Stream) ([]byte, error) {
	reply, err := io.ReadAll(io.LimitReader(stream, MaxMessageBytes+1))
	if err != nil {
		return nil, &Error{Op: "ask", Kind: KindBroken, Err: err}
	}
	l.received.Add(int64(len(reply)))
	return reply, nil
}
