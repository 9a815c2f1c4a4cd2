// Package fleet decides which target serves a shard. It holds what one daemon
// knows of the targets of one service: hosts, index versions, health, latency,
// attempts in flight, and this daemon's share of each target's slots.
//
// Targets are known in one of two ways: by a host list and their own status
// reports (SetHosts, Report), or by registrations (SetEntries), where a pool is
// one shard and a Group puts pools together for a request.
//
// The package does no I/O and reads no clock: events come in with their time,
// decisions go out.
//
// # Usage
//
//	f := fleet.New(fleet.Config{Selection: tree.SelectionTwoChoice, Seed: 1})
//	f.SetHosts(now, hosts)
//	f.Report(now, address, status)
//	view := f.Plan()
//	pick := f.Pick(now, view, shard, nil)
//	if pick.Verdict == fleet.Picked {
//		// send, then
//		f.Finish(now, pick.Target, fleet.Success, latency, &reply.Load)
//	}
//
// A View is one index version's shard map. It is immutable, so a request that
// has pinned a view never sees another version.
package fleet
