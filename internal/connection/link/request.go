package link

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
)

// Request is one request as it is written to a connection.
type Request struct {
	Method string
	// URI is the request target as the client sent it.
	URI    string
	Host   string
	Header http.Header
	// Body is the whole body, or its beginning where Rest is set.
	Body []byte
	// Rest is what follows Body; nil where Body is whole.
	Rest io.Reader
	// Length is the length of the body in bytes, -1 where it is not known.
	Length int64
	// ID is the value that the answer must repeat in the header that the
	// client's options name.
	ID string
	// Repeatable says that the request may be sent again, so that it may use a
	// connection that has been idle for some time.
	Repeatable bool
}

// writeTo writes the request. The error is that of the connection or of Rest.
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

// writeHead writes the request line and the headers. A bufio.Writer keeps its
// first error, which Flush returns, so the single writes are not checked.
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
	case r.Length > 0 || len(r.Body) > 0 || hasBody(r.Method):
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.WriteString(strconv.FormatInt(max(r.Length, int64(len(r.Body))), 10))
		_, _ = w.WriteString("\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

// hasBody reports whether requests of the method state a length of 0.
func hasBody(method string) bool {
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
