// Package pass copies opaque requests and answers from one connection to another
// unchanged, except for hop-by-hop headers.
//
// # Usage
//
//	pass.DropHopByHop(in.Header)
//	out := pass.Request(in.Method, in.RequestURI, in.Host, header, body)
//	err := pass.Write(connection, out)
//	...
//	err = pass.Reply(w, in.Method, reply.Status, reply.Header.Get("Content-Length"), reply.Body)
package pass

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// hopByHopHeaders are the headers that concern one connection and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// DropHopByHop removes the hop-by-hop headers, including those that the
// Connection header names.
func DropHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// Header copies a target's header for the caller, without the hop-by-hop headers
// and without the field privateName, which is meant for the daemon.
func Header(to, from http.Header, privateName string) {
	DropHopByHop(from)
	for name, values := range from {
		if name != privateName && name != "Content-Length" && name != "Date" {
			to[name] = values
		}
	}
}

// Request returns a request with the given method, URI, host, header and body, whose
// RequestURI is the URI, for Write. It uses the header without a copy and may add a field.
func Request(method, uri, host string, header http.Header, body []byte) *http.Request {
	if _, sent := header["User-Agent"]; !sent {
		// Keep net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	out := &http.Request{
		Method: method, URL: &url.URL{Path: "/"}, RequestURI: uri, Host: host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(body) > 0 {
		out.ContentLength = int64(len(body))
		out.Body = io.NopCloser(bytes.NewReader(body))
	}
	return out
}

// Answer writes the status and the body with its length; the caller of Answer sets
// the headers before. An error means that the answer was not written whole.
func Answer(w http.ResponseWriter, status int, body []byte) error {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}

// Reply is Answer for what targets have replied to a request of the given method. A reply
// to HEAD has no body, and the length that the target states, if any.
func Reply(w http.ResponseWriter, method string, status int, length string, body []byte) error {
	if method != http.MethodHead {
		return Answer(w, status, body)
	}
	if length != "" {
		w.Header().Set("Content-Length", length)
	}
	w.WriteHeader(status)
	return nil
}
