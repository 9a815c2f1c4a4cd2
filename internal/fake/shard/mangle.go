package shard

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// corruption selects the ways in which one reply is corrupted.
type corruption struct {
	wrongVersion, swap, truncate, duplicate bool
}

func (s *Searcher) drawCorruption() corruption {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.behaviour
	draw := func(share float64) bool { return share > 0 && s.random.Float64() < share }
	return corruption{
		wrongVersion: draw(b.WrongVersionShare), swap: draw(b.SwappedShare),
		truncate: draw(b.TruncatedShare), duplicate: draw(b.DuplicatedShare),
	}
}

// answer writes a reply, corrupted as the behaviour configures.
func (s *Searcher) answer(w http.ResponseWriter, value *wire.ShardReply) {
	c := s.drawCorruption()
	if c.wrongVersion {
		value.Echo.Version++
	}
	body, err := codec.Encode(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if c.swap {
		body = s.swapReply(body)
	}
	switch {
	case c.truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case c.duplicate:
		writeTwice(w, body)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		// If the write fails, the daemon sees a lost connection.
		_, _ = w.Write(body)
	}
}

// swapReply keeps the reply and returns the one to the previous request, if any.
func (s *Searcher) swapReply(body []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.previousReply
	s.previousReply = body
	if previous == nil {
		return body
	}
	return previous
}

// writeTwice sends the response twice, the second time without a request.
func writeTwice(w http.ResponseWriter, body []byte) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_, _ = conn.Write([]byte(response + response))
}
