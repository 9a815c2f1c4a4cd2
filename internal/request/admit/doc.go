// Package admit is admission control: it decides whether a request starts at
// once, waits, or is refused. Each daemon has one queue per service.
//
// The queue runs no more requests at once than its capacity. It starts waiting
// requests by the priority of their class, and round-robin among the callers of
// a class. It refuses a request at once if the request would probably not end by
// its deadline. A refused request has not run.
//
// # Usage
//
//	q := admit.New()
//	q.SetCapacity(8)
//	ticket := &admit.Ticket{Class: "Labels", Caller: "stall-7", Deadline: deadline, Decide: decide}
//	q.Arrive(now, ticket)        // calls decide at once or later, with Admitted or a refusal
//	q.Leave(now, ticket)         // after an admitted request has ended
//
// Decide should not block: while it runs, other tickets wait for their decisions.
package admit
