package http1

import (
	"bufio"
	"io"
	"net/http"
	"strconv"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
)

// Request is an HTTP request in the form in which it is written to a connection.
type Request struct {
	Method string
	// URI is the request target as the client sent it.
	URI    string
	Host   string
	Header http.Header
	// Body is the complete body, or its beginning if Rest is set.
	Body []byte
	// Rest is the part of the body after Body; nil if Body is complete.
	Rest io.Reader
	// Length is the length of the complete body in bytes, or -1 if unknown.
	Length int64
	// Progress, if set, is told when the request is sent.
	Progress *drain.Progress
	// ID is the value that the response must repeat in Options.IDHeader.
	ID string
	// Idempotent says that the caller may send the request again, so that it may
	// use a connection that has been idle for up to idleTimeout.
	Idempotent bool
}

// writeTo writes the request. It returns the first error of the connection or of
// reading Rest.
func (r *Request) writeTo(w *bufio.Writer) error {
	r.writeHead(w)
	if r.Rest == nil {
		_, _ = w.Write(r.Body)
		return w.Flush()
	}
	if r.Length >= 0 {
		_, _ = w.Write(r.Body)
		if err := w.Flush(); err != nil {
			return err
		}
		if _, err := io.CopyN(w, r.Rest, r.Length-int64(len(r.Body))); err != nil {
			return err
		}
		return w.Flush()
	}
	return r.writeChunks(w)
}

// writeHead writes the request line and the headers. The errors of the single
// writes are not checked, because Flush returns the first error of the
// bufio.Writer.
func (r *Request) writeHead(w *bufio.Writer) {
	_, _ = w.WriteString(r.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(r.URI)
	_, _ = w.WriteString(" HTTP/1.1\r\nHost: ")
	_, _ = w.WriteString(r.Host)
	_, _ = w.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			_, _ = w.WriteString(name)
			_, _ = w.WriteString(": ")
			_, _ = w.WriteString(value)
			_, _ = w.WriteString("\r\n")
		}
	}
	switch {
	case r.Length < 0 && r.Rest != nil:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || len(r.Body) > 0 || needsContentLength(r.Method):
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.FormatInt(max(r.Length, int64(len(r.Body))), 10))
		_, _ = w.WriteString("\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

// needsContentLength reports whether a request of the method without a body has
// the header Content-Length: 0.
func needsContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func (r *Request) writeChunks(w *bufio.Writer) error {
	chunk := func(b []byte) {
		if len(b) == 0 {
			return
		}
		_, _ = w.WriteString(strconv.FormatInt(int64(len(b)), 16))
		_, _ = w.WriteString("\r\n")
		_, _ = w.Write(b)
		_, _ = w.WriteString("\r\n")
	}
	chunk(r.Body)
	if err := w.Flush(); err != nil {
		return err
	}
	buf := make([]byte, bufferSize)
	for {
		n, err := r.Rest.Read(buf)
		chunk(buf[:n])
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	_, _ = w.WriteString("0\r\n\r\n")
	return w.Flush()
}
