package guard_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/guard"
	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
)

const maxConnections = 4

// start serves at a guarded listener. Requests for "/wait" are sent to arrived and answered
// once release is closed.
func start(t *testing.T, r *room.Room, arrived, release chan struct{}) *guard.Listener {
	t.Helper()
	l := &guard.Listener{Address: "127.0.0.1:0", Room: r, MaxConnections: maxConnections}
	if err := l.Listen(); err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnContext: guard.Context, Handler: guard.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			arrived <- struct{}{}
			<-release
		}
		fmt.Fprint(w, "ok")
	}))}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l
}

type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, l *guard.Listener, text string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", l.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	c := &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
	c.send(text)
	return c
}

func (c *client) send(text string) {
	c.t.Helper()
	// The server may have closed the connection.
	_, _ = io.WriteString(c.conn, text)
}

// read returns the status of the next answer, or zero if the connection is closed.
func (c *client) read() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// A new connection replaces one that has said nothing, then one that is idle, and never
// one that is being served.
func TestNewConnectionsReplaceSilentOnes(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	l := start(t, &room.Room{MaxBytes: 1 << 20}, arrived, release)
	served := dial(t, l, get("/wait"))
	<-arrived
	idle := dial(t, l, get("/"))
	if status := idle.read(); status != http.StatusOK {
		t.Fatal(status)
	}
	silent := []*client{dial(t, l, ""), dial(t, l, "")}
	for i, s := range silent {
		c := dial(t, l, get("/"))
		if status := c.read(); status != http.StatusOK {
			t.Fatalf("client %d: status %d", i, status)
		}
		if s.read() != 0 {
			t.Errorf("silent client %d got an answer", i)
		}
	}
	if status := dial(t, l, get("/")).read(); status != http.StatusOK {
		t.Errorf("the client after them: status %d", status)
	}
	if idle.read() != 0 {
		t.Error("the connection that was idle for longest is open")
	}
	close(release)
	if status := served.read(); status != http.StatusOK {
		t.Errorf("the request that was being served: status %d", status)
	}
}

// While all connections are served, a new one is closed at once and the others go on.
func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	l := start(t, &room.Room{MaxBytes: 1 << 20}, arrived, release)
	var served []*client
	for range maxConnections {
		served = append(served, dial(t, l, get("/wait")))
		<-arrived
	}
	// The reset may arrive while the connection is opened.
	if conn, err := net.Dial("tcp", l.Address); err == nil {
		late := &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
		late.send(get("/"))
		if status := late.read(); status != 0 {
			t.Errorf("a connection beyond the limit: status %d", status)
		}
		_ = conn.Close()
	}
	close(release)
	for i, c := range served {
		if status := c.read(); status != http.StatusOK {
			t.Errorf("request %d: status %d", i, status)
		}
	}
}

// Connections that wait to be accepted hold what their clients have sent, so their number
// is bounded too.
func TestPendingConnectionsAreBounded(t *testing.T) {
	l := &guard.Listener{Address: "127.0.0.1:0", Room: &room.Room{MaxBytes: 1 << 10}, MaxConnections: maxConnections}
	if err := l.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	for range 10 * maxConnections {
		conn, err := net.DialTimeout("tcp", l.Address, 100*time.Millisecond)
		if err != nil {
			// The system lets the client wait.
			break
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			t.Error(err)
			return
		}
		// For a listener, this field counts the connections that are pending. The system
		// admits one more than the limit.
		if info.Unacked > maxConnections+1 {
			t.Errorf("%d connections are pending, of %d", info.Unacked, maxConnections)
		}
	}); err != nil {
		t.Fatal(err)
	}
}

// A connection that waits to be accepted holds little, and gets its full window once it is
// accepted.
func TestPendingConnectionsHoldLittle(t *testing.T) {
	const (
		sent    = 64 << 10
		maxHeld = 4 << 10
		wanted  = 12 << 10
	)
	l := &guard.Listener{Address: "127.0.0.1:0", Room: &room.Room{MaxBytes: 1 << 20}, MaxConnections: maxConnections}
	if err := l.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	client := dial(t, l, "")
	go func() { _, _ = client.conn.Write(make([]byte, sent)) }()
	if held := received(t, client.conn, sent); held > maxHeld {
		t.Errorf("a pending connection holds %d bytes", held)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	if _, err := io.ReadFull(accepted, make([]byte, sent/2)); err != nil {
		t.Fatal(err)
	}
	if held := received(t, client.conn, sent) - sent/2; held < wanted {
		t.Errorf("an accepted connection holds %d bytes", held)
	}
}

// received returns how many bytes the other side of a connection has received, once that has
// not changed for a while.
func received(t *testing.T, conn net.Conn, sent int) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const steady = 10
	for last, same := 0, 0; ; {
		acked := 0
		if err := raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			if err != nil {
				t.Error(err)
				return
			}
			acked = int(info.Bytes_acked)
		}); err != nil {
			t.Fatal(err)
		}
		if same++; acked != last {
			last, same = acked, 0
		}
		if same == steady || acked >= sent {
			return acked
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// A head for which there is no room ends its connection; what it held is free afterwards.
func TestHeadsTakeRoom(t *testing.T) {
	r := &room.Room{MaxBytes: 64 << 10}
	l := start(t, r, nil, nil)
	other := r.Open(func() {})
	if !other.Take(time.Now(), 40<<10) {
		t.Fatal("no room")
	}
	large := dial(t, l, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 30<<10)+"\r\n\r\n")
	if status := large.read(); status != 0 && status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
	if status := dial(t, l, get("/")).read(); status != http.StatusOK {
		t.Errorf("an ordinary request: status %d", status)
	}
	other.Close()
	for end := time.Now().Add(10 * time.Second); r.Used() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are taken", r.Used())
		}
	}
}

// A client that does not read is closed after a while, also where the server sets no time
// limit for what it writes.
func TestUnreadAnswersEndTheConnection(t *testing.T) {
	l := &guard.Listener{Address: "127.0.0.1:0", Room: &room.Room{MaxBytes: 1 << 20}, WriteTimeout: 50 * time.Millisecond}
	if err := l.Listen(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	server := &http.Server{
		ConnContext: guard.Context,
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				close(ended)
			}
		},
		Handler: guard.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 8<<20))
		})),
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	dial(t, l, get("/"))
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Error("the connection is open")
	}
}
