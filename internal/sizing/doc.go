// Package sizing does the arithmetic of docs/CAPACITY.md: from slopes that were
// measured, kept in inputs.ini, to what each role needs at the size to design
// for. A golden test holds the page.
//
// # Usage
//
//	inputs, err := sizing.Load()
//	page, err := inputs.Page()
package sizing
