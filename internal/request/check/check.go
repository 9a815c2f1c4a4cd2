// Package check parses and validates the requests of callers. The refusal of an
// invalid request names the invalid field.
//
// # Usage
//
//	request, refusal := check.Search(body)
//	if refusal != nil {
//		// 400, with refusal as the body
//	}
//
// An invalid request has not run.
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
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 64 << 10

	maxNameBytes    = 64
	maxKeyBytes     = 128
	maxQueryBytes   = 4 << 10
	maxCommandBytes = 32 << 10
	maxLimit        = 1000
	defaultLimit    = 10
	minDeadline     = time.Millisecond
)

// Search parses and validates a search request.
func Search(body []byte) (*wire.SearchRequest, *wire.Refusal) {
	var request wire.SearchRequest
	if refusal := decode(body, &request); refusal != nil {
		return nil, refusal
	}
	if request.Limit == 0 {
		request.Limit = defaultLimit
	}
	problem := firstProblem(
		checkName("Deployment", request.Deployment),
		checkName("Service", request.Service),
		checkName("Caller", request.Caller),
		checkText("RequestID", request.RequestID, 1, maxNameBytes),
		checkText("Query", request.Query, 1, maxQueryBytes),
		checkText("Cursor", request.Cursor, 0, maxQueryBytes),
		checkDeadline(request.Deadline),
		checkRange("Limit", float64(request.Limit), 1, maxLimit),
		checkCursorUse(&request),
	)
	if request.LeastCoverage != nil && problem == "" {
		problem = checkRange("LeastCoverage", *request.LeastCoverage, 0, 1)
	}
	if problem != "" {
		return nil, invalid(request.RequestID, problem)
	}
	return &request, nil
}

// Execute parses and validates a non-idempotent request.
func Execute(body []byte) (*wire.ExecuteRequest, *wire.Refusal) {
	var request wire.ExecuteRequest
	if refusal := decode(body, &request); refusal != nil {
		return nil, refusal
	}
	problem := firstProblem(
		checkName("Deployment", request.Deployment),
		checkName("Service", request.Service),
		checkName("Caller", request.Caller),
		checkText("RequestID", request.RequestID, 1, maxNameBytes),
		checkText("IdempotencyKey", request.IdempotencyKey, 1, maxKeyBytes),
		checkText("Home", request.Home, 0, maxKeyBytes),
		checkText("Command", request.Command, 1, maxCommandBytes),
		checkDeadline(request.Deadline),
	)
	if problem != "" {
		return nil, invalid(request.RequestID, problem)
	}
	return &request, nil
}

// Deadline parses the deadline of a validated request. It returns zero if text is
// not a duration.
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
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.Is(err, io.EOF):
		return "the body is empty"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "the body ends in the middle of the request"
	case errors.As(err, &syntaxErr):
		return fmt.Sprintf("byte %d: %v", syntaxErr.Offset, syntaxErr)
	case errors.As(err, &typeErr):
		return fmt.Sprintf("%s: is a JSON %s, not a %s", typeErr.Field, typeErr.Value, typeErr.Type)
	}
	return err.Error()
}

func invalid(id, message string) *wire.Refusal {
	if len(id) > maxNameBytes || !utf8.ValidString(id) {
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

// checkName checks a name that may become part of a path or of a metric label.
func checkName(field, value string) string {
	if problem := checkText(field, value, 1, maxNameBytes); problem != "" {
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

func checkText(field, value string, minBytes, maxBytes int) string {
	switch {
	case len(value) < minBytes:
		return field + ": is missing"
	case len(value) > maxBytes:
		return fmt.Sprintf("%s: is longer than %d bytes", field, maxBytes)
	case !utf8.ValidString(value):
		return field + ": is not UTF-8"
	}
	return ""
}

func checkDeadline(value string) string {
	d, err := time.ParseDuration(value)
	switch {
	case value == "":
		return "Deadline: is missing"
	case err != nil:
		return fmt.Sprintf("Deadline: %q is not a duration with a unit, such as 300ms", value)
	case d < minDeadline:
		return fmt.Sprintf("Deadline: %q is shorter than %v", value, minDeadline)
	}
	return ""
}

func checkRange(field string, value, minValue, maxValue float64) string {
	if value >= minValue && value <= maxValue {
		return ""
	}
	return fmt.Sprintf("%s: %v is outside %v to %v", field, value, minValue, maxValue)
}

func checkCursorUse(request *wire.SearchRequest) string {
	if request.Cursor != "" && !request.All {
		return "Cursor: goes with All only"
	}
	return ""
}
