package codec

import (
	"bytes"
	"compress/flate"
	"errors"
	"reflect"
	"strings"
	"testing"
)

func TestPackRoundTrip(t *testing.T) {
	value := map[string]string{"routes.ini": strings.Repeat("[Route.a]\nHost = shop.example\n", 1000)}
	data, err := Pack(value)
	if err != nil {
		t.Fatal(err)
	}
	var got map[string]string
	if err := Unpack(data, &got); err != nil || got["routes.ini"] != value["routes.ini"] {
		t.Errorf("%v, %d bytes", err, len(got["routes.ini"]))
	}
	if limit := len(value["routes.ini"]) / 10; len(data) > limit {
		t.Errorf("%d bytes, want %d at most", len(data), limit)
	}
	for cut := range len(data) {
		if err := Unpack(data[:cut], &got); err == nil {
			t.Fatalf("the first %d of %d bytes were read", cut, len(data))
		}
	}
}

// Guards against a decompression bomb: a peer must not be able to exhaust a daemon's
// memory with a few bytes.
func TestUnpackRefusesOversizedValues(t *testing.T) {
	var bomb bytes.Buffer
	writer, err := flate.NewWriter(&bomb, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Write(make([]byte, maxUnpackedBytes+1)); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	var got []byte
	var e *Error
	if err := Unpack(bomb.Bytes(), &got); !errors.As(err, &e) || e.Kind != KindDecode {
		t.Errorf("%v", err)
	}
}

// Guards against messages between daemons that are refused since a caller has sent bytes that
// are not UTF-8.
func TestDecodeBytesTakesAnyText(t *testing.T) {
	value := map[string][]string{"X-Name": {"Jos\xe9", "\xff\x00\x80"}, "caf\xe9": {"\xc3\x28"}}
	data, err := Encode(value)
	if err != nil {
		t.Fatal(err)
	}
	var got map[string][]string
	if err := DecodeBytes(data, &got); err != nil || !reflect.DeepEqual(got, value) {
		t.Errorf("got %q, %v", got, err)
	}
	if err := Decode(data, &got); err == nil {
		t.Error("Decode takes text that is not UTF-8")
	}
	if err := DecodeBytes(append(data, 0), &got); err == nil {
		t.Error("DecodeBytes takes trailing bytes")
	}
}
