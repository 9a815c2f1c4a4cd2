package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/pass"
)

// sentURIs are request targets that callers send, in every form that net/http reads.
var sentURIs = []string{
	"/", "/plain", "/a/b?x=1", "//stalls|oregano/7", "//caff\xc3\xa8/9", "//plain/3", "///", "//", "//host/path", "/a//b",
	"/a%2Fb", "/a%2fb", "/../x", "/a/./b", "/a?", "/a?b?c", "/a?x=%zz", "/a|b\\^`{}", "/a;b=c", "/%41", "/a+b", "//%7C|", "//a?x=//b|",
	"http://shop.example/x", "http://shop.example//x|", "*",
}

// Guards against request targets that reach targets changed, such as paths that begin with
// two slashes.
func TestRequestTargetIsSentUnchanged(t *testing.T) {
	for _, uri := range sentURIs {
		checkSent(t, uri, "body")
		checkSent(t, uri, "")
	}
}

// checkSent compares the message that is sent with what it should be made of.
func checkSent(t *testing.T, uri, body string) {
	t.Helper()
	var sent bytes.Buffer
	out := pass.Request(http.MethodPost, uri, "shop.example", http.Header{"X-A": {"b"}}, []byte(body))
	if err := writeRequest(&sent, out); err != nil {
		t.Errorf("%q: %v", uri, err)
		return
	}
	line, rest, _ := strings.Cut(sent.String(), "\r\n")
	if want := "POST " + uri + " HTTP/1.1"; line != want {
		t.Errorf("request line %q, want %q", line, want)
	}
	if !strings.HasPrefix(rest, "Host: shop.example\r\n") || !strings.HasSuffix(rest, "\r\n\r\n"+body) {
		t.Errorf("%q: the rest of the message is %q", uri, rest)
	}
}

func TestRequestLineIsNotSplit(t *testing.T) {
	for _, uri := range []string{"/a b", "/a\r\nX: y", "/\x00"} {
		var sent bytes.Buffer
		out := pass.Request(http.MethodGet, uri, "shop.example", http.Header{}, nil)
		if err := writeRequest(&sent, out); err == nil {
			t.Errorf("%q was sent: %q", uri, sent.String())
		}
	}
}

// What net/http reads from a caller is sent with the same request target, or not at all.
func FuzzRequestTarget(f *testing.F) {
	for _, uri := range sentURIs {
		f.Add(uri)
	}
	f.Fuzz(func(t *testing.T, uri string) {
		in, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST " + uri + " HTTP/1.1\r\nHost: h\r\n\r\n")))
		if err != nil || in.RequestURI != uri {
			return
		}
		checkSent(t, in.RequestURI, "body")
	})
}
