package caller_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/pkg/caller"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// fakeDaemon sends the replies that a test defines and records the requests.
type fakeDaemon struct {
	*httptest.Server
	mu           sync.Mutex
	list         wire.AddressList
	reply        func(n int, w http.ResponseWriter)
	requests     []wire.ExecuteRequest
	listRequests int
}

func newFakeDaemon(t *testing.T) *fakeDaemon {
	t.Helper()
	d := &fakeDaemon{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.listRequests++
		_ = json.NewEncoder(w).Encode(&d.list)
	})
	answer := func(w http.ResponseWriter, r *http.Request) {
		var body wire.ExecuteRequest
		_ = json.NewDecoder(r.Body).Decode(&body)
		d.mu.Lock()
		d.requests = append(d.requests, body)
		n := len(d.requests)
		d.mu.Unlock()
		d.reply(n, w)
	}
	mux.HandleFunc("POST /v1/search", answer)
	mux.HandleFunc("POST /v1/execute", answer)
	d.Server = httptest.NewServer(mux)
	t.Cleanup(d.Close)
	d.list = wire.AddressList{Addresses: []wire.Address{{URL: d.URL, Home: "d.1.1"}}, KeepMillis: 60_000}
	return d
}

// received returns the requests that the daemon has received.
func (d *fakeDaemon) received() []wire.ExecuteRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]wire.ExecuteRequest(nil), d.requests...)
}

// listRequestCount returns the number of requests for the address list.
func (d *fakeDaemon) listRequestCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listRequests
}

func refuse(w http.ResponseWriter, kind wire.RefusalKind, ran wire.Ran, retryAfterMillis int64) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(&wire.Refusal{Kind: kind, Ran: ran, RetryAfterMillis: retryAfterMillis})
}

func writeAnswer(w http.ResponseWriter) { _, _ = w.Write([]byte(`{"Complete":true,"Result":"7"}`)) }

func TestSearchResends(t *testing.T) {
	tests := []struct {
		name       string
		firstReply func(w http.ResponseWriter)
		sends      int
		fails      bool
	}{
		{"after not ready", func(w http.ResponseWriter) { refuse(w, wire.RefusalNotReady, wire.RanNo, 1) }, 2, false},
		{"after a lost connection", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, 2, false},
		{"not after overload", func(w http.ResponseWriter) { refuse(w, wire.RefusalOverloaded, wire.RanNo, 1) }, 1, true},
		{"not after quarantine", func(w http.ResponseWriter) { refuse(w, wire.RefusalQuarantined, wire.RanNo, 1) }, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newFakeDaemon(t)
			d.reply = func(n int, w http.ResponseWriter) {
				if n == 1 {
					tt.firstReply(w)
				}
				writeAnswer(w)
			}
			c := &caller.Caller{Seeds: []string{d.URL}}
			_, err := c.Search(t.Context(), caller.Query{Text: "q", Deadline: time.Second})
			if (err != nil) != tt.fails || len(d.received()) != tt.sends {
				t.Errorf("%d sends, error %v", len(d.received()), err)
			}
		})
	}
}

func TestExecuteResendsToOneHomeUnderOneKey(t *testing.T) {
	first, second := newFakeDaemon(t), newFakeDaemon(t)
	first.list.Addresses = append(first.list.Addresses, wire.Address{URL: second.URL, Home: "other.1.1"})
	dropConnection := func(_ int, _ http.ResponseWriter) { panic(http.ErrAbortHandler) }
	first.reply, second.reply = dropConnection, dropConnection
	c := &caller.Caller{Seeds: []string{first.URL}}
	_, err := c.Execute(t.Context(), caller.Command{Text: "print", Key: "k", Deadline: 400 * time.Millisecond})
	var e *caller.Error
	if !errors.As(err, &e) || e.Kind != caller.KindUnknown {
		t.Errorf("error %v, want an unknown outcome", err)
	}
	requests := append(first.received(), second.received()...)
	for _, request := range requests {
		if request.IdempotencyKey != "k" || request.Home != requests[0].Home {
			t.Errorf("sent %+v after %+v", request, requests[0])
		}
	}
	if len(first.received()) == 0 || len(second.received()) == 0 {
		t.Errorf("%d sends to one, %d to the other", len(first.received()), len(second.received()))
	}
}

func TestListIsUsedAfterSeedStops(t *testing.T) {
	d := newFakeDaemon(t)
	d.reply = func(_ int, w http.ResponseWriter) { writeAnswer(w) }
	seed := newFakeDaemon(t)
	seed.list = d.list
	c := &caller.Caller{Seeds: []string{seed.URL}}
	for range 5 {
		if _, err := c.Search(t.Context(), caller.Query{Text: "q", Deadline: time.Second}); err != nil {
			t.Fatal(err)
		}
	}
	if seed.listRequestCount() != 1 {
		t.Errorf("the list was requested %d times within its lifetime", seed.listRequestCount())
	}
	seed.Close()
	if _, err := c.Search(t.Context(), caller.Query{Text: "q", Deadline: time.Second}); err != nil {
		t.Errorf("after the seed stopped: %v", err)
	}
}

func TestNoDaemon(t *testing.T) {
	c := &caller.Caller{Seeds: []string{"http://127.0.0.1:1"}}
	_, err := c.Search(t.Context(), caller.Query{Text: "q", Deadline: 100 * time.Millisecond})
	var e *caller.Error
	if !errors.As(err, &e) || e.Kind != caller.KindUnreachable {
		t.Errorf("error %v", err)
	}
}
