package codec

import (
	"bytes"
	"compress/flate"
	"errors"
	"strings"
	"testing"
)

func TestPackedValuesReturn(t *testing.T) {
	value := map[string]string{"routes.ini": strings.Repeat("[Route.a]\nHost = shop.example\n", 1000)}
	data, err := Pack(value)
	if err != nil {
		t.Fatal(err)
	}
	var got map[string]string
	if err := Unpack(data, &got); err != nil || got["routes.ini"] != value["routes.ini"] {
		t.Errorf("%v, %d bytes", err, len(got["routes.ini"]))
	}
	if most := len(value["routes.ini"]) / 10; len(data) > most {
		t.Errorf("%d bytes, want %d at most", len(data), most)
	}
	for cut := range len(data) {
		if err := Unpack(data[:cut], &got); err == nil {
			t.Fatalf("the first %d of %d bytes were read", cut, len(data))
		}
	}
}

// A peer can not make a daemon run out of memory by a few bytes.
func TestPackedValueThatGrowsTooMuchIsRefused(t *testing.T) {
	var bomb bytes.Buffer
	writer, err := flate.NewWriter(&bomb, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Write(make([]byte, mostUnpacked+1)); err != nil {
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
