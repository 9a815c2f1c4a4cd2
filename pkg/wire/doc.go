// Package wire defines the messages between callers and daemons and between
// daemons and searchers.
//
// # Usage
//
// Callers and daemons exchange JSON whose keys are the field names:
//
//	request := wire.SearchRequest{
//		Deployment: "Erbacee",
//		Service:    "Herbarium",
//		Caller:     "curator-3",
//		RequestID:  "a1",
//		Deadline:   "300ms",
//		Query:      "oregano",
//	}
//
// Daemons and searchers exchange such structs as CBOR. A searcher repeats the
// Echo of the request in its reply; a daemon drops a reply whose Echo differs
// from the one that it sent.
package wire
