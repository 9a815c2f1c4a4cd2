package check

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const validRequest = `{"Deployment":"D","Service":"S","Caller":"c","RequestID":"r","Deadline":"300ms","Query":"q"}`

func requestWith(field, value string) string {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(validRequest), &fields); err != nil {
		panic(err)
	}
	fields[field] = json.RawMessage(value)
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return string(body)
}

func TestRefusalsNameTheField(t *testing.T) {
	tests := []struct{ name, body string }{
		{"good", validRequest},
		{"empty", ""},
		{"not json", "hello"},
		{"cut", validRequest[:20]},
		{"trailing", validRequest + validRequest},
		{"unknown field", requestWith("Sharks", "1")},
		{"wrong type", requestWith("Limit", `"ten"`)},
		{"no id", requestWith("RequestID", `""`)},
		{"no deadline", requestWith("Deadline", `""`)},
		{"deadline without unit", requestWith("Deadline", `"300"`)},
		{"negative deadline", requestWith("Deadline", `"-1s"`)},
		{"hostile name", requestWith("Caller", `"../../etc"`)},
		{"name with a line break", requestWith("Service", `"a\nb"`)},
		{"long name", requestWith("Deployment", `"`+strings.Repeat("x", 65)+`"`)},
		{"limit", requestWith("Limit", "1001")},
		{"coverage", requestWith("LeastCoverage", "1.5")},
		{"cursor without all", requestWith("Cursor", `"abc"`)},
		{"large", requestWith("Query", `"`+strings.Repeat("x", MaxBodyBytes)+`"`)},
		{"long query", requestWith("Query", `"`+strings.Repeat("x", 5000)+`"`)},
	}
	var out strings.Builder
	for _, tt := range tests {
		_, refusal := Search([]byte(tt.body))
		if refusal == nil {
			fmt.Fprintf(&out, "%s: accepted\n", tt.name)
			continue
		}
		if refusal.Ran != wire.RanNo {
			t.Errorf("%s: ran %s", tt.name, refusal.Ran)
		}
		fmt.Fprintf(&out, "%s: %s: %s\n", tt.name, refusal.Kind, refusal.Message)
	}
	goldie.New(t).Assert(t, "refusals", []byte(out.String()))
}

func FuzzSearch(f *testing.F) {
	f.Add([]byte(validRequest))
	f.Add([]byte(requestWith("All", "true")))
	f.Add([]byte(requestWith("LeastCoverage", "1e-400")))
	f.Add([]byte("[[[[[["))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, refusal := Search(body)
		if (request == nil) == (refusal == nil) {
			t.Fatal("neither or both of request and refusal")
		}
		if request != nil && (Deadline(request.Deadline) <= 0 || request.Limit < 1 || request.Limit > maxLimit) {
			t.Errorf("accepted %+v", request)
		}
	})
}

func FuzzExecute(f *testing.F) {
	f.Add([]byte(`{"Deployment":"D","Service":"S","Caller":"c","RequestID":"r","Deadline":"1s","IdempotencyKey":"k","Home":"d.1.1","Command":"x"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, refusal := Execute(body)
		if (request == nil) == (refusal == nil) {
			t.Fatal("neither or both of request and refusal")
		}
		if request != nil && (request.IdempotencyKey == "" || request.Command == "") {
			t.Errorf("accepted %+v", request)
		}
	})
}
