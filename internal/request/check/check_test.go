package check

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const good = `{"Deployment":"D","Service":"S","Caller":"c","RequestID":"r","Deadline":"300ms","Query":"q"}`

func with(field, value string) string {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(good), &fields); err != nil {
		panic(err)
	}
	fields[field] = json.RawMessage(value)
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return string(body)
}

func TestBadRequestsAreNamed(t *testing.T) {
	tests := []struct{ name, body string }{
		{"good", good},
		{"empty", ""},
		{"not json", "hello"},
		{"cut", good[:20]},
		{"trailing", good + good},
		{"unknown field", with("Sharks", "1")},
		{"wrong type", with("Limit", `"ten"`)},
		{"no id", with("RequestID", `""`)},
		{"no deadline", with("Deadline", `""`)},
		{"deadline without unit", with("Deadline", `"300"`)},
		{"negative deadline", with("Deadline", `"-1s"`)},
		{"hostile name", with("Caller", `"../../etc"`)},
		{"name with a line break", with("Service", `"a\nb"`)},
		{"long name", with("Deployment", `"`+strings.Repeat("x", 65)+`"`)},
		{"limit", with("Limit", "1001")},
		{"coverage", with("LeastCoverage", "1.5")},
		{"cursor without all", with("Cursor", `"abc"`)},
		{"large", with("Query", `"`+strings.Repeat("x", MaxBodyBytes)+`"`)},
		{"long query", with("Query", `"`+strings.Repeat("x", 5000)+`"`)},
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
	f.Add([]byte(good))
	f.Add([]byte(with("All", "true")))
	f.Add([]byte(with("LeastCoverage", "1e-400")))
	f.Add([]byte("[[[[[["))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, refusal := Search(body)
		if (request == nil) == (refusal == nil) {
			t.Fatal("neither or both of request and refusal")
		}
		if request != nil && (Deadline(request.Deadline) <= 0 || request.Limit < 1 || request.Limit > mostLimit) {
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
