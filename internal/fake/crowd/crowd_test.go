package crowd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// pausing is a body that pauses before its last byte.
type pausing struct{ sent int }

func (p *pausing) Read(data []byte) (int, error) {
	if p.sent++; p.sent > 2 {
		return 0, io.EOF
	}
	if p.sent == 2 {
		time.Sleep(100 * time.Millisecond)
	}
	data[0] = 'x'
	return 1, nil
}

// Guards against callers that miss a refusal which was sent before they had sent their whole
// request, and count the request as unanswered.
func TestAnswerToUnreadRequestIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = request.Body.Read(make([]byte, 1))
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := &Crowd{Request: func() (string, *http.Request) {
		request, err := http.NewRequest(http.MethodPost, "http://daemon.example/", &pausing{})
		if err != nil {
			t.Error(err)
		}
		return "r", request
	}}
	call, open := c.send(conn, bufio.NewReader(conn), time.Second)
	if call.Err != nil || call.Status != http.StatusServiceUnavailable || open {
		t.Errorf("status %d, error %v, open %v", call.Status, call.Err, open)
	}
}
