package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// The cases of RFC 9112, section 6.3, in which a reply ends with its head. Guards against a
// target that counts as broken after a reply to HEAD, since a body is waited for, and
// against a connection on which the next reply is misread.
func TestRepliesWithoutBody(t *testing.T) {
	for _, tt := range []struct {
		name, method, reply string
		status              int
	}{
		{"HEAD with a length", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 48\r\n\r\n", http.StatusOK},
		{"HEAD without a length", http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", http.StatusOK},
		{"HEAD with chunks announced", http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", http.StatusOK},
		{"HEAD with a very great length", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", http.StatusOK},
		{"HEAD of an error", http.MethodHead, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\n\r\n", http.StatusInternalServerError},
		{"HEAD after an interim reply", http.MethodHead, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 48\r\n\r\n", http.StatusOK},
		{"204", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", http.StatusNoContent},
		{"204 with a length", http.MethodGet, "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", http.StatusNoContent},
		{"304 with a length", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 48\r\n\r\n", http.StatusNotModified},
		{"no content", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			connections := make(chan int, 4)
			p := startServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
				connections <- number
				for _, reply := range []string{tt.reply, wholeReply} {
					if readRequest(reader) != nil {
						return
					}
					writeText(conn, reply)
				}
			})
			first := request("")
			first.Method = tt.method
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			reply, err := p.Do(ctx, first, time.Now().Add(2*time.Second))
			if err != nil || reply.Status != tt.status || len(reply.Body) > 0 {
				t.Fatalf("reply %+v, error %v", reply, err)
			}
			reply, err = do(p)
			if err != nil || string(reply.Body) != "ok" {
				t.Errorf("the next reply: %+v, error %v", reply, err)
			}
			if len(connections) != 1 {
				t.Errorf("%d connections, want one", len(connections))
			}
		})
	}
}
