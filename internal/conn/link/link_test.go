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

// Guards against sending to a restarted daemon over the connection that its earlier
// process had at the same address.
func TestRestartedPeerIsReached(t *testing.T) {
	a, _ := startLink(t, "127.0.0.1:0", func(l *Link) {
		l.SendFailed = func(address string, _ Type, err error) { t.Logf("send to %s failed: %v", address, err) }
	})
	b, received := startLink(t, "127.0.0.1:0")
	a.Send(b.Address, Heartbeat, []byte("first"))
	if !waitForMessage(received, "first", 10*time.Second) {
		t.Fatal("the first message was not received")
	}
	address := b.Address
	// Simulate a crash: the socket closes without notice to the peers.
	if err := b.socket.Close(); err != nil {
		t.Fatal(err)
	}
	successor, received := startLink(t, address)
	a.Renew(address, successor.Keys.Fingerprint())
	a.Send(address, Heartbeat, []byte("second"))
	if !waitForMessage(received, "second", 10*time.Second) {
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
