// Package fleet decides which target serves a shard. It keeps one daemon's state
// of the targets of one service: hosts, index versions, health, latency, attempts
// in flight, and this daemon's share of each target's slots.
//
// Targets become known in one of two ways: by a host list and status polls
// (SetHosts, Report), or by registrations (SetEntries). With registrations, a
// pool is a service with one shard, and a Group combines several pools for a
// request.
//
// The package does no I/O and reads no clock: callers pass in events with their
// times, and get decisions.
//
// # Usage
//
//	f := fleet.New(fleet.Config{Service: "catalogue", Seed: 1})
//	f.SetHosts(now, hosts)
//	f.Report(now, address, status)
//	view := f.Plan()
//	choice := f.Pick(now, fleet.Query{View: view, Shard: shard})
//	if choice.Verdict == fleet.Picked {
//		// send, then
//		f.Finish(now, choice.Target, shard, fleet.Success, latency, &reply.Load)
//	}
//
// What a reply says of its target goes to RecordStatement before Finish: that the target leaves,
// or wants no requests for a while. It is kept for that boot of the target, apart from
// its registration. A Target is the gate of its own requests (Admit).
//
// A View is the shard map of one index version. It is immutable, so a request
// that uses one view never sees another version.
package fleet
