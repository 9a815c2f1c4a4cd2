package server_test

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

	"github.com/magnoliarelay/magnoliarelay/internal/process/meter"
	"github.com/magnoliarelay/magnoliarelay/internal/process/server"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// backend answers searches after a delay.
type backend struct{ delay time.Duration }

func (b *backend) Search(ctx context.Context, _ time.Time, _ *wire.SearchRequest) (*wire.SearchAnswer, *wire.Refusal) {
	select {
	case <-time.After(b.delay):
		return &wire.SearchAnswer{Complete: true}, nil
	case <-ctx.Done():
		return nil, &wire.Refusal{Kind: wire.RefusalCancelled, Ran: wire.RanUnknown}
	}
}

func (b *backend) Execute(context.Context, time.Time, *wire.ExecuteRequest) (*wire.ExecuteAnswer, *wire.Refusal) {
	return nil, &wire.Refusal{Kind: wire.RefusalUncertain, Ran: wire.RanUnknown, RetryAfterMillis: 1500}
}

func (b *backend) Addresses(string, string) *wire.AddressList { return &wire.AddressList{} }
func (b *backend) Status() any                                { return struct{ Name string }{"<d>"} }
func (b *backend) Ready() (bool, string)                      { return false, "joining" }

func start(t *testing.T, delay time.Duration) *server.Server {
	t.Helper()
	s := &server.Server{Address: "127.0.0.1:0", Name: "d", Backend: &backend{delay: delay}, Meter: meter.New()}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Kill)
	return s
}

const validSearch = `{"Deployment":"D","Service":"S","Caller":"c","RequestID":"r","Deadline":"300ms","Query":"q"}`

func TestReplies(t *testing.T) {
	s := start(t, 0)
	execute := strings.TrimSuffix(validSearch, "}") + `,"IdempotencyKey":"k","Command":"x"}`
	execute = strings.Replace(execute, `"Query":"q",`, "", 1)
	tests := []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{"search", "POST", "/v1/search", validSearch, 200, `"Complete":true`},
		{"malformed", "POST", "/v1/search", "{", 400, `"Ran":"NotRun"`},
		{"oversized", "POST", "/v1/search", strings.Repeat("x", 1<<20), 400, "larger than 65536"},
		{"wrong method", "GET", "/v1/search", "", 405, `"Kind":"Invalid"`},
		{"no such page", "GET", "/v2/search", "", 404, `"Ran":"NotRun"`},
		{"outcome unknown", "POST", "/v1/execute", execute, 502, `"Ran":"Unknown"`},
		{"not ready", "GET", "/ready", "", 503, "joining"},
		{"page escapes", "GET", "/", "", 200, `\u003cd\u003e`},
		{"metrics", "GET", "/metrics", "", 200, "go_goroutines"},
		{"profiles", "GET", "/debug/pprof/", "", 200, "goroutine"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), tt.method, "http://"+s.Address+tt.path, strings.NewReader(tt.body))
			if err != nil {
				t.Fatal(err)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != tt.status || !strings.Contains(string(body), tt.want) {
				t.Errorf("status %d, body %.300s", response.StatusCode, body)
			}
		})
	}
}

// A caller that has closed the sending side of its connection after the request still
// gets the whole answer.
func TestHalfClosedCallerGetsItsAnswer(t *testing.T) {
	s := start(t, 50*time.Millisecond)
	conn, err := net.Dial("tcp", s.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/search HTTP/1.1\r\nHost: d\r\nContent-Length: %d\r\n\r\n%s", len(validSearch), validSearch)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || !strings.Contains(string(body), `"Complete":true`) {
		t.Errorf("body %s, %v", body, err)
	}
}

func TestStopWaitsForRequestsInFlight(t *testing.T) {
	s := start(t, 400*time.Millisecond)
	got := make(chan error, 1)
	go func() {
		response, err := http.Post("http://"+s.Address+"/v1/search", "application/json", strings.NewReader(validSearch))
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		got <- err
	}()
	for s.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := s.Stop(t.Context()); err != nil {
		t.Errorf("stop: %v", err)
	}
	if err := <-got; err != nil {
		t.Errorf("the request in flight: %v", err)
	}
}

// A request for which a stop has no time left gets an answer, and Stop reports it.
func TestStopAnswersAndReportsInterruptedRequests(t *testing.T) {
	s := start(t, 5*time.Second)
	got := make(chan string, 1)
	go func() {
		response, err := http.Post("http://"+s.Address+"/v1/search", "application/json", strings.NewReader(validSearch))
		if err != nil {
			got <- err.Error()
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		got <- fmt.Sprint(response.StatusCode, " ", string(body), err)
	}()
	for s.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := s.Stop(ctx); err == nil || !strings.Contains(err.Error(), "no time left for 1 requests") || s.Interrupted() != 1 {
		t.Errorf("stop: %v, interrupted %d", err, s.Interrupted())
	}
	if answer := <-got; !strings.Contains(answer, `"Ran":"Unknown"`) {
		t.Errorf("the interrupted request got %s", answer)
	}
}
