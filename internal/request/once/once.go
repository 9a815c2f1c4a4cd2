// Package once runs each non-idempotent request at most once. It decides on a
// request at the request's home, the one daemon that may run it.
//
// A token names a home: a daemon, its incarnation, and an expiry by the
// monotonic clock of that daemon. The request with a given idempotency key runs
// only at the home that its token names. The home keeps the key until the token
// can no longer be accepted, so the request runs at most once within an incarnation.
// After an incarnation has ended, none of its tokens is accepted.
//
// # Usage
//
//	h := once.New(once.Config{Daemon: "d1", Incarnation: 17, MaxTokenLife: time.Minute, MaxKeys: 1000})
//	token := once.Token{Daemon: "d1", Incarnation: 17, ExpiryMillis: uptime + 60000}
//	entry, verdict := h.Begin(uptime, token, key, contentHash)
//	if verdict == once.Run {
//		h.Finish(entry, once.Result{Outcome: once.Done, Text: "lot 7"})
//	}
//
// An uptime is the duration since the start of the daemon.
package once

import (
	"strconv"
	"strings"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
)

// Kind classifies an Error.
type Kind string

// KindMalformed means that a text is not a valid token.
const KindMalformed Kind = "Malformed"

// Error is the error of this package.
type Error = fault.Error[Kind]

// Token names a home and the time until which the home accepts the token.
type Token struct {
	Daemon      string
	Incarnation uint64
	// ExpiryMillis is the uptime of the home at which the token expires.
	ExpiryMillis int64
}

// String formats the token for an address list.
func (t Token) String() string {
	return t.Daemon + "." + strconv.FormatUint(t.Incarnation, 36) + "." + strconv.FormatInt(t.ExpiryMillis, 36)
}

// ParseToken parses the result of Token.String.
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
	// Run means that the caller of Begin must run the request and call Finish.
	Run Verdict = iota
	// Wait means that the request is already running: wait for Entry.Done.
	Wait
	// Replay means that the request has ended: Entry.Result holds its result.
	Replay
	// WrongHome means that the token names another daemon or incarnation.
	WrongHome
	// Expired means that the token has expired, or expires too far in the future.
	// Whether the request ran is not known.
	Expired
	// Full means that the home can keep no more keys; the request did not run.
	Full
	// Mismatch means that the key was used for another command.
	Mismatch
	// Closed means that the home takes no new keys any more; the request did not run
	// and will not.
	Closed
)

// Outcome classifies the end of a run.
type Outcome string

// The outcomes.
const (
	// Done means that the target ran the request and answered.
	Done Outcome = "Done"
	// NotRun means that the request did not run, and that this home will not run a
	// request with its key.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "Unknown"
)

// Result is the outcome of a run, with the result of the target or the reason why
// there is none.
type Result struct {
	Outcome Outcome
	Text    string
}

// Entry is the state of one key. Result may be read after Done is closed.
type Entry struct {
	Done   chan struct{}
	Result Result

	key         string
	contentHash uint64
	expiry      int64
}

// Config configures a Home.
type Config struct {
	Daemon      string
	Incarnation uint64
	// MaxTokenLife is the maximum time until the expiry of an accepted token.
	MaxTokenLife time.Duration
	// MaxKeys is the maximum number of keys that the home keeps.
	MaxKeys int
}

// Home holds the keys of one daemon. Its methods may be called from any goroutine.
type Home struct {
	config Config

	mu      mutex.Mutex
	closed  bool
	entries map[string]*Entry
	// nextSweep is the uptime, in milliseconds, before which no sweep is worthwhile.
	nextSweep int64
}

// minSweepMillis is the least time between two sweeps of a home that is full.
const minSweepMillis = 1000

// New returns a home without keys.
func New(config Config) *Home {
	return &Home{config: config, entries: map[string]*Entry{}}
}

// Begin decides on a request. The contentHash is a hash of the command, by which
// Begin detects a key that is used for two commands.
func (h *Home) Begin(uptime time.Duration, t Token, key string, contentHash uint64) (*Entry, Verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := uptime.Milliseconds()
	if t.Daemon != h.config.Daemon || t.Incarnation != h.config.Incarnation {
		return nil, WrongHome
	}
	if e := h.entries[key]; e != nil {
		return e, h.decideKnown(e, min(t.ExpiryMillis, now+h.config.MaxTokenLife.Milliseconds()), contentHash)
	}
	if now >= t.ExpiryMillis || t.ExpiryMillis > now+h.config.MaxTokenLife.Milliseconds() {
		return nil, Expired
	}
	if h.closed {
		return nil, Closed
	}
	if len(h.entries) >= h.config.MaxKeys && now >= h.nextSweep {
		h.sweep(now)
		h.nextSweep = now + minSweepMillis
	}
	if len(h.entries) >= h.config.MaxKeys {
		return nil, Full
	}
	e := &Entry{Done: make(chan struct{}), key: key, contentHash: contentHash, expiry: t.ExpiryMillis}
	h.entries[key] = e
	return e, Run
}

// Close makes the home take no new keys. It goes on answering for those that it keeps.
func (h *Home) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
}

// decideKnown decides on a request whose key the home keeps. A token with a later
// expiry extends the time for which the key is kept.
func (h *Home) decideKnown(e *Entry, expiry int64, contentHash uint64) Verdict {
	if e.contentHash != contentHash {
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

// Finish records the result of a run and closes Entry.Done, which wakes the
// requests that wait for it.
func (h *Home) Finish(e *Entry, result Result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.Result = result
	close(e.Done)
}

// Sweep deletes the keys whose runs have ended and whose tokens have expired.
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

// Running returns the number of runs that have not ended.
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

// Keys returns the number of keys that the home keeps.
func (h *Home) Keys() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.entries)
}
