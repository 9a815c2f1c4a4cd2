// Package shard implements a fake searcher: an HTTP server with slots, a
// connection limit, a cost for each new connection, a service time with
// stragglers, a cold start, load shedding, draining, false load reports, index
// versions, and queries that crash it.
//
// # Usage
//
//	s := &shard.Searcher{Service: "Herbarium", Slots: 3, Connections: 40}
//	s.Hold(corpus.New("Herbarium", 2000), 7, 260, []int{12})
//	err := s.Start("127.0.0.1:0")
//	s.UpdateBehaviour(func(b *shard.Behaviour) { b.Slowness = 20 })
//	defer s.Stop()
package shard
