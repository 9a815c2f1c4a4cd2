package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const headerID = "X-Mark"

// headerCorrelator reads the request ID from a header of requests and replies.
type headerCorrelator struct{}

func (headerCorrelator) RequestID(r *http.Request) string { return r.Header.Get(headerID) }
func (headerCorrelator) RepliedID(r *Reply) string        { return r.Header.Get(headerID) }

// replyWithID returns a reply that repeats a request ID, or has none if it is empty.
func replyWithID(status int, id, body string) string {
	if id != "" {
		id = headerID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

func doWithID(p *Pool, id string) (*Reply, error) {
	r := request("")
	r.Header.Set(headerID, id)
	return p.Do(context.Background(), r, time.Now().Add(10*time.Second))
}

// Guards against taking a late reply to an earlier request for the reply to this one.
// A late refusal would be worst: the request may have run and would be sent again.
func TestRepliesToOtherRequestsAreSkipped(t *testing.T) {
	refusal := replyWithID(503, "earlier", "full")
	for _, tt := range []struct {
		name, answer string
		want         Kind
	}{
		{"own", replyWithID(200, "now", "ok"), ""},
		{"without an ID", replyWithID(200, "", "ok"), ""},
		{"after a late refusal", refusal + replyWithID(200, "now", "ok"), ""},
		{"after a late success", replyWithID(200, "earlier", "old") + replyWithID(200, "now", "ok"), ""},
		{"after several", strings.Repeat(refusal, maxMismatchedReplies) + replyWithID(200, "now", "ok"), ""},
		{"after too many", strings.Repeat(refusal, maxMismatchedReplies+1) + replyWithID(200, "now", "ok"), KindCorrupt},
		{"never", refusal, KindBroken},
	} {
		t.Run(tt.name, func(t *testing.T) {
			pool := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				if readRequest(reader) == nil {
					writeText(conn, tt.answer)
				}
			})
			pool.Correlator = headerCorrelator{}
			reply, err := doWithID(pool, "now")
			var e *Error
			switch {
			case tt.want == "" && (err != nil || string(reply.Body) != "ok"):
				t.Errorf("reply %v, error %v", reply, err)
			case tt.want != "" && (!errors.As(err, &e) || e.Kind != tt.want):
				t.Errorf("reply %v, error %v, want %s", reply, err, tt.want)
			}
		})
	}
}

// A connection is not used again after a late reply, nor for a second attempt of the
// same request: a late reply to the first attempt would have the ID of the second.
func TestReuseNeedsMatchingReplies(t *testing.T) {
	for _, tt := range []struct {
		name   string
		late   string
		id     string
		reused bool
	}{
		{"another request", "", "other", true},
		{"the same request", "", "first", false},
		{"after a late reply", replyWithID(503, "earlier", "full"), "other", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			pool := startServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					writeText(conn, tt.late+replyWithID(200, r.Header.Get(headerID), fmt.Sprint(number)))
				}
			})
			pool.Correlator = headerCorrelator{}
			numbers := ""
			for _, id := range []string{"first", tt.id} {
				reply, err := doWithID(pool, id)
				if err != nil {
					t.Fatal(err)
				}
				numbers += string(reply.Body)
			}
			if reused := numbers == "00"; reused != tt.reused {
				t.Errorf("connections %s, reused %v, want %v", numbers, reused, tt.reused)
			}
		})
	}
}

// A request that must not be sent again is not sent on a connection that the target
// may have dropped while it was idle; other requests may use the connection.
func TestDoOnceAvoidsIdleConnections(t *testing.T) {
	for _, tt := range []struct {
		name   string
		idle   time.Duration
		send   func(p *Pool, ctx context.Context, r *http.Request, deadline time.Time) (*Reply, error)
		reused bool
	}{
		{"once, just used", -time.Hour, (*Pool).DoOnce, true},
		{"once, idle for long", 2 * maxUnsafeIdle, (*Pool).DoOnce, false},
		{"any, idle for long", 2 * maxUnsafeIdle, (*Pool).Do, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			pool := startServer(t, func(number int, conn net.Conn, reader *bufio.Reader) {
				for readRequest(reader) == nil {
					writeText(conn, replyWithID(200, "", fmt.Sprint(number)))
				}
			})
			if _, err := do(pool); err != nil {
				t.Fatal(err)
			}
			pool.idle[0].idleSince = time.Now().Add(-tt.idle)
			reply, err := tt.send(pool, context.Background(), request(""), time.Now().Add(10*time.Second))
			if err != nil {
				t.Fatal(err)
			}
			if reused := string(reply.Body) == "0"; reused != tt.reused || len(pool.idle) != 1 {
				t.Errorf("reused %v, want %v; %d connections, want 1", reused, tt.reused, len(pool.idle))
			}
		})
	}
}

// Guards against a connection more with each request of a client that repeats an ID: these
// connections have carried the request, so none of them is used for it again.
func TestRepeatedIDsKeepFewConnections(t *testing.T) {
	const requests = 50
	pool := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		for readRequest(reader) == nil {
			writeText(conn, replyWithID(200, "same", "ok"))
		}
	})
	pool.Correlator = headerCorrelator{}
	for range requests {
		if _, err := doWithID(pool, "same"); err != nil {
			t.Fatal(err)
		}
	}
	if idle := len(pool.idle); idle != 1 {
		t.Errorf("%d connections are idle after %d requests with the same ID, want 1", idle, requests)
	}
}
