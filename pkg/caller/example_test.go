package caller_test

import (
	"context"
	"fmt"
	"time"

	"github.com/magnoliarelay/magnoliarelay/pkg/caller"
)

func ExampleCaller() {
	ctx := context.Background()
	c := &caller.Caller{Seeds: []string{"http://127.0.0.1:7000"}, Deployment: "Erbacee", Name: "stall-7"}
	answer, err := c.Search(ctx, caller.Query{Service: "LabelDesk", Text: "oregano", Deadline: 300 * time.Millisecond})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, hit := range answer.Hits {
		fmt.Println(hit.ID, hit.Text)
	}
	lot, err := c.Execute(ctx, caller.Command{Service: "LotLedger", Text: "print", Key: "jar-41", Deadline: time.Second})
	if err == nil {
		fmt.Println(lot.Result)
	}
}
