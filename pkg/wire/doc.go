// Package wire holds the plain structs that cross a socket: what callers send
// to a daemon and get back, and what a daemon sends to a searcher and gets back.
//
// # Usage
//
// Callers speak JSON in Pascal case, so a request is a literal:
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
// Daemons and searchers exchange the same style of struct as CBOR. Every
// reply of a searcher repeats the Echo it answers; a daemon drops a reply whose
// echo is not the one it sent.
package wire
