package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/request/relay"
)

// Callers reach a daemon while it starts. They wait for it if it is ready soon, and
// else keep most of their time for a retry elsewhere.
func TestRequestWaitsShortlyForStart(t *testing.T) {
	for _, tt := range []struct {
		name             string
		readyAfter, want time.Duration
		timeout          time.Duration
	}{
		{name: "the daemon is ready soon", readyAfter: 80 * time.Millisecond, timeout: 1500 * time.Millisecond, want: 80 * time.Millisecond},
		{name: "the daemon takes long", readyAfter: time.Second, timeout: 4 * time.Second, want: maxStartWait},
		{name: "the caller is in a hurry", readyAfter: time.Second, timeout: 800 * time.Millisecond, want: 100 * time.Millisecond},
		{name: "the caller's timeout is unknown", readyAfter: time.Second, want: maxStartWait},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &Node{serving: make(chan struct{})}
				time.AfterFunc(tt.readyAfter, func() { close(n.serving) })
				began := time.Now()
				n.awaitStart(context.Background(), &relay.Request{Timeout: tt.timeout})
				if took := time.Since(began); took != tt.want {
					t.Errorf("waited %v, want %v", took, tt.want)
				}
			})
		})
	}
}
