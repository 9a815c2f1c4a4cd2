package http1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// gate admits a number of questions, and is closed then.
type gate struct {
	admits   atomic.Int64
	recalled chan struct{}
}

func (g *gate) Admit(time.Time) bool { return g.admits.Add(-1) >= 0 }

func (g *gate) Recalled() <-chan struct{} { return g.recalled }

// sendGated sends a request through a gate that admits a number of questions.
func sendGated(p *Pool, admits int64) error {
	g := &gate{recalled: make(chan struct{})}
	g.admits.Store(admits)
	_, err := Gated{Pool: p, Gate: g}.Do(context.Background(), request(""), time.Now().Add(10*time.Second))
	return err
}

func isWithheld(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindWithheld
}

// Guards against a request that is sent although its target began to leave or to pause
// between the choice and the connection.
func TestGateIsAskedWhenTheConnectionIsAtHand(t *testing.T) {
	var opened, requests atomic.Int64
	p := startServer(t, func(_ int, conn net.Conn, reader *bufio.Reader) {
		opened.Add(1)
		for readRequest(reader) == nil {
			requests.Add(1)
			writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	if err := sendGated(p, 0); !isWithheld(err) || opened.Load() != 0 {
		t.Errorf("closed gate: error %v, %d connections", err, opened.Load())
	}
	if err := sendGated(p, 1); !isWithheld(err) || requests.Load() != 0 {
		t.Errorf("gate that closes meanwhile: error %v, %d requests", err, requests.Load())
	}
	if err := sendGated(p, 2); err != nil || requests.Load() != 1 || opened.Load() != 1 {
		t.Errorf("open gate: error %v, %d requests, %d connections, want one each", err, requests.Load(), opened.Load())
	}
	if err := sendGated(p, 1); !isWithheld(err) || requests.Load() != 1 {
		t.Errorf("idle connection: error %v, %d requests", err, requests.Load())
	}
}

// Guards against a request that waits for a connection to a target that pauses until its
// time is up.
func TestRecallEndsTheWaitForAConnection(t *testing.T) {
	// A listener without a backlog that accepts nothing leaves connections waiting.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := "127.0.0.1:" + strconv.Itoa(name.(*syscall.SockaddrInet4).Port)
	for range 4 {
		if conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond); err == nil {
			defer conn.Close()
		}
	}
	g := &gate{recalled: make(chan struct{})}
	g.admits.Store(9)
	time.AfterFunc(100*time.Millisecond, func() { close(g.recalled) })
	sent := time.Now()
	_, err = Gated{Pool: &Pool{Address: address}, Gate: g}.Do(context.Background(), request(""), sent.Add(5*time.Second))
	if took := time.Since(sent); !isWithheld(err) || took > 2*time.Second {
		t.Errorf("after %v: %v", took, err)
	}
}
