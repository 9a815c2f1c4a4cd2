// Package once decides what becomes of non-idempotent requests at their home,
// the one daemon that may run them.
//
// A token names a home: a daemon, its incarnation, and an expiry by that
// daemon's own monotonic clock. A key runs only at the home that its token
// names, and the home keeps the key until the token can no longer be accepted,
// so within an incarnation a key runs at most once. An incarnation that is gone
// never runs anything again.
//
// # Usage
//
//	h := once.New(once.Config{Daemon: "d1", Incarnation: 17, Life: time.Minute})
//	token := once.Token{Daemon: "d1", Incarnation: 17, ExpiryMillis: uptime + 60000}
//	entry, verdict := h.Begin(uptime, token, key)
//	if verdict == once.Run {
//		h.Finish(entry, once.Result{Outcome: once.Done, Text: "lot 7"})
//	}
//
// Uptimes are durations since the daemon's start.
package once

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
)

// Kind classifies an Error.
type Kind string

// KindMalformed means that a token is not one that a daemon gave out.
const KindMalformed Kind = "Malformed"

// Error is the error of this package.
type Error = fault.Error[Kind]

// Token names a home.
type Token struct {
	Daemon      string
	Incarnation uint64
	// ExpiryMillis is by the home's own uptime.
	ExpiryMillis int64
}

// String writes the token for an address list.
func (t Token) String() string {
	return t.Daemon + "." + strconv.FormatUint(t.Incarnation, 36) + "." + strconv.FormatInt(t.ExpiryMillis, 36)
}

// ParseToken reads a token.
func ParseToken(text string) (Token, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 || parts[0] == "" {
		return Token{}, &Error{Op: "parse token", Kind: KindMalformed}
	}
	incarnation, err := strconv.ParseUint(parts[1], 36, 64)
	if err != nil {
		return Token{}, &Error{Op: "parse token", Kind: KindMalformed, Err: err}
	}
	expiry, err := strconv.ParseInt(parts[2], 36, 64)
	if err != nil {
		return Token{}, &Error{Op: "parse token", Kind: KindMalformed, Err: err}
	}
	return Token{Daemon: parts[0], Incarnation: incarnation, ExpiryMillis: expiry}, nil
}

// Verdict is what to do with a request.
type Verdict int

// The verdicts.
const (
	// Run means that the caller of Begin runs the request and calls Finish.
	Run Verdict = iota
	// Wait means that it runs already: wait for Entry.Done.
	Wait
	// Replay means that it has ended: Entry.Result holds how.
	Replay
	// WrongHome means that the token names another daemon or incarnation.
	WrongHome
	// Expired means that the token is over; whether the key ran is not known.
	Expired
	// Full means that no more keys can be kept; the request has not run.
	Full
	// Mismatch means that the key was used for another command.
	Mismatch
)

// Outcome is how a run ended.
type Outcome string

// The outcomes.
const (
	// Done means that the target ran it and answered.
	Done Outcome = "Done"
	// NotRun means that it has not run, nor will this key at this home.
	NotRun Outcome = "NotRun"
	// Unknown means that it may have run.
	Unknown Outcome = "Unknown"
)

// Result is how a run ended.
type Result struct {
	Outcome Outcome
	Text    string
}

// Entry is one key. Result may be read once Done is closed.
type Entry struct {
	Done   chan struct{}
	Result Result

	key     string
	content uint64
	expiry  int64
}

// Config is set before New.
type Config struct {
	Daemon      string
	Incarnation uint64
	// Life is the longest that a token may be valid from now.
	Life time.Duration
	// KeysMost bounds the keys kept.
	KeysMost int
}

// Home is one daemon's memory of keys. Its methods may be called from any
// goroutine.
type Home struct {
	config Config

	mu      sync.Mutex
	entries map[string]*Entry
}

// New returns an empty home.
func New(config Config) *Home {
	return &Home{config: config, entries: map[string]*Entry{}}
}

// Begin decides on a request. The content tells requests under one key apart.
func (h *Home) Begin(uptime time.Duration, t Token, key string, content uint64) (*Entry, Verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := uptime.Milliseconds()
	if t.Daemon != h.config.Daemon || t.Incarnation != h.config.Incarnation {
		return nil, WrongHome
	}
	if e := h.entries[key]; e != nil {
		return e, h.again(e, min(t.ExpiryMillis, now+h.config.Life.Milliseconds()), content)
	}
	if now >= t.ExpiryMillis || t.ExpiryMillis > now+h.config.Life.Milliseconds() {
		return nil, Expired
	}
	if len(h.entries) >= h.config.KeysMost {
		h.sweep(now)
	}
	if len(h.entries) >= h.config.KeysMost {
		return nil, Full
	}
	e := &Entry{Done: make(chan struct{}), key: key, content: content, expiry: t.ExpiryMillis}
	h.entries[key] = e
	return e, Run
}

// again decides on a key that is known. A later token for the same key keeps
// the key for longer.
func (h *Home) again(e *Entry, expiry int64, content uint64) Verdict {
	if e.content != content {
		return Mismatch
	}
	e.expiry = max(e.expiry, expiry)
	select {
	case <-e.Done:
		return Replay
	default:
		return Wait
	}
}

// Finish records how a run ended and wakes those that wait for it.
func (h *Home) Finish(e *Entry, result Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.Result = result
	close(e.Done)
}

// Sweep forgets keys whose tokens can no longer be accepted.
func (h *Home) Sweep(uptime time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sweep(uptime.Milliseconds())
}

func (h *Home) sweep(now int64) {
	for key, e := range h.entries {
		select {
		case <-e.Done:
			if now >= e.expiry {
				delete(h.entries, key)
			}
		default:
		}
	}
}

// Running returns the number of keys whose run has not ended.
func (h *Home) Running() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	running := 0
	for _, e := range h.entries {
		select {
		case <-e.Done:
		default:
			running++
		}
	}
	return running
}

// Keys returns the number of keys kept.
func (h *Home) Keys() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.entries)
}
