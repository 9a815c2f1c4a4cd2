package http1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// Guards against taking a reply with an invalid status for an interim one: what follows on
// the connection would be taken for the answer, or waited for until the deadline.
func TestRepliesWithInvalidStatusAreCorrupt(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "001", "099", "+20"} {
		for _, protocol := range []string{"HTTP/1.1 ", "HTTP/1.0 "} {
			for _, follows := range []struct {
				name, text string
				closed     bool
			}{
				{"kept", "", false}, {"closed", "", true}, {"followed by a sound reply", sound, false},
			} {
				t.Run(protocol+status+" "+follows.name, func(t *testing.T) {
					pool := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
						if readRequest(reader) != nil {
							return
						}
						writeText(conn, protocol+status+" x\r\nContent-Length: 5\r\n\r\nhello"+follows.text)
						if !follows.closed {
							_ = readRequest(reader)
						}
					})
					reply, err := pool.Do(context.Background(), request(""), time.Now().Add(2*time.Second))
					var e *Error
					if !errors.As(err, &e) || e.Kind != KindCorrupt {
						t.Errorf("reply %+v, error %v, want %s", reply, err, KindCorrupt)
					}
					if len(pool.idle) > 0 {
						t.Error("the connection is kept")
					}
				})
			}
		}
	}
}
