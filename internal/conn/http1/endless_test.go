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

// endless are replies that never end: what comes first, and what follows for ever.
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

// stream is a connection from which a text comes, and then another for ever.
type stream struct {
	net.Conn
	reader io.Reader
	read   int
}

// forever repeats a text.
type forever struct {
	text string
	at   int
}

func (f *forever) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = f.text[f.at]
		f.at = (f.at + 1) % len(f.text)
	}
	return len(data), nil
}

func (s *stream) Read(data []byte) (int, error) {
	n, err := s.reader.Read(data)
	s.read += n
	return n, err
}

func (s *stream) Write(data []byte) (int, error)   { return len(data), nil }
func (s *stream) SetDeadline(time.Time) error      { return nil }
func (s *stream) SetReadDeadline(time.Time) error  { return nil }
func (s *stream) SetWriteDeadline(time.Time) error { return nil }
func (s *stream) Close() error                     { return nil }

// The bytes read of a reply that never ends are bounded, wherever it does not end.
func TestEndlessRepliesAreBounded(t *testing.T) {
	for _, tt := range endless {
		t.Run(tt.name, func(t *testing.T) {
			source := &stream{reader: io.MultiReader(strings.NewReader(tt.first), &forever{text: tt.rest})}
			c := newConn(source, nil)
			reply, keep, err := c.exchange(request(""), time.Time{}, &Pool{Bulk: &bulk.Bulk{Most: bulkMost}})
			var e *Error
			if !errors.As(err, &e) || e.Kind != KindCorrupt || reply != nil || keep {
				t.Errorf("reply %v, keep %t, error %v", reply, keep, err)
			}
			if most := headMost + framingFactor*replyMost; source.read > most {
				t.Errorf("%d bytes were read, want at most %d", source.read, most)
			}
			if strings.Contains(tt.name, "head") || strings.Contains(tt.name, "interim") || strings.Contains(tt.name, "line") {
				if source.read > headMost {
					t.Errorf("%d bytes of a head were read, want at most %d", source.read, headMost)
				}
			}
		})
	}
}

// What all pools hold of long bodies is bounded together: 50 targets that never
// end a reply leave the process under 64 MB.
func TestFiftyEndlessTargets(t *testing.T) {
	const targets, most = 50, 64 << 20
	shared := &bulk.Bulk{Most: bulkMost}
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
		pool := server(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
			if readOne(reader) != nil {
				return
			}
			_, _ = io.Copy(conn, io.MultiReader(strings.NewReader(tt.first), &forever{text: tt.rest}))
		})
		pool.Bulk = shared
		group.Go(func() {
			if reply, err := pool.Do(context.Background(), request(""), time.Now().Add(20*time.Second)); err == nil {
				t.Errorf("%s: reply %d", tt.name, reply.Status)
			}
		})
	}
	group.Wait()
	close(stop)
	sampling.Wait()
	if sample(); peak > most {
		t.Errorf("the heap held %d MB, want at most %d", peak>>20, most>>20)
	}
	if !shared.Take(bulkMost) {
		t.Error("not everything was given back")
	}
}

// FuzzReply: whatever a target writes, reading it ends, and a reply that is
// kept leaves nothing behind.
func FuzzReply(f *testing.F) {
	for _, tt := range endless {
		f.Add([]byte(tt.first + tt.rest))
	}
	f.Add([]byte(whole))
	f.Fuzz(func(t *testing.T, data []byte) {
		source := &stream{reader: bytes.NewReader(data)}
		c := newConn(source, nil)
		reply, keep, err := c.exchange(request(""), time.Time{}, &Pool{Bulk: &bulk.Bulk{Most: bulkMost}})
		if (reply == nil) == (err == nil) || keep && c.reader.Buffered() > 0 {
			t.Errorf("reply %v, keep %t, error %v", reply, keep, err)
		}
		if reply != nil && (reply.Status < http.StatusOK || len(reply.Body) > len(data)) {
			t.Errorf("reply %d with %d bytes from %d", reply.Status, len(reply.Body), len(data))
		}
	})
}
