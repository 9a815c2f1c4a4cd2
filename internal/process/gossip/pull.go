package gossip

import (
	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
)

// pulls decides which daemon to request data from when other daemons have
// announced a newer state. It allows one request at a time and moves on to the
// next daemon as soon as one fails: a daemon that has announced a state and
// then died must not block requests to the others.
type pulls struct {
	mu      mutex.Mutex
	running bool
	// offers are the daemons that have announced a state during the running
	// request, oldest first.
	offers []offer
}

type offer struct {
	address   string
	announced stamp.Stamp
}

// maxOffers is the maximum number of daemons kept in offers; more would hardly
// help.
const maxOffers = 8

// begin reports whether the daemon may be asked now. If a request to another
// daemon is running, begin queues the daemon and returns false.
func (p *pulls) begin(address string, announced stamp.Stamp) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running {
		p.running = true
		return true
	}
	for i := range p.offers {
		if p.offers[i].address == address {
			p.offers[i].announced = p.offers[i].announced.Max(announced)
			return false
		}
	}
	if len(p.offers) < maxOffers {
		p.offers = append(p.offers, offer{address: address, announced: announced})
	}
	return false
}

// next returns the next queued daemon that has announced a newer state than the
// known one. If there is none, the pull has ended.
func (p *pulls) next(known stamp.Stamp) (address string, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.offers) > 0 {
		o := p.offers[0]
		p.offers = p.offers[1:]
		if o.announced.After(known) {
			return o.address, true
		}
	}
	p.running = false
	return "", false
}
