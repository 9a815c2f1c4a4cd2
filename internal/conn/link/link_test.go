package link

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
)

// startLink starts a link that trusts all peers and sends the body of each message it
// receives to the returned channel.
func startLink(t *testing.T, address string, options ...func(l *Link)) (l *Link, received chan string) {
	t.Helper()
	k, err := keys.Pinned("d")
	if err != nil {
		t.Fatal(err)
	}
	k.Trusted = func([]byte) bool { return true }
	received = make(chan string, 8)
	l = &Link{Address: address, Keys: k, Handle: func(_ context.Context, _ net.Addr, _ Type, body []byte) []byte {
		received <- string(body)
		return nil
	}}
	for _, option := range options {
		option(l)
	}
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l, received
}

func waitForMessage(received chan string, want string, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case got := <-received:
			if got == want {
				return true
			}
		case <-timer.C:
			return false
		}
	}
}

// muteSocket drops the packets that it sends until a time.
type muteSocket struct {
	net.PacketConn
	until time.Time
}

func (s *muteSocket) WriteTo(data []byte, to net.Addr) (int, error) {
	if time.Now().Before(s.until) {
		return len(data), nil
	}
	return s.PacketConn.WriteTo(data, to)
}

// sendRepeatedly sends a message again and again, as daemons do with heartbeats, until it
// is received. It reports false if that takes longer than the timeout.
func sendRepeatedly(l *Link, address, message string, received chan string, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		l.Send(address, Heartbeat, []byte(message))
		if waitForMessage(received, message, handshakeTimeout/4) {
			return true
		}
	}
	return false
}

// Guards against sending to a restarted daemon over the connection that its earlier
// process had at the same address. A message whose handshake takes longer than
// handshakeTimeout is lost, the next one must arrive.
func TestRestartedPeerIsReached(t *testing.T) {
	const timeout = 10 * time.Second
	for name, mute := range map[string]time.Duration{"at once": 0, "after a slow handshake": handshakeTimeout * 3 / 2} {
		t.Run(name, func(t *testing.T) {
			a, _ := startLink(t, "127.0.0.1:0", func(l *Link) {
				l.SendFailed = func(address string, _ Type, err error) { t.Logf("send to %s failed: %v", address, err) }
			})
			b, received := startLink(t, "127.0.0.1:0")
			if !sendRepeatedly(a, b.Address, "first", received, timeout) {
				t.Fatal("the first message was not received")
			}
			address := b.Address
			// Simulate a crash: the socket closes without notice to the peers.
			if err := b.socket.Close(); err != nil {
				t.Fatal(err)
			}
			successor, received := startLink(t, address, func(l *Link) {
				l.WrapSocket = func(socket net.PacketConn) net.PacketConn { return &muteSocket{socket, time.Now().Add(mute)} }
			})
			a.Renew(address, successor.Keys.Fingerprint())
			if !sendRepeatedly(a, address, "second", received, timeout) {
				t.Error("the restarted daemon was not reached")
			}
			p := a.peer(address)
			p.mu.Lock()
			before := p.conn
			p.mu.Unlock()
			a.Renew(address, successor.Keys.Fingerprint())
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.conn != before {
				t.Error("a connection to the daemon itself was dropped")
			}
		})
	}
}

// A message that cannot be sent is reported with the reason.
func TestUnsentMessagesAreReported(t *testing.T) {
	failures := make(chan error, 2*maxPendingSends)
	a, _ := startLink(t, "127.0.0.1:0", func(l *Link) {
		l.SendFailed = func(_ string, _ Type, err error) { failures <- err }
	})
	b, _ := startLink(t, "127.0.0.1:0")
	stoppedAddress := b.Address
	if err := b.socket.Close(); err != nil {
		t.Fatal(err)
	}
	for range maxPendingSends + 1 {
		a.Send(stoppedAddress, Heartbeat, []byte("to nobody"))
	}
	kinds := map[ErrorKind]int{}
	for range maxPendingSends + 1 {
		var e *Error
		if err := <-failures; !errors.As(err, &e) {
			t.Fatalf("error %v", err)
		}
		kinds[e.Kind]++
	}
	if kinds[KindCrowded] != 1 || kinds[KindUnreachable] != maxPendingSends {
		t.Errorf("%v, want one over the limit of pending messages and %d unreachable", kinds, maxPendingSends)
	}
}

// Guards against a daemon that does not listen to a peer, or is held up, while its own
// handshakes with that peer hang.
func TestHangingHandshakeHoldsUpNothingElse(t *testing.T) {
	a, _ := startLink(t, "127.0.0.1:0")
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	address := silent.LocalAddr().String()
	for range maxPendingSends {
		a.Send(address, Heartbeat, []byte("to nobody"))
	}
	time.Sleep(50 * time.Millisecond)
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Renew(address, []byte("another"))
		// An incoming connection of the peer is recorded under the same lock.
		p := a.peer(address)
		p.mu.Lock()
		defer p.mu.Unlock()
	}()
	select {
	case <-done:
	case <-time.After(handshakeTimeout / 2):
		t.Error("held up by a handshake with the peer")
	}
}
