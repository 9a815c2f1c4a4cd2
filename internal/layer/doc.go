// Package layer holds the tests of the package layout: names of the platform's
// protocol appear only in platform/, and packages of pure decisions do no I/O.
//
// # Usage
//
//	go test ./internal/layer
package layer
