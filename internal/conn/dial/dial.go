// Package dial opens TCP connections that fail soon after their peer disappears
// without closing them.
//
// # Usage
//
//	conn, err := dial.Dialer.DialContext(ctx, "tcp", "10.0.0.7:8080")
package dial

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// openTimeout bounds the opening of a connection; the longest path between
	// regions takes a tenth of it.
	openTimeout = time.Second
	// userTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection.
	userTimeout = 3 * time.Second
)

// Dialer opens connections.
var Dialer = &net.Dialer{
	Timeout: openTimeout,
	Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		return errors.Join(err, failed)
	},
}

const (
	// MaxHeadBytes bounds the head of a reply, in bytes. The default of net/http is too
	// large for hosts with little memory.
	MaxHeadBytes = 64 << 10
	// idleTimeout is how long Transport keeps an idle connection.
	idleTimeout = 90 * time.Second
)

// Transport is an HTTP transport that uses Dialer and bounds the head of a reply.
var Transport = &http.Transport{
	DialContext: Dialer.DialContext, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: MaxHeadBytes,
}
