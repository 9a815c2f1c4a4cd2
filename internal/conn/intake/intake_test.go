package intake_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/intake"
)

// requests returns requests with the body, with its length and without.
func requests(body []byte) map[string]*http.Request {
	unknown := httptest.NewRequest(http.MethodPost, "/", io.LimitReader(bytes.NewReader(body), int64(len(body))))
	unknown.ContentLength = -1
	return map[string]*http.Request{"length": httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body)), "chunks": unknown}
}

func TestRead(t *testing.T) {
	const maxBytes = 100 << 10
	for _, tt := range []struct {
		name string
		size int
		room int64
		want intake.Kind
	}{
		{"small", 10, maxBytes, ""},
		{"greatest", maxBytes, maxBytes + 1, ""},
		{"too large", maxBytes + 1, 1 << 30, intake.KindTooLarge},
		{"no room", 50 << 10, 20 << 10, intake.KindNoRoom},
	} {
		body := bytes.Repeat([]byte("ab"), tt.size/2+1)[:tt.size]
		for form, request := range requests(body) {
			taken := int64(0)
			reader := &intake.Reader{MaxBytes: maxBytes, Timeout: time.Minute, Take: func(count int64) bool {
				taken += count
				return taken <= tt.room
			}}
			got, err := reader.Read(httptest.NewRecorder(), request)
			var failure *intake.Error
			errors.As(err, &failure)
			switch {
			case tt.want == "" && (err != nil || !bytes.Equal(got, body)):
				t.Errorf("%s, %s: %d bytes, error %v", tt.name, form, len(got), err)
			case tt.want != "" && (failure == nil || failure.Kind != tt.want):
				t.Errorf("%s, %s: error %v, want %s", tt.name, form, err, tt.want)
			case taken > maxBytes+1:
				t.Errorf("%s, %s: %d bytes of room for a body of %d", tt.name, form, taken, tt.size)
			}
		}
	}
}

// What a client announces takes no room before it arrives.
func TestAnnouncedBytesTakeNoRoom(t *testing.T) {
	request := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader([]byte("x")))
	request.ContentLength = 1 << 20
	taken := int64(0)
	reader := &intake.Reader{MaxBytes: 1 << 20, Timeout: time.Minute, Take: func(count int64) bool {
		taken += count
		return true
	}}
	_, _ = reader.Read(httptest.NewRecorder(), request)
	if taken > 4<<10 {
		t.Errorf("%d bytes of room for one byte", taken)
	}
}
