// Package sizing generates docs/CAPACITY.md. From the measurements in inputs.ini
// it extrapolates what each role needs at the target size of the system. A
// golden test keeps the page up to date.
//
// # Usage
//
//	inputs, err := sizing.Load()
//	page, err := inputs.Page()
package sizing
