package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// unsentWorkers is the number of callers. Each sends unsentRequests, and further ones
	// until minUnsent of all have counted as not sent, at most maxUnsentRequests.
	unsentWorkers     = 4
	unsentRequests    = 400
	maxUnsentRequests = 20_000
	minUnsent         = 10
	// maxCancelDelay is the maximum time until a caller cancels its request.
	maxCancelDelay = 2 * time.Millisecond
)

// receivedBytes keeps what a server has read from all its connections.
type receivedBytes struct {
	mu    sync.Mutex
	conns []*bytes.Buffer
}

// recordingConn records what is read from a connection.
type recordingConn struct {
	net.Conn
	mu       *sync.Mutex
	received *bytes.Buffer
}

func (c *recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received.Write(p[:n])
	return n, err
}

func (r *receivedBytes) record(conn net.Conn) *recordingConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	buffer := &bytes.Buffer{}
	r.conns = append(r.conns, buffer)
	return &recordingConn{Conn: conn, mu: &r.mu, received: buffer}
}

// contains reports whether the start of a request has been read.
func (r *receivedBytes) contains(path string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, buffer := range r.conns {
		if bytes.Contains(buffer.Bytes(), []byte(path+" ")) {
			return true
		}
	}
	return false
}

// serveBadly answers requests on one connection and breaks off at random: before
// reading, within a request, before an answer or after one, by a reset or a close.
func serveBadly(conn *recordingConn, random *rand.Rand) {
	if random.IntN(2) == 0 {
		_ = conn.Conn.(*net.TCPConn).SetLinger(0)
	}
	reader := bufio.NewReaderSize(conn, 16)
	for random.IntN(6) > 0 {
		if random.IntN(8) == 0 {
			_, _ = reader.Peek(1 + random.IntN(16))
			return
		}
		if readRequest(reader) != nil {
			return
		}
		if random.IntN(6) == 0 {
			return
		}
		writeText(conn, wholeReply)
	}
}

// Guards against sending a request to a further target, beyond its attempts, because
// it counts as not sent although the target has got some of it.
func TestUnsentRequestsHaveNotReachedTheTarget(t *testing.T) {
	var received receivedBytes
	var randomMu sync.Mutex
	random := rand.New(rand.NewPCG(22, 1))
	newRandom := func() *rand.Rand {
		randomMu.Lock()
		defer randomMu.Unlock()
		return rand.New(rand.NewPCG(random.Uint64(), 2))
	}
	pool := startServer(t, func(_ int, conn net.Conn, _ *bufio.Reader) { serveBadly(received.record(conn), newRandom()) })
	kinds := map[Kind]int{}
	var unsent []string
	var mu sync.Mutex
	var workers sync.WaitGroup
	enough := func(sent int) bool {
		mu.Lock()
		defer mu.Unlock()
		return sent >= maxUnsentRequests || sent >= unsentRequests && len(unsent) >= minUnsent
	}
	for worker := range unsentWorkers {
		random := newRandom()
		workers.Go(func() {
			for i := 0; !enough(i); i++ {
				path := fmt.Sprintf("/request-%d-%d", worker, i)
				r := request(strings.Repeat("x", random.IntN(4)*maxInlineBodyBytes/2))
				r.Method, r.URL = http.MethodPost, &url.URL{Opaque: path}
				ctx, cancel := context.WithCancel(context.Background())
				if random.IntN(4) == 0 {
					time.AfterFunc(time.Duration(random.IntN(int(maxCancelDelay))), cancel)
				}
				_, err := pool.Do(ctx, r, time.Now().Add(time.Second))
				cancel()
				var e *Error
				mu.Lock()
				if errors.As(err, &e) {
					if kinds[e.Kind]++; e.Kind == KindNotSent {
						unsent = append(unsent, path)
					}
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	// What the server has not read by now was not sent, since it ends each connection.
	time.Sleep(100 * time.Millisecond)
	if len(unsent) < minUnsent || kinds[KindBroken] == 0 {
		t.Errorf("errors %v, want %d of %s and some of %s", kinds, minUnsent, KindNotSent, KindBroken)
	}
	for _, path := range unsent {
		if received.contains(path) {
			t.Errorf("%s counts as not sent, and the target has read it", path)
		}
	}
	t.Logf("errors %v", kinds)
}
