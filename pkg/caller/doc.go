// Package caller is the client library of magnoliarelay. It gets the address
// list from the daemons, caches it for the time that the list states, prefers
// daemons in its own data centre and resends searches that failed. Every resend
// of a non-idempotent request names the same home as the first send.
//
// # Usage
//
//	c := &caller.Caller{
//		Seeds:      []string{"http://127.0.0.1:7000"},
//		Deployment: "Erbacee",
//		Name:       "stall-7",
//	}
//	answer, err := c.Search(ctx, caller.Query{Service: "LabelDesk", Text: "oregano", Deadline: 300 * time.Millisecond})
//	if err != nil {
//		return err
//	}
//	for _, hit := range answer.Hits {
//		fmt.Println(hit.ID, hit.Text)
//	}
//	lot, err := c.Execute(ctx, caller.Command{Service: "LotLedger", Text: "print", Key: "jar-41", Deadline: time.Second})
//	if err != nil {
//		return err
//	}
//	fmt.Println(lot.Result)
//
// An *Error of KindRefused holds the daemon's refusal, which states whether the
// request ran.
package caller
