package http1

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/bulk"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/dial"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/process/room"
)

// Correlator matches replies to requests by ID. A target may reply to a request twice,
// and the second reply then arrives in place of the reply to the next request.
type Correlator interface {
	// RequestID returns an ID that distinguishes a request from others; attempts of
	// the same request share it. RepliedID returns the request ID that a reply
	// repeats, or "" if it has none.
	RequestID(request *http.Request) string
	RepliedID(reply *Reply) string
}

// Pool holds the connections to one target. Exported fields are set before Do.
type Pool struct {
	// Address is "ip:port".
	Address string
	// Opened, if set, is called for each new connection.
	Opened func()
	// BodyBudget, if set, bounds the memory for long bodies of several pools together.
	BodyBudget *bulk.Budget
	// TransferredBytes, if set, counts the bytes sent and received.
	TransferredBytes *atomic.Int64
	// Correlator, if set, is used to skip replies to other requests.
	Correlator Correlator

	defaultBodyBudget *bulk.Budget
	mu                mutex.Mutex
	idle              []*conn
	closed            bool
}

// Gate decides whether a request may be sent. *fleet.Target implements it.
type Gate interface {
	// Admit is asked right before a request is sent.
	Admit(now time.Time) bool
	// Recalled returns a channel that is closed when requests that wait for a
	// connection are to give up.
	Recalled() <-chan struct{}
}

// Gated sends over the connections of Pool what Gate admits.
type Gated struct {
	Pool *Pool
	Gate Gate
}

// Do is Pool.Do.
func (g Gated) Do(ctx context.Context, request *http.Request, deadline time.Time) (*Reply, error) {
	return g.Pool.do(ctx, request, deadline, math.MaxInt64, g.Gate)
}

// DoOnce is Pool.DoOnce.
func (g Gated) DoOnce(ctx context.Context, request *http.Request, deadline time.Time) (*Reply, error) {
	return g.Pool.do(ctx, request, deadline, maxUnsafeIdle, g.Gate)
}

// Probe is Pool.Probe.
func (g Gated) Probe(ctx context.Context) error { return g.Pool.Probe(ctx) }

// errWithheld is the error of a request that the gate did not admit.
var errWithheld = &Error{Op: "send", Kind: KindWithheld, Err: fault.Causef("the target takes no requests now")}

// openGate admits all requests.
type openGate struct{}

func (openGate) Admit(time.Time) bool { return true }

func (openGate) Recalled() <-chan struct{} { return nil }

// Do sends the request and returns the complete reply. A connection is reused
// only if no bytes are left on it after the reply. If the context carries a claim, the
// reply is read only as there is room for it, and may lack its body once the claim is closed.
func (p *Pool) Do(ctx context.Context, request *http.Request, deadline time.Time) (*Reply, error) {
	return p.do(ctx, request, deadline, math.MaxInt64, openGate{})
}

// DoOnce is Do for a request that must not be sent again. A target may have dropped
// an idle connection without closing it, which shows only when a request sent on it
// is lost, so DoOnce replaces a connection idle for longer than maxUnsafeIdle.
func (p *Pool) DoOnce(ctx context.Context, request *http.Request, deadline time.Time) (*Reply, error) {
	return p.do(ctx, request, deadline, maxUnsafeIdle, openGate{})
}

// Probe opens a connection to the target, for the next request, to find out whether the
// target still listens.
func (p *Pool) Probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := p.open(ctx, time.Now().Add(probeTimeout), openGate{})
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

// do reuses only connections that have been idle for at most maxIdle.
func (p *Pool) do(ctx context.Context, request *http.Request, deadline time.Time, maxIdle time.Duration, gate Gate) (*Reply, error) {
	requestID := ""
	if p.Correlator != nil {
		requestID = p.Correlator.RequestID(request)
	}
	if !gate.Admit(time.Now()) {
		return nil, errWithheld
	}
	c, err := p.get(ctx, deadline, requestID, maxIdle, gate)
	if err != nil {
		return nil, err
	}
	if !gate.Admit(time.Now()) {
		p.put(c)
		return nil, errWithheld
	}
	c.requestID, c.claim = requestID, room.From(ctx)
	stop := context.AfterFunc(ctx, func() { c.close() })
	reply, keep, err := c.exchange(request, deadline, p)
	c.claim = nil
	if !stop() || err != nil || !keep {
		c.close()
		return reply, err
	}
	p.put(c)
	return reply, nil
}

// get returns an idle connection that is still usable, or a new one.
func (p *Pool) get(ctx context.Context, deadline time.Time, requestID string, maxIdle time.Duration, gate Gate) (*conn, error) {
	now := time.Now()
	for c := p.take(requestID); c != nil; c = p.take(requestID) {
		recent := now.Sub(c.idleSince) <= maxIdle
		if recent && now.Before(c.expiresAt) && c.isQuiet() {
			return c, nil
		}
		c.close()
		if !recent {
			// The others have been idle for longer.
			break
		}
	}
	return p.open(ctx, deadline, gate)
}

// take returns the most recently used idle connection that has not carried the same
// request: a late reply to the earlier attempt would match the new attempt as well. If all
// have, it closes one, which the caller of take replaces: otherwise a client that repeats an
// ID would add a connection with each request.
func (p *Pool) take(requestID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if requestID == "" || c.requestID != requestID {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	if len(p.idle) > 0 {
		p.idle[0].close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	return nil
}

func (p *Pool) open(ctx context.Context, deadline time.Time, gate Gate) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ctx, recall := context.WithCancelCause(ctx)
	defer recall(nil)
	if recalled := gate.Recalled(); recalled != nil {
		go func() {
			select {
			case <-recalled:
				recall(errWithheld)
			case <-ctx.Done():
			}
		}()
	}
	start := time.Now()
	raw, err := dial.Dialer.DialContext(ctx, "tcp", p.Address)
	if err != nil && errors.Is(context.Cause(ctx), errWithheld) {
		return nil, errWithheld
	}
	if err != nil && ctx.Err() != nil {
		// The time was up before the target could accept the connection.
		return nil, &Error{Op: "connect", Kind: KindExpired, Err: err}
	}
	if err != nil {
		return nil, &Error{Op: "connect", Kind: KindNotSent, Err: err}
	}
	if p.Opened != nil {
		p.Opened()
	}
	c := newConn(raw, p.TransferredBytes)
	c.connectTime = time.Since(start)
	// The target has not said yet for how long it keeps an idle connection.
	c.expiresAt = time.Now().Add(minIdleTimeout)
	return c, nil
}

// bodyBudget returns the budget for the long bodies of this pool.
func (p *Pool) bodyBudget() *bulk.Budget {
	if p.BodyBudget != nil {
		return p.BodyBudget
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.defaultBodyBudget == nil {
		p.defaultBodyBudget = &bulk.Budget{MaxBytes: defaultBodyBudgetBytes}
	}
	return p.defaultBodyBudget
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// Sweep closes idle connections that have expired or that the target closed.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expiresAt) && c.isQuiet() {
			alive = append(alive, c)
			continue
		}
		c.close()
	}
	clear(p.idle[len(alive):])
	p.idle = alive
}

// Close closes the idle connections at once, and those in use when their request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// isMismatched reports whether a reply belongs to another request than the current one.
func (p *Pool) isMismatched(c *conn, reply *Reply) bool {
	if p.Correlator == nil || c.requestID == "" {
		return false
	}
	repliedID := p.Correlator.RepliedID(reply)
	return repliedID != "" && repliedID != c.requestID
}
