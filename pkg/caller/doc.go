// Package caller is the library with which a program searches through
// magnoliarelay. It asks the daemons which addresses to use, keeps the answer
// for as long as it is told, prefers its own data centre, resends what is safe
// to resend, and sends every resend of a non-idempotent request to the home
// that the first send named.
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
// An *Error of KindRefused holds the daemon's refusal, which tells truly whether
// the request ran.
package caller
