package bench

import (
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/shard"
	"github.com/magnoliarelay/magnoliarelay/internal/fake/world"
)

// shardedService returns a service of many small shards; each searcher holds one
// shard.
func shardedService(o *Options, deploymentName, name string) world.Service {
	return world.Service{
		Deployment: deploymentName, Name: name, Shards: o.Shards, Replicas: o.Replicas, Slots: 2, Connections: 25,
		ConnectCost: 6 * time.Millisecond, Documents: 4000,
		Behaviour: shard.Behaviour{Median: 3 * time.Millisecond, Spread: 0.3, StragglerShare: 0.005, StragglerFactor: 20},
	}
}

// multiShardService returns a service of a few searchers, each of which holds all
// shards.
func multiShardService(deploymentName, name string, searchers, shards, slots, connections int) world.Service {
	return world.Service{
		Deployment: deploymentName, Name: name, Shards: shards, ShardsPerTarget: shards, Replicas: searchers, Slots: slots,
		Connections: connections, ConnectCost: time.Millisecond, Documents: 4000,
		Behaviour: shard.Behaviour{Median: 3 * time.Millisecond, Spread: 0.3, StragglerShare: 0.005, StragglerFactor: 20},
	}
}

func erbaceeMorning(o *Options) *Plan {
	stalls := []string{"stall-1", "stall-2", "stall-3", "stall-4"}
	return &Plan{
		World: world.World{
			DataCentres: []string{"palermo", "catania", "ragusa"}, Regions: []string{"palermo", "catania", "ragusa"},
			Services: []world.Service{
				shardedService(o, "Erbacee", "LabelDesk"),
				multiShardService("Erbacee", "LotLedger", 3, 3, 6, 110),
				multiShardService("Erbacee", "Herbarium", 3, 6, 6, 110),
			},
		},
		Streams: []Stream{
			{Class: "Labels", Deployment: "Erbacee", Service: "LabelDesk", Callers: stalls, Rate: o.Rate, Deadline: time.Second},
			{Class: "Curators", Deployment: "Erbacee", Service: "Herbarium", Callers: []string{"curator"}, Rate: o.Rate / 4, Deadline: 2 * time.Second, Limit: 100},
			{Class: "Lots", Deployment: "Erbacee", Service: "LotLedger", Callers: stalls, Rate: o.Rate / 4, Deadline: time.Second, Execute: true},
		},
		Settings: map[string]map[string]string{
			"Erbacee/LabelDesk/service.ini": {"Class": "Labels", "Priority": "0"},
			"Erbacee/Herbarium/service.ini": {"Class": "Curators", "Priority": "6", "LeastCoverage": "1"},
		},
		Check: checkExecuted,
	}
}

func salishDividends(o *Options) *Plan {
	members := []string{"member-1", "member-2", "school-1"}
	return &Plan{
		World: world.World{
			DataCentres: []string{"coast", "island", "interior"}, Regions: []string{"coast", "island", "interior"},
			Services: []world.Service{
				shardedService(o, "Salish", "OrderDesk"),
				multiShardService("Salish", "ReorderClerk", 13, 4, 3, 40),
				multiShardService("Salish", "Pickup", 6, 4, 3, 40),
			},
		},
		Streams: []Stream{
			{Class: "Stock", Deployment: "Salish", Service: "OrderDesk", Callers: members, Rate: o.Rate, Deadline: time.Second},
			{Class: "History", Deployment: "Salish", Service: "OrderDesk", Callers: []string{"dividends"}, Rate: o.Rate / 3, Deadline: 2 * time.Second, Limit: 500},
			{Class: "Pallets", Deployment: "Salish", Service: "ReorderClerk", Callers: members, Rate: o.Rate / 6, Deadline: time.Second, Execute: true},
			{Class: "Notices", Deployment: "Salish", Service: "Pickup", Callers: members, Rate: o.Rate / 2, Deadline: time.Second},
		},
		Settings: map[string]map[string]string{
			"Salish/deployment.ini":          {"LeastCoverage": "1"},
			"Salish/OrderDesk/service.ini":   {"Class": "Stock", "Priority": "2"},
			"Salish/OrderDesk/dividends.ini": {"Class": "History", "Priority": "6"},
		},
		Check: checkExecuted,
	}
}
