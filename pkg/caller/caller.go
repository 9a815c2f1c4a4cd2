package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	lru "github.com/hashicorp/golang-lru/v2/expirable"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/process/sleep"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Kind classifies an Error.
type Kind string

// The kinds of Error.
const (
	// KindRefused means that a daemon answered with a refusal.
	KindRefused Kind = "Refused"
	// KindUnreachable means that no daemon could be reached.
	KindUnreachable Kind = "Unreachable"
	// KindUnknown means that a non-idempotent request may have run.
	KindUnknown Kind = "OutcomeUnknown"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Refusal is set if Kind is KindRefused, or if Kind is KindUnknown because
	// of a refusal.
	Refusal *wire.Refusal
	Err     error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	text := e.Op + ": " + string(e.Kind)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

const (
	maxReplyBytes             = 32 << 20
	maxResponseHeaderBytes    = 64 << 10
	resendDelay               = 50 * time.Millisecond
	defaultListLifetime       = time.Second
	listTimeout               = 2 * time.Second
	maxIdleConnectionsPerHost = 64
	replyOverhead             = 250 * time.Millisecond
	// maxHomes and homeLifetime limit the cache of homes by key. The cache makes
	// a program that executes a key again use the same home.
	maxHomes = 1 << 16
	// homeListSlack is added to the lifetime of home tokens, since fetching the
	// address list takes time.
	homeListSlack = 2 * time.Second
	homeLifetime  = 10 * time.Minute
)

// Caller is a client for one caller of one deployment. Set the exported fields
// before use; the methods are safe for concurrent use.
type Caller struct {
	// Seeds are the base URLs of some daemons. Caller gets the address list from
	// them when it has none, or when no daemon of its list answers.
	Seeds      []string
	Deployment string
	// Name is the caller's name in the settings.
	Name       string
	DataCentre string
	Region     string

	once           sync.Once
	client         *http.Client
	mu             mutex.Mutex
	addressList    *wire.AddressList
	listReceivedAt time.Time
	rotation       atomic.Uint64
	refreshMu      mutex.Mutex
	homeByKey      *lru.LRU[string, wire.Address]
}

// Query is one search.
type Query struct {
	Service string
	Text    string
	// Deadline is the maximum time that the caller waits.
	Deadline time.Duration
	// Limit is the maximum number of hits, 1 to 1000; zero means 10.
	Limit int
	// All requests every match in pages; Cursor continues after a page.
	All    bool
	Cursor string
	// LeastCoverage is the minimum share of shards accepted; nil uses the
	// minimum of the settings.
	LeastCoverage *float64
}

// Command is one non-idempotent request.
type Command struct {
	Service string
	Text    string
	// Key identifies the request in all its resends.
	Key      string
	Deadline time.Duration
}

// Search returns the answer to a query. It resends the query to another daemon
// if one is unreachable or cannot serve it now, since a search is idempotent.
func (c *Caller) Search(ctx context.Context, q Query) (*wire.SearchAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Deadline+replyOverhead)
	defer cancel()
	end := time.Now().Add(q.Deadline)
	id := uuid.NewString()
	var lastErr error
	for attempt := 0; attempt == 0 || time.Now().Before(end) && ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			sleep.For(ctx, resendDelay)
		}
		address, err := c.selectAddress(ctx, attempt)
		if err != nil {
			lastErr = err
			continue
		}
		var answer wire.SearchAnswer
		refusal, err := c.postJSON(ctx, address.URL+"/v1/search", &wire.SearchRequest{
			Deployment: c.Deployment, Service: q.Service, Caller: c.Name, RequestID: id,
			Deadline: max(time.Until(end), time.Millisecond).String(), Query: q.Text, Limit: q.Limit,
			All: q.All, Cursor: q.Cursor, LeastCoverage: q.LeastCoverage,
		}, &answer)
		switch {
		case err != nil:
			lastErr = &Error{Op: "search", Kind: KindUnreachable, Err: err}
		case refusal != nil && otherDaemonMayServe(refusal):
			lastErr = refusalError("search", refusal)
		case refusal != nil:
			return nil, refusalError("search", refusal)
		default:
			return &answer, nil
		}
	}
	return nil, lastErr
}

// otherDaemonMayServe reports whether another daemon may serve a search that one daemon
// refused. A daemon that stops refuses with RefusalUncertain what it has begun.
func otherDaemonMayServe(refusal *wire.Refusal) bool {
	return refusal.Kind == wire.RefusalUncertain ||
		refusal.Ran == wire.RanNo && (refusal.Kind == wire.RefusalNotReady || refusal.Kind == wire.RefusalNoTarget)
}

// Each calls handle with every match, page by page. All matches are of one index
// version. Each stops at the first error.
func (c *Caller) Each(ctx context.Context, q Query, handle func(wire.Hit) error) error {
	q.All = true
	for {
		answer, err := c.Search(ctx, q)
		if err != nil {
			return err
		}
		for _, hit := range answer.Hits {
			if err := handle(hit); err != nil {
				return err
			}
		}
		if answer.Cursor == "" {
			return nil
		}
		q.Cursor = answer.Cursor
	}
}

// Execute runs a command at most once. It resends, also through other daemons,
// but always with the same home and key, unless the home refuses the key for good
// because it stops; a later Execute of the key uses them too. An error of KindUnknown means that the command may have run. A refusal
// with Ran "NotRun" guarantees that the command has not run and will not run.
func (c *Caller) Execute(ctx context.Context, command Command) (*wire.ExecuteAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, command.Deadline+replyOverhead)
	defer cancel()
	end := time.Now().Add(command.Deadline)
	home, err := c.homeForKey(ctx, command.Key)
	if err != nil {
		return nil, err
	}
	request := &wire.ExecuteRequest{
		Deployment: c.Deployment, Service: command.Service, Caller: c.Name, RequestID: uuid.NewString(),
		IdempotencyKey: command.Key, Home: home.Home, Command: command.Text,
	}
	address := home
	var lastErr error
	for attempt := 0; attempt == 0 || time.Now().Before(end) && ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			sleep.For(ctx, resendDelay)
			address = c.executeAddress(ctx, home, attempt)
		}
		request.Deadline = max(time.Until(end), time.Millisecond).String()
		var answer wire.ExecuteAnswer
		refusal, err := c.postJSON(ctx, address.URL+"/v1/execute", request, &answer)
		switch {
		case err != nil:
			lastErr = &Error{Op: "execute", Kind: KindUnknown, Err: err}
		case refusal == nil:
			return &answer, nil
		case refusal.Kind == wire.RefusalNotReady && refusal.Ran == wire.RanNo:
			// The home stops and will never run this key, so another home may.
			lastErr = refusalError("execute", refusal)
			c.forgetHome(command.Key)
			if home, err = c.homeForKey(ctx, command.Key); err != nil {
				return nil, lastErr
			}
			request.Home = home.Home
		case refusal.Ran == wire.RanUnknown && refusal.RetryAfterMillis > 0:
			lastErr = &Error{Op: "execute", Kind: KindUnknown, Refusal: refusal, Err: refusal}
		case refusal.Ran == wire.RanUnknown:
			return nil, &Error{Op: "execute", Kind: KindUnknown, Refusal: refusal, Err: refusal}
		default:
			return nil, refusalError("execute", refusal)
		}
	}
	return nil, lastErr
}

// homeForKey returns the home that the key was first sent with, or selects a
// home for a new key.
func (c *Caller) homeForKey(ctx context.Context, key string) (wire.Address, error) {
	c.mu.Lock()
	if c.homeByKey == nil {
		c.homeByKey = lru.NewLRU[string, wire.Address](maxHomes, nil, homeLifetime)
	}
	homes := c.homeByKey
	c.mu.Unlock()
	if home, ok := homes.Get(key); ok {
		return home, nil
	}
	home, err := c.selectAddress(ctx, 0)
	if err != nil {
		return home, err
	}
	if !c.homeTokensUsable() {
		return home, &Error{Op: "find a home", Kind: KindUnreachable, Err: errHomeTokensExpired}
	}
	homes.Add(key, home)
	return home, nil
}

func (c *Caller) forgetHome(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.homeByKey.Remove(key)
}

var errHomeTokensExpired = errors.New("no daemon answered, and the cached home tokens are too old for a first send")

// homeTokensUsable reports whether the home tokens of the cached list may be used
// for a first send. A home may have deleted the keys that were sent with an older
// token.
func (c *Caller) homeTokensUsable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addressList == nil {
		return false
	}
	lifetime := time.Duration(c.addressList.HomeKeepMillis) * time.Millisecond
	return lifetime <= 0 || time.Since(c.listReceivedAt) <= lifetime+homeListSlack
}

func refusalError(op string, refusal *wire.Refusal) error {
	return &Error{Op: op, Kind: KindRefused, Refusal: refusal, Err: refusal}
}

// executeAddress returns the address for a resend: even attempts go to the home
// itself, odd attempts to other daemons.
func (c *Caller) executeAddress(ctx context.Context, home wire.Address, attempt int) wire.Address {
	if attempt%2 == 0 {
		return home
	}
	address, err := c.selectAddress(ctx, attempt)
	if err != nil {
		return home
	}
	return address
}

// postJSON sends a request. It decodes a 200 reply into answer and returns any
// other reply as a refusal.
func (c *Caller) postJSON(ctx context.Context, requestURL string, body, answer any) (*wire.Refusal, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, requestURL, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http never resends a request.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.httpClient().Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes))
	if response.StatusCode == http.StatusOK {
		return nil, decoder.Decode(answer)
	}
	var refusal wire.Refusal
	if err := decoder.Decode(&refusal); err != nil {
		return nil, err
	}
	if refusal.Kind == "" {
		return nil, errors.New("a daemon answered " + strconv.Itoa(response.StatusCode) + " without a refusal")
	}
	return &refusal, nil
}

func (c *Caller) httpClient() *http.Client {
	c.once.Do(func() {
		c.client = &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: maxIdleConnectionsPerHost, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxResponseHeaderBytes},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	})
	return c.client
}

// Close closes the idle connections.
func (c *Caller) Close() { c.httpClient().CloseIdleConnections() }
