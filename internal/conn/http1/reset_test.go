package http1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// longBody doesn't fit the buffers of a connection to a target that doesn't read it.
	longBody = 6 << 20
	// targetBuffer, in bytes, is the receive buffer of targets.
	targetBuffer = 4 << 10
	// resets is the number of requests for each case; which call the system tells of a
	// reset varies.
	resets = 40

	unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	wholeBody    = "the whole body"
	halfBody     = "the whole"
)

// startTarget is startServer with small receive buffers and without buffers in between.
func startTarget(t *testing.T, script func(conn *net.TCPConn)) *Pool {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, targetBuffer)
		})
		return errors.Join(err, failed)
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(conn.(*net.TCPConn))
			}()
		}
	}()
	pool := &Pool{Address: listener.Addr().String()}
	t.Cleanup(pool.Close)
	return pool
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// readHeadOf reads the head of a request byte by byte, so that its body stays unread.
func readHeadOf(conn *net.TCPConn) {
	var head strings.Builder
	var one [1]byte
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		if _, err := conn.Read(one[:]); err != nil {
			return
		}
		head.WriteByte(one[0])
	}
}

// Guards against half of an answer that passes as a whole one: the answer has no length and
// its connection is reset, which the system told to the writer of the request's body, while
// the reader of the answer saw an end.
func TestUnframedReplyThatIsResetIsNotWhole(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		for _, body := range []int{0, 9 << 10, 200 << 10, longBody} {
			t.Run(fmt.Sprintf("%d bytes, reset after %v", body, delay), func(t *testing.T) {
				pool := startTarget(t, func(conn *net.TCPConn) {
					readHeadOf(conn)
					writeText(conn, unframedHead+halfBody)
					time.Sleep(delay)
					resetConn(conn)
				})
				for range resets {
					reply, err := pool.Do(context.Background(), request(strings.Repeat("x", body)), time.Now().Add(10*time.Second))
					var e *Error
					if !errors.As(err, &e) || e.Kind != KindBroken && e.Kind != KindReset {
						t.Fatalf("%v, %v, want a broken connection", reply, err)
					}
				}
			})
		}
	}
}

// Guards against a whole answer that is refused, or waited for until the deadline, since the
// target answers before it has read the request's body, and never reads the rest.
func TestUnframedReplyBeforeTheBodyIsReadIsWhole(t *testing.T) {
	for _, tt := range []struct {
		name string
		// end is called after the answer and the end of its stream.
		end func(conn *net.TCPConn)
	}{
		{"kept open", func(*net.TCPConn) { time.Sleep(100 * time.Millisecond) }},
		{"closed", func(*net.TCPConn) {}},
		{"reset", resetConn},
		{"reset later", func(conn *net.TCPConn) {
			time.Sleep(time.Millisecond)
			resetConn(conn)
		}},
	} {
		for _, body := range []int{9 << 10, 200 << 10, longBody} {
			t.Run(fmt.Sprintf("%s, %d bytes", tt.name, body), func(t *testing.T) {
				pool := startTarget(t, func(conn *net.TCPConn) {
					readHeadOf(conn)
					writeText(conn, unframedHead+wholeBody)
					_ = conn.CloseWrite()
					tt.end(conn)
				})
				for range resets {
					began := time.Now()
					reply, err := pool.Do(context.Background(), request(strings.Repeat("x", body)), began.Add(10*time.Second))
					if err != nil || string(reply.Body) != wholeBody {
						t.Fatalf("%v, %v, want the whole answer", reply, err)
					}
					if took := time.Since(began); took > 5*time.Second {
						t.Fatalf("the answer took %v", took)
					}
				}
			})
		}
	}
}

// Guards against an answer with a length that is refused since its connection was reset
// after it.
func TestFramedReplyBeforeAResetIsWhole(t *testing.T) {
	for _, body := range []int{6 << 10, 9 << 10, longBody} {
		t.Run(fmt.Sprint(body), func(t *testing.T) {
			pool := startTarget(t, func(conn *net.TCPConn) {
				readHeadOf(conn)
				writeText(conn, strings.Replace(wholeReply, "\r\n", "\r\nConnection: close\r\n", 1))
				time.Sleep(20 * time.Millisecond)
				resetConn(conn)
			})
			for range resets {
				reply, err := pool.Do(context.Background(), request(strings.Repeat("x", body)), time.Now().Add(10*time.Second))
				if err != nil || string(reply.Body) != "ok" {
					t.Fatalf("%v, %v, want the whole answer", reply, err)
				}
			}
		})
	}
}

// Guards against a target at its connection limit, which resets new connections, that
// counts as having lost answers, as it did if the writer of the request was told first.
func TestResetOfANewConnectionIsNoLostAnswer(t *testing.T) {
	for _, tt := range []struct {
		name string
		read int
	}{{"at once", 0}, {"after one byte", 1}} {
		for _, body := range []int{0, 4 << 10, 9 << 10, 200 << 10, longBody} {
			t.Run(fmt.Sprintf("%s, %d bytes", tt.name, body), func(t *testing.T) {
				pool := startTarget(t, func(conn *net.TCPConn) {
					_, _ = conn.Read(make([]byte, tt.read))
					resetConn(conn)
				})
				kinds := map[Kind]int{}
				for range resets {
					raw, err := net.Dial("tcp", pool.Address)
					if err != nil {
						// The reset came before the connection was open.
						kinds[KindNotSent]++
						continue
					}
					c := newConn(raw, nil)
					// A slow machine must not make the reset look late.
					c.connectTime = time.Minute
					_, _, err = c.exchange(request(strings.Repeat("x", body)), time.Now().Add(10*time.Second), pool)
					c.close()
					var e *Error
					if !errors.As(err, &e) {
						t.Fatalf("%v, want an error", err)
					}
					kinds[e.Kind]++
				}
				if kinds[KindReset]+kinds[KindNotSent] < resets {
					t.Errorf("kinds %v, want only %s and %s", kinds, KindReset, KindNotSent)
				}
			})
		}
	}
}
