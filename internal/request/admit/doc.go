// Package admit decides when a request may start: at once, after a wait, or not
// at all. One queue stands before each service on each daemon.
//
// The queue runs no more requests than the capacity that it is told, starts
// waiting classes in the order of their priority, takes the callers of a class
// in turn, and refuses at once what could not end by its deadline. A refused
// request has not run.
//
// # Usage
//
//	q := admit.New()
//	q.SetCapacity(8)
//	ticket := &admit.Ticket{Class: "Labels", Caller: "stall-7", Deadline: deadline, Decide: decide}
//	q.Arrive(now, ticket)        // calls decide(admit.Admitted), later, or with a refusal
//	q.Leave(now, ticket)         // after an admitted request has ended
//
// Decide is called with the queue locked: it must only pass the verdict on.
package admit
