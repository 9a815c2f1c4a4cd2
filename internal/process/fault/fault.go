// Package fault provides the error type that all packages share: an operation, a
// kind and a cause.
//
// # Usage
//
// A package declares its kinds and its own error type:
//
//	type Kind string
//
//	const KindConflict Kind = "Conflict"
//
//	type Error = fault.Error[Kind]
//
// Each instantiation is a type of its own, so errors.As on one package's error
// never matches another's.
package fault

import "github.com/joomcode/errorx"

// Error is an error with the operation that failed and the kind of failure.
type Error[K ~string] struct {
	Op   string
	Kind K
	// Err is the cause; it may be nil.
	Err error
}

// Error returns "op: kind: cause".
func (e *Error[K]) Error() string {
	text := e.Op + ": " + string(e.Kind)
	if e.Err == nil {
		return text
	}
	return text + ": " + message(e.Err)
}

// message omits the error type that errorx puts before the message of a cause.
func message(err error) string {
	if cause := errorx.Cast(err); cause != nil {
		return cause.Message()
	}
	return err.Error()
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// Causef builds a cause with a message.
func Causef(format string, arguments ...any) error {
	return errorx.IllegalState.New(format, arguments...)
}
