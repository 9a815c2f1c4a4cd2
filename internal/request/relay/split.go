package relay

import (
	"slices"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

// splits distributes the requests of each route among its pools by weight, in
// turns, so that even a few requests come close to the proportions.
type splits struct {
	mu     mutex.Mutex
	routes map[string]*split
}

type split struct {
	shares []tree.Share
	credit []float64
}

// next returns the pool of the route's next request.
func (s *splits) next(route *tree.Route) string {
	if len(route.Split) == 1 {
		return route.Split[0].Pool
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = map[string]*split{}
	}
	state := s.routes[route.Name]
	if state == nil || !slices.Equal(state.shares, route.Split) {
		state = &split{shares: route.Split, credit: make([]float64, len(route.Split))}
		s.routes[route.Name] = state
	}
	return state.next()
}

func (s *split) next() string {
	total, best := 0.0, 0
	for i := range s.shares {
		s.credit[i] += s.shares[i].Weight
		total += s.shares[i].Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s.shares[best].Pool
}
