//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	cutSearchers = 6
	cutRate      = 250
	cutTime      = 32 * time.Second
	cutDeadline  = 4 * time.Second
	// cutBody is the size of a request's body; the operator allows 262,144 bytes.
	cutBody = 200_000
	// cutRecords is the number of records in an answer.
	cutRecords = 200
	// spoilTime and spoilShare are the dose of the disruption.
	spoilTime  = 5 * time.Second
	spoilShare = 0.05
	// spoilEvery is the time from one disruption to the next.
	spoilEvery = 10 * time.Second
	spoilStart = 2 * time.Second
)

// plainSearcher is a searcher whose answers have no length and end with the connection.
type plainSearcher struct {
	searcher
	// spoils is asked whether to break off the next answer.
	spoils   func() bool
	cut      atomic.Int64
	record   *record
	listener net.Listener
}

func (s *plainSearcher) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.address, s.born = listener, listener.Addr().String(), time.Now().UnixMilli()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.answer(conn)
		}
	}()
	return nil
}

// answer serves one request. A sound answer comes after the whole request. One that is
// broken off begins before the body has been read, so that the close resets the connection.
func (s *plainSearcher) answer(conn net.Conn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	id := r.Header.Get(headerID)
	if expected := r.Header.Get(headerInstance); expected != "" && expected != s.ID {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", headerID, id, headerNotRun)
		return
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n", headerID, id, headerSignature, s.signature(id))
	body := s.records(cutRecords)
	if s.spoils() {
		_, _ = conn.Write(append([]byte(head), body[:len(body)/2]...))
		// The close resets the connection, without an end of the stream before.
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		s.cut.Add(1)
		s.record.line("searcher %s breaks off its answer to %s after %d of %d bytes", s.ID, id, len(body)/2, len(body))
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	time.Sleep(s.Work)
	_, _ = conn.Write(append([]byte(head), body...))
}

// playCut sends requests with long bodies, while searchers break off some of their answers.
func playCut(w *world) (result, error) {
	var spoiling atomic.Bool
	zones := []string{"zagreb-a", "rijeka-a", "osijek-a"}
	bodies := map[string][]byte{}
	var searchers []*plainSearcher
	for i := range cutSearchers {
		s := &plainSearcher{searcher: searcher{ID: fmt.Sprintf("i-ledger-%d", i), Service: "ledger", Zone: zones[i%len(zones)], Slots: 6, Work: 10 * time.Millisecond}, record: w.record}
		// Half of the searchers, among them both in the zone of the requesters.
		spoiler := i == 1 || s.Zone == zones[0]
		s.spoils = func() bool { return spoiler && spoiling.Load() && rand.Float64() < spoilShare }
		if err := s.listen(); err != nil {
			return result{}, err
		}
		defer s.listener.Close()
		w.store.Put("servers/"+s.ID, s.entry("ready"))
		bodies[s.ID] = s.records(cutRecords)
		searchers = append(searchers, s)
	}
	routes := []route{{
		Name: "cert", Host: "radic.example", Prefix: "/cert/", Timeout: 4000, Target: 800, Priority: 2, Service: "ledger", Attempts: 2,
	}}
	if err := w.configure(1, routes, []service{{Name: "ledger", Health: "/health", Connections: 100}}); err != nil {
		return result{}, err
	}
	if err := w.start(zones...); err != nil {
		return result{}, err
	}
	resolver := &resolver{Directories: w.directories(), Host: "radic.example", Region: "zagreb", Zone: "zagreb-a"}
	var conns connections
	var group sync.WaitGroup
	var served, wrong atomic.Int64
	ticker := time.NewTicker(time.Second / cutRate)
	defer ticker.Stop()
	query := bytes.Repeat([]byte("q"), cutBody)
	for begin := time.Now(); time.Since(begin) < cutTime; {
		<-ticker.C
		since := time.Since(begin) - spoilStart
		spoiling.Store(w.Trouble && since > 0 && since%spoilEvery < spoilTime)
		group.Go(func() {
			addresses := resolver.addresses()
			if len(addresses) == 0 {
				return
			}
			id := newID()
			c := &call{ID: id, Method: http.MethodPost, Host: "radic.example", URI: "/cert/" + id, Body: query, Deadline: cutDeadline}
			conns.do(addresses[rand.IntN(len(addresses))], c)
			w.record.line("request %s at %s: status %d, %d bytes, error %v", c.ID, w.nameOf(c.Daemon), c.Status, len(c.Reply), c.Err)
			if !c.Answered || c.Status != http.StatusOK {
				return
			}
			served.Add(1)
			from, _, _ := strings.Cut(c.Header.Get(headerSignature), ".")
			if !bytes.Equal(c.Reply, bodies[from]) {
				wrong.Add(1)
				w.record.line("request %s: a success of %s with %d of its %d bytes", c.ID, from, len(c.Reply), len(bodies[from]))
			}
		})
	}
	group.Wait()
	cut := int64(0)
	for _, s := range searchers {
		cut += s.cut.Load()
	}
	return result{Broken: wrong.Load() > 0, Text: fmt.Sprintf("%d successes; searchers broke off %d answers; %d successes without the whole body", served.Load(), cut, wrong.Load())}, nil
}
