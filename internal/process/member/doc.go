// Package member decides who belongs to the tier. Each daemon keeps a table of
// all daemons it has heard of. The table forms a ring by the hash of the names:
// a daemon sends heartbeats to its next few on the ring and watches the few
// before it, so the cost of one daemon does not grow with the tier. What
// changes is passed on with the heartbeats.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	t := member.New(member.Member{Name: "a", Incarnation: 1, State: member.Ready})
//	news := t.Merge(now, heartbeat.Updates)
//	record, known := t.Heard(now, heartbeat.From)
//	claims := t.Expire(now, 2*time.Second)
//	for _, m := range t.Neighbours(now, false) {
//		// send a heartbeat
//	}
//
// A record is newer by incarnation, then version, then state. Only a daemon
// itself raises its version, so it refutes a false claim about itself and the
// refutation wins everywhere.
package member
