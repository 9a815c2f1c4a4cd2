// Package member holds the membership table. Each daemon keeps a table with a
// record of each daemon, itself included. The table forms a ring ordered by the
// hash of the names: a daemon sends heartbeats to its next few successors on the
// ring and monitors its few predecessors, so the load of one daemon does not grow
// with the number of daemons. Heartbeats carry the changes of the table.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	t := member.New(now, member.Member{Name: "a", Incarnation: 1, State: member.Ready}, seed)
//	updated := t.Merge(now, heartbeat.Updates)
//	record, known := t.RecordHeartbeat(now, heartbeat.From)
//	claims := t.Expire(now, 2*time.Second)
//	for _, m := range t.Recipients(now, false).Local {
//		// send a heartbeat
//	}
//
// Records are ordered by incarnation, then version, then state. Only the daemon
// itself raises its version. It can therefore refute a false claim about itself,
// and the refutation overrides the claim on every daemon.
package member
