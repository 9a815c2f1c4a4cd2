package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/bulk"
)

// endless are replies that never end: first is sent once, rest is repeated forever.
var endless = []struct{ name, first, rest string }{
	{"status line", "HTTP/1.1 200 ", "xxxxxxxxxxxxxxxx"},
	{"header lines", "HTTP/1.1 200 OK\r\n", "X-Filler: xxxxxxxxxxxxxxxx\r\n"},
	{"one header", "HTTP/1.1 200 OK\r\nX-Filler: ", "xxxxxxxxxxxxxxxx"},
	{"interim replies", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"interim headers", "HTTP/1.1 103 Early Hints\r\n", "X-Filler: xxxxxxxxxxxxxxxx\r\n"},
	{"body without length", "HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxxxxxxxx"},
	{"body of a great length", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", "xxxxxxxxxxxxxxxx"},
	{"small chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "xxxxxxxxxxxxxxxx"},
	{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Filler\r\n\r\n0\r\n", "X-Filler: xxxxxxxxxxxxxxxx\r\n"},
	{"no protocol", "", "xxxxxxxxxxxxxxxx"},
}

// fakeConn is a connection that reads from a reader, counts the bytes read, and
// discards what is written.
type fakeConn struct {
	net.Conn
	reader    io.Reader
	readBytes int
}

// repeatingReader repeats a text forever.
type repeatingReader struct {
	text   string
	offset int
}

func (r *repeatingReader) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = r.text[r.offset]
		r.offset = (r.offset + 1) % len(r.text)
	}
	return len(data), nil
}

func (c *fakeConn) Read(data []byte) (int, error) {
	n, err := c.reader.Read(data)
	c.readBytes += n
	return n, err
}

func (c *fakeConn) Write(data []byte) (int, error)   { return len(data), nil }
func (c *fakeConn) SetDeadline(time.Time) error      { return nil }
func (c *fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }
func (c *fakeConn) Close() error                     { return nil }

// Guards against reading a reply without end: whichever part of it never ends, the
// number of bytes read is bounded.
func TestEndlessRepliesAreBounded(t *testing.T) {
	for _, tt := range endless {
		t.Run(tt.name, func(t *testing.T) {
			fake := &fakeConn{reader: io.MultiReader(strings.NewReader(tt.first), &repeatingReader{text: tt.rest})}
			c := newConn(fake, nil)
			reply, keep, err := c.exchange(request(""), time.Time{}, &Pool{BodyBudget: &bulk.Budget{MaxBytes: defaultBodyBudgetBytes}})
			var e *Error
			if !errors.As(err, &e) || e.Kind != KindCorrupt || reply != nil || keep {
				t.Errorf("reply %v, keep %t, error %v", reply, keep, err)
			}
			if limit := maxHeadBytes + maxFramingFactor*maxReplyBytes; fake.readBytes > limit {
				t.Errorf("%d bytes were read, want at most %d", fake.readBytes, limit)
			}
			if strings.Contains(tt.name, "head") || strings.Contains(tt.name, "interim") || strings.Contains(tt.name, "line") {
				if fake.readBytes > maxHeadBytes {
					t.Errorf("%d bytes of a head were read, want at most %d", fake.readBytes, maxHeadBytes)
				}
			}
		})
	}
}

// The memory for long bodies is bounded over all pools together: with 50 targets
// whose replies never end, the heap stays under 64 MB.
func TestFiftyEndlessTargets(t *testing.T) {
	const targets, limit = 50, 64 << 20
	bodyBudget := &bulk.Budget{MaxBytes: defaultBodyBudgetBytes}
	var peak uint64
	sample := func() {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc)
	}
	stop := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				sample()
			}
		}
	})
	var group sync.WaitGroup
	for i := range targets {
		tt := endless[i%len(endless)]
		pool := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			if readRequest(reader) != nil {
				return
			}
			_, _ = io.Copy(conn, io.MultiReader(strings.NewReader(tt.first), &repeatingReader{text: tt.rest}))
		})
		pool.BodyBudget = bodyBudget
		group.Go(func() {
			if reply, err := pool.Do(context.Background(), request(""), time.Now().Add(20*time.Second)); err == nil {
				t.Errorf("%s: reply %d", tt.name, reply.Status)
			}
		})
	}
	group.Wait()
	close(stop)
	sampling.Wait()
	if sample(); peak > limit {
		t.Errorf("the heap held %d MB, want at most %d", peak>>20, limit>>20)
	}
	if !bodyBudget.Take(defaultBodyBudgetBytes) {
		t.Error("part of the body budget was not given back")
	}
}

// FuzzReply checks that reading ends whatever a target writes, and that no bytes are
// left on a connection that is kept.
func FuzzReply(f *testing.F) {
	for _, tt := range endless {
		f.Add([]byte(tt.first + tt.rest))
	}
	f.Add([]byte(wholeReply))
	f.Fuzz(func(t *testing.T, data []byte) {
		fake := &fakeConn{reader: bytes.NewReader(data)}
		c := newConn(fake, nil)
		reply, keep, err := c.exchange(request(""), time.Time{}, &Pool{BodyBudget: &bulk.Budget{MaxBytes: defaultBodyBudgetBytes}})
		if (reply == nil) == (err == nil) || keep && c.reader.Buffered() > 0 {
			t.Errorf("reply %v, keep %t, error %v", reply, keep, err)
		}
		if reply != nil && (reply.Status < http.StatusOK || len(reply.Body) > len(data)) {
			t.Errorf("reply %d with %d bytes from %d", reply.Status, len(reply.Body), len(data))
		}
	})
}
