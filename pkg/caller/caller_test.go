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

// daemon answers a caller as a test says and notes what it was sent.
type daemon struct {
	*httptest.Server
	mu      sync.Mutex
	list    wire.AddressList
	reply   func(n int, w http.ResponseWriter)
	bodies  []wire.ExecuteRequest
	listing int
}

func newDaemon(t *testing.T) *daemon {
	t.Helper()
	d := &daemon{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.listing++
		_ = json.NewEncoder(w).Encode(&d.list)
	})
	answer := func(w http.ResponseWriter, r *http.Request) {
		var body wire.ExecuteRequest
		_ = json.NewDecoder(r.Body).Decode(&body)
		d.mu.Lock()
		d.bodies = append(d.bodies, body)
		n := len(d.bodies)
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

// sent returns what the daemon was sent so far.
func (d *daemon) sent() []wire.ExecuteRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]wire.ExecuteRequest(nil), d.bodies...)
}

// lists returns how often the daemon was asked for its list.
func (d *daemon) lists() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listing
}

func refuse(w http.ResponseWriter, kind wire.RefusalKind, ran wire.Ran, after int64) {
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(&wire.Refusal{Kind: kind, Ran: ran, RetryAfterMillis: after})
}

func ok(w http.ResponseWriter) { _, _ = w.Write([]byte(`{"Complete":true,"Result":"7"}`)) }

func TestSearchResends(t *testing.T) {
	tests := []struct {
		name  string
		first func(w http.ResponseWriter)
		sends int
		fails bool
	}{
		{"after not ready", func(w http.ResponseWriter) { refuse(w, wire.RefusalNotReady, wire.RanNo, 1) }, 2, false},
		{"after a lost connection", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, 2, false},
		{"not after overload", func(w http.ResponseWriter) { refuse(w, wire.RefusalOverloaded, wire.RanNo, 1) }, 1, true},
		{"not after quarantine", func(w http.ResponseWriter) { refuse(w, wire.RefusalQuarantined, wire.RanNo, 1) }, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon(t)
			d.reply = func(n int, w http.ResponseWriter) {
				if n == 1 {
					tt.first(w)
				}
				ok(w)
			}
			c := &caller.Caller{Seeds: []string{d.URL}}
			_, err := c.Search(t.Context(), caller.Query{Text: "q", Deadline: time.Second})
			if (err != nil) != tt.fails || len(d.sent()) != tt.sends {
				t.Errorf("%d sends, error %v", len(d.sent()), err)
			}
		})
	}
}

func TestExecuteResendsToOneHomeUnderOneKey(t *testing.T) {
	first, second := newDaemon(t), newDaemon(t)
	first.list.Addresses = append(first.list.Addresses, wire.Address{URL: second.URL, Home: "other.1.1"})
	lose := func(_ int, _ http.ResponseWriter) { panic(http.ErrAbortHandler) }
	first.reply, second.reply = lose, lose
	c := &caller.Caller{Seeds: []string{first.URL}}
	_, err := c.Execute(t.Context(), caller.Command{Text: "print", Key: "k", Deadline: 400 * time.Millisecond})
	var e *caller.Error
	if !errors.As(err, &e) || e.Kind != caller.KindUnknown {
		t.Errorf("error %v, want an unknown outcome", err)
	}
	bodies := append(first.sent(), second.sent()...)
	for _, body := range bodies {
		if body.IdempotencyKey != "k" || body.Home != bodies[0].Home {
			t.Errorf("sent %+v after %+v", body, bodies[0])
		}
	}
	if len(first.sent()) == 0 || len(second.sent()) == 0 {
		t.Errorf("%d sends to one, %d to the other", len(first.sent()), len(second.sent()))
	}
}

func TestListIsKeptAndOldListOutlivesItsSource(t *testing.T) {
	d := newDaemon(t)
	d.reply = func(_ int, w http.ResponseWriter) { ok(w) }
	seed := newDaemon(t)
	seed.list = d.list
	c := &caller.Caller{Seeds: []string{seed.URL}}
	for range 5 {
		if _, err := c.Search(t.Context(), caller.Query{Text: "q", Deadline: time.Second}); err != nil {
			t.Fatal(err)
		}
	}
	if seed.lists() != 1 {
		t.Errorf("asked for the list %d times within its time to keep", seed.lists())
	}
	seed.Close()
	if _, err := c.Search(t.Context(), caller.Query{Text: "q", Deadline: time.Second}); err != nil {
		t.Errorf("after the seed has gone: %v", err)
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
