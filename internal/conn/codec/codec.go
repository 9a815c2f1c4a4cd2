// Package codec is the one place that fixes how CBOR is written and how much
// of it is believed when read.
//
// # Usage
//
//	body, err := codec.Encode(&request)
//	err = codec.Decode(body, &reply)
package codec

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	KindEncode Kind = "Encode"
	KindDecode Kind = "Decode"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	mostElements = 1 << 20
	mostNesting  = 8
)

var (
	encoder = must(cbor.EncOptions{}.EncMode())
	decoder = must(cbor.DecOptions{
		MaxArrayElements: mostElements,
		MaxMapPairs:      mostElements,
		MaxNestedLevels:  mostNesting,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the value as CBOR.
func Encode(value any) ([]byte, error) {
	data, err := encoder.Marshal(value)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindEncode, Err: err}
	}
	return data, nil
}

// Decode reads one CBOR value and refuses trailing bytes.
func Decode(data []byte, value any) error {
	if err := decoder.Unmarshal(data, value); err != nil {
		return &Error{Op: "decode", Kind: KindDecode, Err: err}
	}
	return nil
}
