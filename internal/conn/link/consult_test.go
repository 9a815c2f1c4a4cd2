package link

import (
	"context"
	"errors"
	"testing"
	"time"
)

// A peer that serves a Gather gets the confirmation if the asking daemon waits for the
// reply, and its context ends if the asking daemon has given up.
func TestGatherIsConfirmedOrGivenUp(t *testing.T) {
	for _, stillWanted := range []bool{true, false} {
		a, _ := startLink(t, "127.0.0.1:0")
		outcome := make(chan string, 1)
		handleGather := func(ctx context.Context, body []byte, confirmed <-chan struct{}) []byte {
			select {
			case <-confirmed:
				outcome <- "confirmed " + string(body)
			case <-ctx.Done():
				outcome <- "given up " + string(body)
			}
			return []byte("reply")
		}
		b, _ := startLink(t, "127.0.0.1:0", func(l *Link) { l.HandleGather = handleGather })
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		reply, err := a.AskGather(ctx, b.Address, []byte("ask"), func() bool { return stillWanted })
		var e *Error
		switch {
		case stillWanted && (err != nil || string(reply) != "reply"):
			t.Errorf("reply %q, error %v", reply, err)
		case !stillWanted && (!errors.As(err, &e) || e.Kind != KindGivenUp):
			t.Errorf("error %v, want %s", err, KindGivenUp)
		}
		want := map[bool]string{true: "confirmed ask", false: "given up ask"}[stillWanted]
		select {
		case got := <-outcome:
			if got != want {
				t.Errorf("the peer saw %q, want %q", got, want)
			}
		case <-ctx.Done():
			t.Errorf("the peer saw nothing, want %q", want)
		}
		cancel()
	}
}

// Guards against a reply that is thrown away because the peer has finished before the
// confirmation reaches it, and so refuses to read it.
func TestReplyBeforeConfirmationIsKept(t *testing.T) {
	a, _ := startLink(t, "127.0.0.1:0")
	replied := make(chan struct{})
	b, _ := startLink(t, "127.0.0.1:0", func(l *Link) {
		l.HandleGather = func(context.Context, []byte, <-chan struct{}) []byte { return []byte("reply") }
		l.Sent = func(kind Type, _ int) {
			if kind == Gather {
				close(replied)
			}
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply, err := a.AskGather(ctx, b.Address, []byte("ask"), func() bool {
		<-replied
		// This reply comes after the peer's refusal, on the same connection.
		if _, err := a.Ask(ctx, b.Address, Fetch, nil); err != nil {
			t.Error(err)
		}
		return true
	})
	if err != nil || string(reply) != "reply" {
		t.Errorf("reply %q, error %v", reply, err)
	}
}
