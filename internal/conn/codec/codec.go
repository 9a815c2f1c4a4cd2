// Package codec encodes values as CBOR, and decodes CBOR within limits on the number
// of elements and the nesting.
//
// # Usage
//
//	body, err := codec.Encode(&request)
//	err = codec.Decode(body, &reply)
//
// Pack and Unpack also compress; they are for large values such as the settings.
package codec

import (
	"bytes"
	"compress/flate"
	"io"

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
	maxElements = 1 << 20
	maxNesting  = 8
	// maxUnpackedBytes bounds the size of a packed value after decompression.
	maxUnpackedBytes = 16 << 20
)

var (
	encoder     = must(cbor.EncOptions{}.EncMode())
	decoder     = must(decodeOptions(cbor.UTF8RejectInvalid).DecMode())
	byteDecoder = must(decodeOptions(cbor.UTF8DecodeInvalid).DecMode())
)

func decodeOptions(text cbor.UTF8Mode) cbor.DecOptions {
	return cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		UTF8:             text,
	}
}

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

// Decode decodes one CBOR value and rejects trailing bytes.
func Decode(data []byte, value any) error {
	if err := decoder.Unmarshal(data, value); err != nil {
		return &Error{Op: "decode", Kind: KindDecode, Err: err}
	}
	return nil
}

// DecodeBytes is Decode for messages that carry parts of callers' requests, such as header
// values, which may hold any bytes: it takes text that is not UTF-8.
func DecodeBytes(data []byte, value any) error {
	if err := byteDecoder.Unmarshal(data, value); err != nil {
		return &Error{Op: "decode", Kind: KindDecode, Err: err}
	}
	return nil
}

// Pack returns the value as compressed CBOR.
func Pack(value any) ([]byte, error) {
	data, err := Encode(value)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, &Error{Op: "pack", Kind: KindEncode, Err: err}
	}
	if _, err := writer.Write(data); err != nil {
		return nil, &Error{Op: "pack", Kind: KindEncode, Err: err}
	}
	if err := writer.Close(); err != nil {
		return nil, &Error{Op: "pack", Kind: KindEncode, Err: err}
	}
	return out.Bytes(), nil
}

// Unpack decodes a packed value and rejects one that is too large when decompressed.
func Unpack(data []byte, value any) error {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUnpackedBytes+1))
	if err != nil {
		return &Error{Op: "unpack", Kind: KindDecode, Err: err}
	}
	if len(plain) > maxUnpackedBytes {
		return &Error{Op: "unpack", Kind: KindDecode, Err: fault.Causef("more than %d bytes", maxUnpackedBytes)}
	}
	return Decode(plain, value)
}
