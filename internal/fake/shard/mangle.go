package shard

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/codec"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// mangling is what is done to one reply.
type mangling struct {
	falsify, cross, truncate, duplicate bool
}

func (s *Searcher) drawMangling() mangling {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.behaviour
	draw := func(share float64) bool { return share > 0 && s.random.Float64() < share }
	return mangling{
		falsify: draw(b.FalseShare), cross: draw(b.CrossedShare),
		truncate: draw(b.TruncatedShare), duplicate: draw(b.DuplicatedShare),
	}
}

// answer writes a reply, mangled as the behaviour says.
func (s *Searcher) answer(w http.ResponseWriter, value *wire.ShardReply) {
	m := s.drawMangling()
	if m.falsify {
		value.Echo.Version++
	}
	body, err := codec.Encode(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if m.cross {
		body = s.swap(body)
	}
	switch {
	case m.truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case m.duplicate:
		writeTwice(w, body)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		// A failed write is the daemon's loss, who sees a lost connection.
		_, _ = w.Write(body)
	}
}

// swap returns the reply to an earlier request and keeps this one.
func (s *Searcher) swap(body []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier := s.earlier
	s.earlier = body
	if earlier == nil {
		return body
	}
	return earlier
}

// writeTwice sends a whole second response that nobody asked for.
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
