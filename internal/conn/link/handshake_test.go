package link

import (
	"context"
	"errors"
	"runtime"
	"testing"
)

// Unfinished handshakes are bounded; one that ends, or whose connection does, makes room.
func TestHandshakesAreBounded(t *testing.T) {
	var h handshakes
	var cancels []context.CancelFunc
	for i := range maxHandshakes {
		if crowded := h.crowded(nil); crowded != (i >= maxUnverifiedHandshakes) {
			t.Fatalf("after %d handshakes: crowded is %v", i, crowded)
		}
		ctx, cancel := context.WithCancel(t.Context())
		if _, err := h.begin(ctx, nil); err != nil {
			t.Fatal(err)
		}
		cancels = append(cancels, cancel)
	}
	if _, err := h.begin(t.Context(), nil); !errors.Is(err, errTooManyHandshakes) {
		t.Errorf("one more: error %v", err)
	}
	for _, cancel := range cancels {
		cancel()
	}
	for h.unfinished.Load() > 0 {
		// The functions that follow the end of a context run on their own.
		runtime.Gosched()
	}
	ctx, err := h.begin(t.Context(), nil)
	if err != nil {
		t.Fatal(err)
	}
	end := ctx.Value(handshakeKey{}).(func())
	end()
	end()
	if count := h.unfinished.Load(); count != 0 {
		t.Errorf("%d handshakes are unfinished", count)
	}
}
