package link

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
)

// end starts a link at an address that trusts everybody and tells what it hears.
func end(t *testing.T, address string, set ...func(l *Link)) (l *Link, heard chan string) {
	t.Helper()
	k, err := keys.Pinned("d")
	if err != nil {
		t.Fatal(err)
	}
	k.Trusted = func([]byte) bool { return true }
	heard = make(chan string, 8)
	l = &Link{Address: address, Keys: k, Handle: func(_ context.Context, _ net.Addr, _ Type, body []byte) []byte {
		heard <- string(body)
		return nil
	}}
	for _, apply := range set {
		apply(l)
	}
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l, heard
}

func hears(heard chan string, want string, within time.Duration) bool {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		select {
		case got := <-heard:
			if got == want {
				return true
			}
		case <-timer.C:
			return false
		}
	}
}

// A daemon was killed and is back at its address. What is sent to it does not go
// the way of the connection that its predecessor had.
func TestRestartedPeerIsReached(t *testing.T) {
	a, _ := end(t, "127.0.0.1:0", func(l *Link) {
		l.Unsent = func(address string, _ Type, err error) { t.Logf("nothing was sent to %s: %v", address, err) }
	})
	b, heard := end(t, "127.0.0.1:0")
	a.Send(b.Address, Heartbeat, []byte("first"))
	if !hears(heard, "first", 10*time.Second) {
		t.Fatal("the first message was not heard")
	}
	address := b.Address
	// A crash: the socket goes without a word to anyone.
	if err := b.socket.Close(); err != nil {
		t.Fatal(err)
	}
	successor, heard := end(t, address)
	a.Renew(address, successor.Keys.Fingerprint())
	a.Send(address, Heartbeat, []byte("second"))
	if !hears(heard, "second", 10*time.Second) {
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

// A message that can not be sent is told of, with the reason.
func TestUnsentMessagesAreToldOf(t *testing.T) {
	told := make(chan error, 2*sendsMost)
	a, _ := end(t, "127.0.0.1:0", func(l *Link) {
		l.Unsent = func(_ string, _ Type, err error) { told <- err }
	})
	b, _ := end(t, "127.0.0.1:0")
	gone := b.Address
	if err := b.socket.Close(); err != nil {
		t.Fatal(err)
	}
	for range sendsMost + 1 {
		a.Send(gone, Heartbeat, []byte("to nobody"))
	}
	kinds := map[ErrorKind]int{}
	for range sendsMost + 1 {
		var e *Error
		if err := <-told; !errors.As(err, &e) {
			t.Fatalf("error %v", err)
		}
		kinds[e.Kind]++
	}
	if kinds[KindCrowded] != 1 || kinds[KindUnreachable] != sendsMost {
		t.Errorf("%v, want one that did not wait and %d that were not answered", kinds, sendsMost)
	}
}
