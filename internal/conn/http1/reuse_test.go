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

const headerMark = "X-Mark"

// marks reads the marks of requests and replies in tests.
type marks struct{}

func (marks) OfRequest(r *http.Request) string { return r.Header.Get(headerMark) }
func (marks) OfReply(r *Reply) string          { return r.Header.Get(headerMark) }

// marked is a reply with a mark; an empty one has none.
func marked(status int, mark, body string) string {
	if mark != "" {
		mark = headerMark + ": " + mark + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, mark, len(body), body)
}

func doMarked(p *Pool, mark string) (*Reply, error) {
	r := request("")
	r.Header.Set(headerMark, mark)
	return p.Do(context.Background(), r, time.Now().Add(10*time.Second))
}

// Guards against a late reply to an earlier request that is taken for the reply to
// this one, a refusal above all: the request would be sent elsewhere as not run.
func TestRepliesToOtherRequestsAreSkipped(t *testing.T) {
	refusal := marked(503, "earlier", "full")
	for _, tt := range []struct {
		name, answer string
		want         Kind
	}{
		{"own", marked(200, "now", "ok"), ""},
		{"without a mark", marked(200, "", "ok"), ""},
		{"after a late refusal", refusal + marked(200, "now", "ok"), ""},
		{"after a late success", marked(200, "earlier", "old") + marked(200, "now", "ok"), ""},
		{"after several", strings.Repeat(refusal, straysMost) + marked(200, "now", "ok"), ""},
		{"after too many", strings.Repeat(refusal, straysMost+1) + marked(200, "now", "ok"), KindCorrupt},
		{"never", refusal, KindBroken},
	} {
		t.Run(tt.name, func(t *testing.T) {
			pool := server(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
				if readOne(reader) == nil {
					say(conn, tt.answer)
				}
			})
			pool.Marks = marks{}
			reply, err := doMarked(pool, "now")
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

// A connection on which a late reply came is not used again, nor is one for the same
// request twice: a late reply to the first attempt would bear the mark of the second.
func TestConnectionsWithoutDoubtAreUsedAgain(t *testing.T) {
	for _, tt := range []struct {
		name   string
		late   string
		mark   string
		reused bool
	}{
		{"another request", "", "other", true},
		{"the same request", "", "first", false},
		{"after a late reply", marked(503, "earlier", "full"), "other", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			pool := server(t, func(number int, conn net.Conn, reader *bufio.Reader) {
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					say(conn, tt.late+marked(200, r.Header.Get(headerMark), fmt.Sprint(number)))
				}
			})
			pool.Marks = marks{}
			numbers := ""
			for _, mark := range []string{"first", tt.mark} {
				reply, err := doMarked(pool, mark)
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

// A request that must not be sent again is not risked on a connection that its target
// may have forgotten meanwhile; others may use it.
func TestRestedConnectionsCarryNothingThatMustNotBeSentAgain(t *testing.T) {
	for _, tt := range []struct {
		name   string
		rested time.Duration
		send   func(p *Pool, ctx context.Context, r *http.Request, deadline time.Time) (*Reply, error)
		reused bool
	}{
		{"once, just used", -time.Hour, (*Pool).DoOnce, true},
		{"once, rested", 2 * restMost, (*Pool).DoOnce, false},
		{"any, rested", 2 * restMost, (*Pool).Do, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			pool := server(t, func(number int, conn net.Conn, reader *bufio.Reader) {
				for readOne(reader) == nil {
					say(conn, marked(200, "", fmt.Sprint(number)))
				}
			})
			if _, err := do(pool); err != nil {
				t.Fatal(err)
			}
			pool.idle[0].rests = time.Now().Add(-tt.rested)
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
