// Package target holds a daemon's HTTP connections to its targets.
//
// # Usage
//
//	c := target.New(target.Config{Address: "127.0.0.1:9001", SpareConnections: 1})
//	defer c.Close()
//	reply, outcome := c.Search(ctx, &echo, body, time.Until(deadline))
//	if outcome == fleet.Success {
//		use(reply.Hits)
//	}
//
// A reply counts only if it repeats the echo of its attempt. Any other reply is
// Corrupt, and the client then closes the target's idle connections, since they
// may hold further unexpected bytes.
package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/dial"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fleet"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const (
	// MaxReplyBytes bounds the reply of one shard.
	MaxReplyBytes = 4 << 20
	dialTimeout   = 2 * time.Second
	idleTimeout   = 90 * time.Second
	contentType   = "application/cbor"
)

// Config configures a Client.
type Config struct {
	// Address is "ip:port".
	Address string
	// SpareConnections is the number of idle connections kept beyond one.
	SpareConnections int
}

// Client holds the connections to one target. Its methods may be called from
// any goroutine.
type Client struct {
	config    Config
	transport *http.Transport
	// oneShot opens a connection for each request and reuses none.
	oneShot    *http.Transport
	searchURL  *url.URL
	statusURL  *url.URL
	executeURL *url.URL
}

// New returns a client, which connects when it is first used.
func New(config Config) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	endpoint := func(path string) *url.URL { return &url.URL{Scheme: "http", Host: config.Address, Path: path} }
	return &Client{
		config: config,
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: 1 + config.SpareConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			WriteBufferSize:     2 << 10,
			ReadBufferSize:      4 << 10,

			MaxResponseHeaderBytes: dial.MaxHeadBytes,
		},
		oneShot: &http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: dial.MaxHeadBytes,
		},
		searchURL:  endpoint("/search"),
		statusURL:  endpoint("/status"),
		executeURL: endpoint("/execute"),
	}
}

// Close closes idle connections; those in use close when their reply ends.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
	c.oneShot.CloseIdleConnections()
}

// Search sends one attempt and returns its outcome; the reply is set only on
// Success.
func (c *Client) Search(ctx context.Context, echo *wire.Echo, body []byte, timeout time.Duration) (*wire.ShardReply, fleet.Outcome) {
	request := c.request(ctx, c.searchURL, body)
	request.Header[http.CanonicalHeaderKey(wire.HeaderEcho)] = []string{FormatEcho(echo)}
	request.Header[http.CanonicalHeaderKey(wire.HeaderTimeout)] = []string{strconv.FormatInt(timeout.Microseconds(), 10)}
	var reply wire.ShardReply
	outcome := roundTrip(c.transport, request, &reply)
	if outcome == fleet.Success && reply.Echo != *echo {
		outcome = fleet.Corrupt
	}
	if outcome == fleet.Corrupt {
		c.transport.CloseIdleConnections()
	}
	if outcome != fleet.Success {
		return nil, outcome
	}
	return &reply, outcome
}

// Status asks the target for its status.
func (c *Client) Status(ctx context.Context) (*wire.TargetStatus, fleet.Outcome) {
	request := (&http.Request{Method: http.MethodGet, URL: c.statusURL, Host: c.config.Address, Header: http.Header{}}).WithContext(ctx)
	var status wire.TargetStatus
	outcome := roundTrip(c.transport, request, &status)
	if outcome != fleet.Success {
		return nil, outcome
	}
	return &status, outcome
}

// Execute sends a non-idempotent order once, over a new connection, so that
// neither a stale connection nor a retry by net/http can run it twice. Only the
// outcomes Refused, Shed and Draining mean that the order did not run.
func (c *Client) Execute(ctx context.Context, order *wire.ExecuteOrder) (*wire.ExecuteReply, fleet.Outcome) {
	body, err := codec.Encode(order)
	if err != nil {
		return nil, fleet.Refused
	}
	var reply wire.ExecuteReply
	outcome := roundTrip(c.oneShot, c.request(ctx, c.executeURL, body), &reply)
	if outcome == fleet.Success && reply.Key != order.Key {
		outcome = fleet.Corrupt
	}
	if outcome != fleet.Success {
		return nil, outcome
	}
	return &reply, outcome
}

func (c *Client) request(ctx context.Context, endpoint *url.URL, body []byte) *http.Request {
	request := &http.Request{
		Method:        http.MethodPost,
		URL:           endpoint,
		Host:          c.config.Address,
		Header:        make(http.Header, 3),
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	request.Header["Content-Type"] = []string{contentType}
	return request.WithContext(ctx)
}

// FormatEcho formats an echo as the value of its header.
func FormatEcho(e *wire.Echo) string {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, e.Request...)
	buffer = append(buffer, '/')
	buffer = strconv.AppendUint(buffer, e.Attempt, 10)
	buffer = append(buffer, '/')
	buffer = strconv.AppendInt(buffer, int64(e.Shard), 10)
	buffer = append(buffer, '/')
	buffer = strconv.AppendUint(buffer, e.Version, 10)
	return string(buffer)
}

// roundTrip sends the request and decodes a 200 reply into value.
func roundTrip(transport *http.Transport, request *http.Request, value any) fleet.Outcome {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return classifyError(request.Context(), err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		if echo := response.Header.Get(wire.HeaderEcho); echo != "" && echo != request.Header.Get(wire.HeaderEcho) {
			return fleet.Corrupt
		}
		return classifyRefusal(response)
	}
	buffer := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(buffer)
	buffer.Reset()
	if _, err := buffer.ReadFrom(io.LimitReader(response.Body, MaxReplyBytes+1)); err != nil {
		return classifyError(request.Context(), err)
	}
	if buffer.Len() > MaxReplyBytes || codec.Decode(buffer.Bytes(), value) != nil {
		return fleet.Corrupt
	}
	return fleet.Success
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxRefusalBytes is how much of a refusal's body is read, so that its connection
// can be reused.
const maxRefusalBytes = 1 << 10

func classifyRefusal(response *http.Response) fleet.Outcome {
	// The status alone decides the outcome.
	_, _ = io.CopyN(io.Discard, response.Body, maxRefusalBytes)
	switch response.StatusCode {
	case http.StatusTooManyRequests:
		return fleet.Shed
	case http.StatusServiceUnavailable:
		if response.Header.Get("Connection") == "close" || response.Close {
			return fleet.Draining
		}
		return fleet.Shed
	case http.StatusGone, http.StatusMisdirectedRequest:
		return fleet.Gone
	}
	return fleet.Failed
}

func classifyError(ctx context.Context, err error) fleet.Outcome {
	var operation *net.OpError
	dialing := errors.As(err, &operation) && operation.Op == "dial"
	switch {
	case dialing && errors.Is(err, syscall.ECONNREFUSED):
		return fleet.Refused
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fleet.Expired
	case ctx.Err() != nil:
		return fleet.Cancelled
	case dialing:
		return fleet.Refused
	}
	return fleet.Broken
}

// Pool holds a client for each target.
type Pool struct {
	mu      mutex.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{clients: map[string]*Client{}} }

// Get returns the client of an address and creates it on first use.
func (p *Pool) Get(address string, spare int) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = New(Config{Address: address, SpareConnections: spare})
		p.clients[address] = c
	}
	return c
}

// Keep closes and drops the clients of all other addresses.
func (p *Pool) Keep(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		if !addresses[address] {
			c.Close()
			delete(p.clients, address)
		}
	}
}

// Close closes every client.
func (p *Pool) Close() { p.Keep(nil) }
