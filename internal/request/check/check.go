// Package check refuses requests that are malformed, naming the field at fault.
//
// # Usage
//
//	request, refusal := check.Search(body)
//	if refusal != nil {
//		// 400, with refusal as the body
//	}
//
// A malformed request has never run.
package check

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
	"unicode/utf8"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

const (
	// MaxBodyBytes bounds a caller's request.
	MaxBodyBytes = 64 << 10

	mostName     = 64
	mostKey      = 128
	mostQuery    = 4 << 10
	mostCommand  = 32 << 10
	mostLimit    = 1000
	defaultLimit = 10
	leastTime    = time.Millisecond
)

// Search reads and checks a search request.
func Search(body []byte) (*wire.SearchRequest, *wire.Refusal) {
	var request wire.SearchRequest
	if refusal := decode(body, &request); refusal != nil {
		return nil, refusal
	}
	if request.Limit == 0 {
		request.Limit = defaultLimit
	}
	problem := firstProblem(
		name("Deployment", request.Deployment),
		name("Service", request.Service),
		name("Caller", request.Caller),
		text("RequestID", request.RequestID, 1, mostName),
		text("Query", request.Query, 1, mostQuery),
		text("Cursor", request.Cursor, 0, mostQuery),
		deadline(request.Deadline),
		within("Limit", float64(request.Limit), 1, mostLimit),
		cursorUse(&request),
	)
	if request.LeastCoverage != nil && problem == "" {
		problem = within("LeastCoverage", *request.LeastCoverage, 0, 1)
	}
	if problem != "" {
		return nil, invalid(request.RequestID, problem)
	}
	return &request, nil
}

// Execute reads and checks a non-idempotent request.
func Execute(body []byte) (*wire.ExecuteRequest, *wire.Refusal) {
	var request wire.ExecuteRequest
	if refusal := decode(body, &request); refusal != nil {
		return nil, refusal
	}
	problem := firstProblem(
		name("Deployment", request.Deployment),
		name("Service", request.Service),
		name("Caller", request.Caller),
		text("RequestID", request.RequestID, 1, mostName),
		text("IdempotencyKey", request.IdempotencyKey, 1, mostKey),
		text("Home", request.Home, 0, mostKey),
		text("Command", request.Command, 1, mostCommand),
		deadline(request.Deadline),
	)
	if problem != "" {
		return nil, invalid(request.RequestID, problem)
	}
	return &request, nil
}

// Deadline parses a deadline that was checked before.
func Deadline(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}

func decode(body []byte, request any) *wire.Refusal {
	if len(body) > MaxBodyBytes {
		return invalid("", fmt.Sprintf("the body is larger than %d bytes", MaxBodyBytes))
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		return invalid("", describe(err))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return invalid("", fmt.Sprintf("something follows the request at byte %d", decoder.InputOffset()))
	}
	return nil
}

func describe(err error) string {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.Is(err, io.EOF):
		return "the body is empty"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "the body ends in the middle of the request"
	case errors.As(err, &syntax):
		return fmt.Sprintf("byte %d: %v", syntax.Offset, syntax)
	case errors.As(err, &kind):
		return fmt.Sprintf("%s: is a JSON %s, not a %s", kind.Field, kind.Value, kind.Type)
	}
	return err.Error()
}

func invalid(id, message string) *wire.Refusal {
	if len(id) > mostName || !utf8.ValidString(id) {
		id = ""
	}
	return &wire.Refusal{RequestID: id, Kind: wire.RefusalInvalid, Message: message, Ran: wire.RanNo}
}

func firstProblem(problems ...string) string {
	for _, p := range problems {
		if p != "" {
			return p
		}
	}
	return ""
}

// name checks a name that may become part of a path or a metric.
func name(field, value string) string {
	if problem := text(field, value, 1, mostName); problem != "" {
		return problem
	}
	for _, r := range value {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' {
			return fmt.Sprintf("%s: %q is not a letter, digit, '-' or '_'", field, r)
		}
	}
	return ""
}

func text(field, value string, least, most int) string {
	switch {
	case len(value) < least:
		return field + ": is missing"
	case len(value) > most:
		return fmt.Sprintf("%s: is longer than %d bytes", field, most)
	case !utf8.ValidString(value):
		return field + ": is not UTF-8"
	}
	return ""
}

func deadline(value string) string {
	d, err := time.ParseDuration(value)
	switch {
	case value == "":
		return "Deadline: is missing"
	case err != nil:
		return fmt.Sprintf("Deadline: %q is not a duration with a unit, such as 300ms", value)
	case d < leastTime:
		return fmt.Sprintf("Deadline: %q is shorter than %v", value, leastTime)
	}
	return ""
}

func within(field string, value, low, high float64) string {
	if value >= low && value <= high {
		return ""
	}
	return fmt.Sprintf("%s: %v is outside %v to %v", field, value, low, high)
}

func cursorUse(request *wire.SearchRequest) string {
	if request.Cursor != "" && !request.All {
		return "Cursor: goes with All only"
	}
	return ""
}
