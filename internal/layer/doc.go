// Package layer holds the tests that keep the layout: names of the platform's
// protocol stay in platform/, and packages that decide do no I/O.
//
// # Usage
//
//	go test ./internal/layer
package layer
