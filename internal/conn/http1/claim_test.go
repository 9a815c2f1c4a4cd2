package http1

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
)

// replyForms frame a body in each way that a reply may.
var replyForms = []struct {
	name  string
	frame func(body string) string
}{
	{"length", func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}},
	{"chunked", func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}},
	{"unframed", func(body string) string { return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body }},
}

func startReplier(t *testing.T, reply string) *Pool {
	return startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for readRequest(reader) == nil {
			writeText(conn, reply)
			if strings.Contains(reply, "Connection: close") {
				return
			}
		}
	})
}

// A reply that comes after its request has ended shows that the target answers, so it is
// read, whatever its size and form. Nobody needs its body.
func TestRepliesAfterTheRequestAreRead(t *testing.T) {
	for _, form := range replyForms {
		for _, size := range []int{2, 500, 20 << 10, 300 << 10} {
			t.Run(fmt.Sprint(form.name, " ", size), func(t *testing.T) {
				pool := startReplier(t, form.frame(strings.Repeat("x", size)))
				answers := &room.Room{MaxBytes: 1 << 20}
				claim := answers.Open(func() {})
				claim.Close()
				reply, err := pool.Do(room.With(t.Context(), claim), request(""), time.Now().Add(5*time.Second))
				if err != nil || reply.Status != http.StatusOK {
					t.Fatalf("reply %+v, error %v", reply, err)
				}
				if kept := len(pool.idle) > 0; kept != (form.name != "unframed") {
					t.Errorf("the connection is kept: %v", kept)
				}
				if used := answers.Used(); used != 0 {
					t.Errorf("%d bytes are claimed", used)
				}
			})
		}
	}
}

// A short reply claims little, also if it does not state its length: a gather claims as much
// for each of its shards.
func TestShortRepliesClaimLittle(t *testing.T) {
	const size = 500
	for _, form := range replyForms {
		t.Run(form.name, func(t *testing.T) {
			pool := startReplier(t, form.frame(strings.Repeat("x", size)))
			answers := &room.Room{MaxBytes: 1 << 20}
			claim := answers.Open(func() {})
			defer claim.Close()
			reply, err := pool.Do(room.With(t.Context(), claim), request(""), time.Now().Add(5*time.Second))
			if err != nil || len(reply.Body) != size {
				t.Fatalf("reply %+v, error %v", reply, err)
			}
			if used := answers.Used(); used > room.SmallBytes {
				t.Errorf("%d bytes are claimed", used)
			}
		})
	}
}
