// Package pass carries opaque requests and answers from one connection to
// another unchanged, but for what concerns one connection only.
//
// # Usage
//
//	pass.DropConnection(in.Header)
//	out := pass.Request(in.Method, in.RequestURI, in.Host, header, body)
//	...
//	err := pass.Answer(w, reply.Status, reply.Body)
package pass

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// DropConnection removes what concerns one connection, also what the
// Connection header names.
func DropConnection(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}

// Header copies a target's header for the caller, without what concerns one
// connection and a field that is meant for the daemon.
func Header(to, from http.Header, private string) {
	DropConnection(from)
	for name, values := range from {
		if name != private && name != "Content-Length" && name != "Date" {
			to[name] = values
		}
	}
}

// Request makes a request that is written exactly as the caller wrote its own.
// The header is used as it is and may gain a field.
func Request(method, uri, host string, header http.Header, body []byte) *http.Request {
	if _, sent := header["User-Agent"]; !sent {
		// Otherwise the library would add its own.
		header["User-Agent"] = []string{""}
	}
	out := &http.Request{
		Method: method, URL: exactURL(uri), Host: host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(body) > 0 {
		out.ContentLength = int64(len(body))
		out.Body = io.NopCloser(bytes.NewReader(body))
	}
	return out
}

// exactURL is written exactly as the caller wrote it. The library takes a path
// that begins with two slashes for a host, unless it is given in its parts.
func exactURL(uri string) *url.URL {
	if !strings.HasPrefix(uri, "//") {
		return &url.URL{Opaque: uri}
	}
	raw, query, found := strings.Cut(uri, "?")
	path, err := url.PathUnescape(raw)
	if err != nil {
		// The caller's library would have refused it as well.
		path = raw
	}
	return &url.URL{Path: path, RawPath: raw, RawQuery: query, ForceQuery: found && query == ""}
}

// Answer writes a status and a body of known length; the headers are set
// before. An error means that the caller did not get it whole.
func Answer(w http.ResponseWriter, status int, body []byte) error {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, err := w.Write(body)
	return err
}
