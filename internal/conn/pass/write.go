package pass

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

// Write writes a request. If it has a RequestURI, that is the request target, byte for byte;
// net/http alone would escape some paths anew. The caller flushes the writer.
func Write(w *bufio.Writer, request *http.Request) error {
	if request.RequestURI == "" {
		return request.Write(w)
	}
	if err := writeRequestLine(w, request); err != nil {
		return err
	}
	// net/http writes the rest of the message after a request line of its own.
	return request.Write(&lineSkipper{Writer: w})
}

// errRequestLine is the error for a method or URI that would end the request line early.
var errRequestLine = errors.New("the method or URI has a space or a control character")

// writeRequestLine writes the method and the URI exactly as they are.
func writeRequestLine(w *bufio.Writer, request *http.Request) error {
	for _, part := range []string{request.Method, request.RequestURI} {
		if part == "" || strings.ContainsFunc(part, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
			return errRequestLine
		}
	}
	for _, part := range []string{request.Method, " ", request.RequestURI, " HTTP/1.1\r\n"} {
		if _, err := w.WriteString(part); err != nil {
			return err
		}
	}
	return nil
}

// lineSkipper drops what is written up to the end of the first line. It is an
// io.ByteWriter, so that net/http adds no buffer of its own.
type lineSkipper struct {
	*bufio.Writer
	skipped bool
}

func (s *lineSkipper) Write(data []byte) (int, error) {
	rest := data
	if !s.skipped {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			return len(data), nil
		}
		s.skipped, rest = true, data[end+1:]
	}
	if _, err := s.Writer.Write(rest); err != nil {
		return 0, err
	}
	return len(data), nil
}

func (s *lineSkipper) WriteString(text string) (int, error) { return s.Write([]byte(text)) }

func (s *lineSkipper) WriteByte(b byte) error {
	_, err := s.Write([]byte{b})
	return err
}

// ReadFrom hides that of the writer, which would not skip the line.
func (s *lineSkipper) ReadFrom(from io.Reader) (int64, error) {
	if s.skipped {
		return s.Writer.ReadFrom(from)
	}
	return io.Copy(struct{ io.Writer }{s}, from)
}
