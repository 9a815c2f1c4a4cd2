package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/edge"
	"github.com/magnoliarelay/magnoliarelay/internal/request/relay"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// codec passes on the host and the body.
type codec struct{}

func (codec) Read(r *http.Request) *relay.Request { return &relay.Request{ID: "1", Host: r.Host} }

func (codec) Write(w http.ResponseWriter, _ *relay.Request, answer *relay.Answer) error {
	_, err := w.Write(answer.Body)
	return err
}

// Guards against a success without a body for a request that was given up: a caller that
// has only ended its own side of the connection still reads.
func TestRequestThatWasGivenUpIsNoSuccess(t *testing.T) {
	s := &edge.Server{
		Address: "127.0.0.1:0", Codec: codec{}, Limits: func() *tree.Limits { return nil },
		WriteFailed: func(_ *relay.Request, err error) { t.Error(err) },
		Serve: func(ctx context.Context, _ *relay.Request) *relay.Answer {
			<-ctx.Done()
			return &relay.Answer{Result: relay.CallerLeft}
		},
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	conn, err := net.Dial("tcp", s.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: d\r\n\r\n")
	if tcp, ok := conn.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		t.Fatal("cannot end one side of the connection")
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		t.Errorf("status %d with %d bytes", response.StatusCode, len(body))
	}
}

// Guards against an answer that is lost because its target took longer than the time that
// is allowed for writing it.
func TestTimeForWritingBeginsWithTheAnswer(t *testing.T) {
	const writeTimeout = 200 * time.Millisecond
	s := &edge.Server{
		Address: "127.0.0.1:0", Codec: codec{}, Limits: func() *tree.Limits { return nil }, WriteTimeout: writeTimeout,
		WriteFailed: func(_ *relay.Request, err error) { t.Error(err) },
		Serve: func(context.Context, *relay.Request) *relay.Answer {
			time.Sleep(2 * writeTimeout)
			return &relay.Answer{Result: relay.Passed, Body: []byte("late")}
		},
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for range 2 {
		response, err := http.Get("http://" + s.Address)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || string(body) != "late" {
			t.Errorf("body %q, %v", body, err)
		}
	}
}

// Guards against a final refusal of a proper body by a daemon that does not know the
// operator's limits yet.
func TestLargeBodyBeforeLimitsAreKnown(t *testing.T) {
	s := &edge.Server{
		Address: "127.0.0.1:0", Codec: resultCodec{}, Limits: func() *tree.Limits { return nil },
		WriteFailed: func(_ *relay.Request, err error) { t.Error(err) },
		Serve: func(context.Context, *relay.Request) *relay.Answer {
			t.Error("a request was served without its body")
			return &relay.Answer{Result: relay.Passed}
		},
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	response, err := http.Post("http://"+s.Address, "", strings.NewReader(strings.Repeat("x", 100<<10)))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if body, _ := io.ReadAll(response.Body); string(body) != string(relay.NotRun) {
		t.Errorf("status %d, %s", response.StatusCode, body)
	}
}

// resultCodec writes the result of an answer.
type resultCodec struct{ codec }

func (resultCodec) Write(w http.ResponseWriter, _ *relay.Request, answer *relay.Answer) error {
	_, err := io.WriteString(w, string(answer.Result))
	return err
}
