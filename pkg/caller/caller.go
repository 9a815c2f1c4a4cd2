package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	lru "github.com/hashicorp/golang-lru/v2/expirable"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	// KindRefused means that a daemon answered with a refusal.
	KindRefused Kind = "Refused"
	// KindUnreachable means that no daemon could be reached.
	KindUnreachable Kind = "Unreachable"
	// KindUnknown means that a non-idempotent request may have run.
	KindUnknown Kind = "OutcomeUnknown"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	// Refusal is set when Kind is KindRefused, or when one preceded KindUnknown.
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
	mostReply     = 32 << 20
	resendPause   = 50 * time.Millisecond
	defaultKeep   = time.Second
	listTimeout   = 2 * time.Second
	idleMost      = 64
	replyOverhead = 250 * time.Millisecond
	// homesMost and homeMemory bound the keys whose home is remembered, so that
	// a program that executes a key again reaches the same home.
	homesMost  = 1 << 16
	homeMemory = 10 * time.Minute
)

// Caller is one caller of one deployment. Exported fields are set before use;
// the methods may then be called from any goroutine.
type Caller struct {
	// Seeds are base URLs of some daemons, asked when no list is held.
	Seeds      []string
	Deployment string
	// Name is the caller's name in the settings.
	Name       string
	DataCentre string
	Region     string

	once    sync.Once
	client  *http.Client
	mu      sync.Mutex
	list    *wire.AddressList
	listed  time.Time
	rotate  atomic.Uint64
	refresh sync.Mutex
	homes   *lru.LRU[string, wire.Address]
}

// Query is one search.
type Query struct {
	Service string
	Text    string
	// Deadline is the longest the caller waits.
	Deadline time.Duration
	// Limit bounds the hits, 1 to 1000; zero means 10.
	Limit int
	// All asks for every match in pages; Cursor continues after a page.
	All    bool
	Cursor string
	// LeastCoverage is the least share of shards accepted; nil leaves it to
	// the settings.
	LeastCoverage *float64
}

// Command is one non-idempotent request.
type Command struct {
	Service string
	Text    string
	// Key names the request through all its resends.
	Key      string
	Deadline time.Duration
}

// Search returns an answer. It resends to another daemon when one can not be
// reached or is not ready, since a search changes nothing.
func (c *Caller) Search(ctx context.Context, q Query) (*wire.SearchAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Deadline+replyOverhead)
	defer cancel()
	end := time.Now().Add(q.Deadline)
	id := uuid.NewString()
	var last error
	for attempt := 0; attempt == 0 || time.Now().Before(end) && ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			sleep(ctx, resendPause)
		}
		address, err := c.address(ctx, attempt)
		if err != nil {
			last = err
			continue
		}
		var answer wire.SearchAnswer
		refusal, err := c.post(ctx, address.URL+"/v1/search", &wire.SearchRequest{
			Deployment: c.Deployment, Service: q.Service, Caller: c.Name, RequestID: id,
			Deadline: max(time.Until(end), time.Millisecond).String(), Query: q.Text, Limit: q.Limit,
			All: q.All, Cursor: q.Cursor, LeastCoverage: q.LeastCoverage,
		}, &answer)
		switch {
		case err != nil:
			last = &Error{Op: "search", Kind: KindUnreachable, Err: err}
		case refusal != nil && elsewhere(refusal):
			last = refused("search", refusal)
		case refusal != nil:
			return nil, refused("search", refusal)
		default:
			return &answer, nil
		}
	}
	return nil, last
}

// elsewhere reports whether another daemon may well answer what this one refused.
func elsewhere(refusal *wire.Refusal) bool {
	return refusal.Ran == wire.RanNo && (refusal.Kind == wire.RefusalNotReady || refusal.Kind == wire.RefusalNoTarget)
}

// Each calls the function with every match, page by page, all of one index
// version. It stops at the first error.
func (c *Caller) Each(ctx context.Context, q Query, each func(wire.Hit) error) error {
	q.All = true
	for {
		answer, err := c.Search(ctx, q)
		if err != nil {
			return err
		}
		for _, hit := range answer.Hits {
			if err := each(hit); err != nil {
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
// but always names the same home and key; so does a later Execute of the key. An error of KindUnknown means that
// the command may have run; a refusal with Ran "NotRun" is a promise.
func (c *Caller) Execute(ctx context.Context, command Command) (*wire.ExecuteAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, command.Deadline+replyOverhead)
	defer cancel()
	end := time.Now().Add(command.Deadline)
	home, err := c.home(ctx, command.Key)
	if err != nil {
		return nil, err
	}
	request := &wire.ExecuteRequest{
		Deployment: c.Deployment, Service: command.Service, Caller: c.Name, RequestID: uuid.NewString(),
		IdempotencyKey: command.Key, Home: home.Home, Command: command.Text,
	}
	to := home
	var last error
	for attempt := 0; attempt == 0 || time.Now().Before(end) && ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			sleep(ctx, resendPause)
			to = c.other(ctx, home, attempt)
		}
		request.Deadline = max(time.Until(end), time.Millisecond).String()
		var answer wire.ExecuteAnswer
		refusal, err := c.post(ctx, to.URL+"/v1/execute", request, &answer)
		switch {
		case err != nil:
			last = &Error{Op: "execute", Kind: KindUnknown, Err: err}
		case refusal == nil:
			return &answer, nil
		case refusal.Ran == wire.RanUnknown && refusal.RetryAfterMillis > 0:
			last = &Error{Op: "execute", Kind: KindUnknown, Refusal: refusal, Err: refusal}
		case refusal.Ran == wire.RanUnknown:
			return nil, &Error{Op: "execute", Kind: KindUnknown, Refusal: refusal, Err: refusal}
		default:
			return nil, refused("execute", refusal)
		}
	}
	return nil, last
}

// home returns the home of a key: the one it was first sent with, or a new one.
func (c *Caller) home(ctx context.Context, key string) (wire.Address, error) {
	c.mu.Lock()
	if c.homes == nil {
		c.homes = lru.NewLRU[string, wire.Address](homesMost, nil, homeMemory)
	}
	homes := c.homes
	c.mu.Unlock()
	if home, ok := homes.Get(key); ok {
		return home, nil
	}
	home, err := c.address(ctx, 0)
	if err == nil {
		homes.Add(key, home)
	}
	return home, err
}

func refused(op string, refusal *wire.Refusal) error {
	return &Error{Op: op, Kind: KindRefused, Refusal: refusal, Err: refusal}
}

// other picks the home itself and other daemons in turn.
func (c *Caller) other(ctx context.Context, home wire.Address, attempt int) wire.Address {
	if attempt%2 == 0 {
		return home
	}
	address, err := c.address(ctx, attempt)
	if err != nil {
		return home
	}
	return address
}

// address returns the address for an attempt: the nearest ones take turns at
// first, the others follow.
func (c *Caller) address(ctx context.Context, attempt int) (wire.Address, error) {
	list, err := c.addresses(ctx, attempt > 0)
	if err != nil {
		return wire.Address{}, err
	}
	near := c.near(list.Addresses)
	if attempt == 0 {
		return list.Addresses[int(c.rotate.Add(1))%near], nil
	}
	return list.Addresses[(int(c.rotate.Load())+attempt)%len(list.Addresses)], nil
}

// near counts the addresses at the front that are in one data centre.
func (c *Caller) near(addresses []wire.Address) int {
	count := 1
	for count < len(addresses) && addresses[count].DataCentre == addresses[0].DataCentre {
		count++
	}
	return count
}

// addresses returns the list held, or a new one when it has run out. After a
// failure an old list is better than none.
func (c *Caller) addresses(ctx context.Context, failed bool) (*wire.AddressList, error) {
	if list := c.held(); list != nil && !failed {
		return list, nil
	}
	c.refresh.Lock()
	defer c.refresh.Unlock()
	if list := c.held(); list != nil && !failed {
		return list, nil
	}
	list, err := c.ask(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.list = list
		c.listed = time.Now()
		return list, nil
	}
	if c.list != nil {
		return c.list, nil
	}
	return nil, &Error{Op: "find addresses", Kind: KindUnreachable, Err: err}
}

func (c *Caller) held() *wire.AddressList {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list == nil {
		return nil
	}
	keep := time.Duration(c.list.KeepMillis) * time.Millisecond
	if keep <= 0 {
		keep = defaultKeep
	}
	if time.Since(c.listed) >= keep {
		return nil
	}
	return c.list
}

var errNoAddress = errors.New("no daemon gave an address")

// ask asks the daemons of the old list, then the seeds.
func (c *Caller) ask(ctx context.Context) (*wire.AddressList, error) {
	var urls []string
	c.mu.Lock()
	if c.list != nil {
		for i := range c.list.Addresses {
			urls = append(urls, c.list.Addresses[i].URL)
		}
	}
	c.mu.Unlock()
	urls = append(urls, c.Seeds...)
	last := errNoAddress
	query := "/v1/addresses?DataCentre=" + url.QueryEscape(c.DataCentre) + "&Region=" + url.QueryEscape(c.Region)
	for _, base := range urls {
		var list wire.AddressList
		err := c.get(ctx, base+query, &list)
		if err == nil && len(list.Addresses) > 0 {
			return &list, nil
		}
		if err != nil {
			last = err
		}
	}
	return nil, last
}

func (c *Caller) get(ctx context.Context, at string, value any) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return err
	}
	response, err := c.http().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New("a daemon answered " + strconv.Itoa(response.StatusCode))
	}
	return json.NewDecoder(io.LimitReader(response.Body, mostReply)).Decode(value)
}

// post sends a request and decodes an answer, or a refusal.
func (c *Caller) post(ctx context.Context, at string, body, answer any) (*wire.Refusal, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, at, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	// Without GetBody the library never sends a request a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http().Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(io.LimitReader(response.Body, mostReply))
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

func (c *Caller) http() *http.Client {
	c.once.Do(func() {
		c.client = &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: idleMost, IdleConnTimeout: time.Minute},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	})
	return c.client
}

// Close closes idle connections.
func (c *Caller) Close() { c.http().CloseIdleConnections() }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
