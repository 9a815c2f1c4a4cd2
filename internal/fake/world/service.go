package world

import (
	"strconv"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/corpus"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/proxy"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	"github.com/magnoliarelay/magnoliarelay/internal/process/keys"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

func (w *World) startService(s *Service) error {
	name := s.Deployment + "/" + s.Name
	w.Corpora[name] = corpus.New(s.Name, s.Documents)
	shardsPerTarget := max(s.ShardsPerTarget, 1)
	for replica := range s.Replicas {
		for first := 0; first < s.Shards; first += shardsPerTarget {
			var shards []int
			for n := first; n < min(first+shardsPerTarget, s.Shards); n++ {
				shards = append(shards, n)
			}
			if err := w.startSearcher(s, name, replica, shards); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *World) startSearcher(s *Service, name string, replica int, shards []int) error {
	searcher := &shard.Searcher{
		Service: s.Name, Slots: s.Slots, Connections: s.Connections, QueueLimit: s.QueueLimit,
		ConnectCost: s.ConnectCost, Seed: w.Seed + uint64(len(w.listed)), OnQuery: w.OnQuery,
	}
	searcher.UpdateBehaviour(func(b *shard.Behaviour) { *b = s.Behaviour })
	searcher.Hold(w.Corpora[name], FirstVersion, s.Shards, shards)
	if err := searcher.Start(loopback); err != nil {
		return err
	}
	w.Searchers[name] = append(w.Searchers[name], searcher)
	address, err := w.listedAddress(name, searcher.Address())
	if err != nil {
		return err
	}
	index := replica % len(w.DataCentres)
	w.listed = append(w.listed, wire.Host{
		Address: address, Role: "Searcher", Deployment: s.Deployment, Service: s.Name,
		Region: w.Regions[index], DataCentre: w.DataCentres[index], Rack: "rack-" + strconv.Itoa(shards[0]%4),
	})
	return nil
}

// listedAddress returns the address under which a searcher is listed: that of a
// new proxy if Proxied is set, else its own.
func (w *World) listedAddress(name, address string) (string, error) {
	if !w.Proxied {
		return address, nil
	}
	p := &proxy.Proxy{Target: address}
	if err := p.Start(); err != nil {
		return "", err
	}
	w.Proxies[name] = append(w.Proxies[name], p)
	return p.Address(), nil
}

// Authority returns the certificate authority that signs the daemons' keys.
func (w *World) Authority() *keys.Authority { return w.authority }

// Replica returns the searchers of one replica of a service, which are all in
// one data centre.
func (w *World) Replica(deployment, service string, replica int) []*shard.Searcher {
	all := w.Searchers[deployment+"/"+service]
	for i := range w.Services {
		if s := &w.Services[i]; s.Deployment == deployment && s.Name == service {
			perReplica := len(all) / s.Replicas
			return all[replica*perReplica : (replica+1)*perReplica]
		}
	}
	return nil
}
