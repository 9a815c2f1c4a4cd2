package http1

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/bulk"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/dial"
)

// Marks tell which request a reply belongs to. Targets may reply to a request twice,
// and the second reply comes where that to the next request is due.
type Marks interface {
	// OfRequest returns what sets a request apart from those before it, and OfReply
	// what a reply says of its request; empty if it says nothing.
	OfRequest(request *http.Request) string
	OfReply(reply *Reply) string
}

// Pool is the connections to one target. Exported fields are set before Do.
type Pool struct {
	// Address is "ip:port".
	Address string
	// Opened, if set, is called for each new connection.
	Opened func()
	// Bulk, if set, bounds the long bodies of several pools together.
	Bulk *bulk.Bulk
	// Moved, if set, counts the bytes sent and received.
	Moved *atomic.Int64
	// Marks, if set, are used to skip replies to other requests.
	Marks Marks

	own    *bulk.Bulk
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// Do sends the request and returns the whole reply. Connections are reused
// only after a reply that leaves nothing behind.
func (p *Pool) Do(ctx context.Context, request *http.Request, deadline time.Time) (*Reply, error) {
	return p.do(ctx, request, deadline, math.MaxInt64)
}

// DoOnce is Do for a request that must not be sent again. A target may have
// forgotten a connection that rested, which shows only by the loss of what is sent on
// it, so one that rested for longer than a moment is replaced by a new one.
func (p *Pool) DoOnce(ctx context.Context, request *http.Request, deadline time.Time) (*Reply, error) {
	return p.do(ctx, request, deadline, restMost)
}

// do uses connections that have rested for at most the given time.
func (p *Pool) do(ctx context.Context, request *http.Request, deadline time.Time, rest time.Duration) (*Reply, error) {
	mark := ""
	if p.Marks != nil {
		mark = p.Marks.OfRequest(request)
	}
	c, err := p.get(ctx, deadline, mark, rest)
	if err != nil {
		return nil, err
	}
	c.mark = mark
	stop := context.AfterFunc(ctx, func() { c.close() })
	reply, keep, err := c.exchange(request, deadline, p)
	if !stop() || err != nil || !keep {
		c.close()
		return reply, err
	}
	p.put(c)
	return reply, nil
}

// get returns an idle connection that is still whole, or a new one.
func (p *Pool) get(ctx context.Context, deadline time.Time, mark string, rest time.Duration) (*conn, error) {
	now := time.Now()
	for c := p.take(mark); c != nil; c = p.take(mark) {
		fresh := now.Sub(c.rests) <= rest
		if fresh && now.Before(c.expire) && c.quiet() {
			return c, nil
		}
		c.close()
		if !fresh {
			// The others have rested for longer.
			break
		}
	}
	return p.open(ctx, deadline)
}

// take returns the idle connection that was used last, but for one that has carried
// the same request: a late reply to that could not be told from the next.
func (p *Pool) take(mark string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if mark == "" || c.mark != mark {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) open(ctx context.Context, deadline time.Time) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	began := time.Now()
	raw, err := dial.Dialer.DialContext(ctx, "tcp", p.Address)
	if err != nil && ctx.Err() != nil {
		// The time was up before the target had a chance to accept.
		return nil, &Error{Op: "connect", Kind: KindExpired, Err: err}
	}
	if err != nil {
		return nil, &Error{Op: "connect", Kind: KindNotSent, Err: err}
	}
	if p.Opened != nil {
		p.Opened()
	}
	c := newConn(raw, p.Moved)
	c.opening = time.Since(began)
	return c, nil
}

// bulk returns what bounds the long bodies of this pool.
func (p *Pool) bulk() *bulk.Bulk {
	if p.Bulk != nil {
		return p.Bulk
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.own == nil {
		p.own = &bulk.Bulk{Most: bulkMost}
	}
	return p.own
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	c.rests = time.Now()
	p.idle = append(p.idle, c)
}

// Sweep closes idle connections whose time is over or that the target closed.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expire) && c.quiet() {
			kept = append(kept, c)
			continue
		}
		c.close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Close closes the idle connections, and those in use once they are free.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// stray reports whether a reply is to another request than the one on its way.
func (p *Pool) stray(c *conn, reply *Reply) bool {
	if p.Marks == nil || c.mark == "" {
		return false
	}
	mark := p.Marks.OfReply(reply)
	return mark != "" && mark != c.mark
}
