//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// target is a stand-in of a searcher. It runs up to slots requests at once, queues some
// more, and rejects the others as the users' pages say.
type target struct {
	id, service, zone string
	address           string
	slots, queue      int
	connections       int
	work              time.Duration
	record            *record

	sequence atomic.Int64
	listener net.Listener
	running  chan struct{}
	mu       sync.Mutex
	waiting  int
	ran      map[string]int
	// uris holds the path and query of each request that has run.
	uris  map[string]string
	conns map[net.Conn]bool
}

func (c *cluster) addTarget(id, service, zone string, set func(*target)) (*target, error) {
	t := &target{
		id: id, service: service, zone: zone, slots: 2, queue: 12, connections: 26, work: 4 * time.Millisecond,
		record: c.record, ran: map[string]int{}, uris: map[string]string{}, conns: map[net.Conn]bool{},
	}
	if set != nil {
		set(t)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t.listener, t.address, t.running = listener, listener.Addr().String(), make(chan struct{}, t.slots)
	c.targets = append(c.targets, t)
	go t.accept()
	c.register(t, "ready")
	return t, nil
}

// register writes the target's entry, as the target does.
func (c *cluster) register(t *target, state string) {
	c.store.Put("servers/"+t.id, fmt.Appendf(nil,
		names.Entry,
		t.service, t.address, t.zone, t.slots, state, t.sequence.Add(1), c.record.start.UnixMilli()))
}

func (t *target) close() {
	// There is nothing to do if the listener fails to close.
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		_ = conn.Close()
	}
}

func (t *target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.mu.Unlock()
		go t.serve(conn)
	}
}

func (t *target) serve(conn net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !t.answer(conn, r) {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (t *target) answer(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get(names.HeaderID)
	if expected := r.Header.Get(names.HeaderExpected); expected != "" && expected != t.id {
		return send(conn, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.HeaderID, id, names.HeaderInstance, t.id))
	}
	if !t.admit() {
		t.record.line("target %s rejects %s, not run", t.id, id)
		return send(conn, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n", names.HeaderID, id, names.HeaderNotRun, t.load()))
	}
	defer func() { <-t.running }()
	t.mu.Lock()
	t.ran[id]++
	t.uris[id] = r.RequestURI
	t.mu.Unlock()
	t.record.line("target %s of %s runs %s %s %s", t.id, t.service, r.Method, r.RequestURI, id)
	time.Sleep(t.work)
	body := records(t.id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n",
		names.HeaderID, id, names.HeaderSignature, "sig-"+t.id+"-"+id, t.load(), len(body))
	if r.Method == http.MethodHead {
		return send(conn, head)
	}
	return send(conn, head+body)
}

// admit waits for a slot. It returns false if the queue is full.
func (t *target) admit() bool {
	select {
	case t.running <- struct{}{}:
		return true
	default:
	}
	t.mu.Lock()
	if t.waiting >= t.queue {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	t.running <- struct{}{}
	t.mu.Lock()
	t.waiting--
	t.mu.Unlock()
	return true
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%s: %d,%d,%d\r\n", names.HeaderLoad, len(t.running), t.waiting, t.slots)
}

func send(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// records returns three records of 16 bytes that differ between targets.
func records(id string) string {
	var body []byte
	for i := range 3 {
		sum := uint64(i + 1)
		for _, c := range id {
			sum = sum*131 + uint64(c)
		}
		body = binary.BigEndian.AppendUint64(body, sum)
		body = binary.BigEndian.AppendUint64(body, uint64(i))
	}
	return string(body)
}
