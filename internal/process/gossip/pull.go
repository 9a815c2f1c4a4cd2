package gossip

import "sync"

// pulls decides whom to ask for something that other daemons have in a newer
// revision: one at a time, and the next one as soon as that fails. A daemon that
// told of a revision and died must not keep the others from being asked.
type pulls struct {
	mu      sync.Mutex
	running bool
	// offers are daemons that told of a revision meanwhile, oldest first.
	offers []offer
}

type offer struct {
	address  string
	revision int64
}

// offersMost bounds the daemons remembered; more would hardly help.
const offersMost = 8

// begin reports whether the daemon may be asked now. If another one is being
// asked, it is remembered.
func (p *pulls) begin(address string, revision int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running {
		p.running = true
		return true
	}
	for i := range p.offers {
		if p.offers[i].address == address {
			p.offers[i].revision = max(p.offers[i].revision, revision)
			return false
		}
	}
	if len(p.offers) < offersMost {
		p.offers = append(p.offers, offer{address: address, revision: revision})
	}
	return false
}

// next returns another daemon to ask, one that told of a newer revision than
// what is known. Without one the pull has ended.
func (p *pulls) next(known int64) (address string, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.offers) > 0 {
		o := p.offers[0]
		p.offers = p.offers[1:]
		if o.revision > known {
			return o.address, true
		}
	}
	p.running = false
	return "", false
}
