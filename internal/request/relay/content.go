package relay

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/teaselrack/teaselrack/internal/connection/link"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// keptBytes is how much of a body is held so that it can be sent again or
	// checked before it is passed on; longer bodies are streamed.
	keptBytes = 64 << 10
	// firstBytes is what is allocated for a body of unknown length.
	firstBytes = 4 << 10
)

// content is a body, whole or with the rest still to come.
type content struct {
	body   []byte
	rest   io.Reader
	length int64 // -1 where it is not known
}

// readContent reads the beginning of a body.
func readContent(r io.Reader, length int64) (content, error) {
	if r == nil || r == http.NoBody || length == 0 {
		return content{}, nil
	}
	size := int64(firstBytes)
	if length > 0 {
		size = min(length, keptBytes)
	}
	buf := make([]byte, 0, size+1)
	for len(buf) <= keptBytes {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return content{body: buf, length: int64(len(buf))}, nil
		}
		if err != nil {
			return content{}, err
		}
	}
	return content{body: buf, rest: r, length: length}, nil
}

var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
	headerPassage, headerKind, headerLoad, headerWait, headerLevel,
}

// passedOn returns the headers that are not about one connection and not those
// between daemons.
func passedOn(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}

// Answer is the answer of a target.
type Answer struct {
	Status int
	Header http.Header
	content
	// NotRun is true where the target says that it did not run the request.
	NotRun bool
	// Load is the load that the daemon beside the target states, -1 where it
	// states none, and Shed the part of the work on the target to be shed.
	Load float64
	Shed float64
	// source is closed once the answer has been passed on; nil where it was read
	// whole.
	source io.Closer
	// ended is called when source is closed, with the error that broke the
	// answer off, or nil.
	ended func(error)
}

// newAnswer reads the beginning of an answer, all of it where it is short. On
// failure the answer broke off.
func newAnswer(resp *http.Response) (*Answer, error) {
	c, err := readContent(resp.Body, resp.ContentLength)
	a := &Answer{Status: resp.StatusCode, Header: passedOn(resp.Header), content: c}
	if err != nil {
		_ = resp.Body.Close()
		return nil, fault.Wrap(fault.AnswerBroken, err, "the answer ended before it was whole: %s", err)
	}
	if c.rest == nil {
		_ = resp.Body.Close()
		return a, nil
	}
	a.source = resp.Body
	return a, nil
}

// onEnd calls f once the answer has been passed on, or at once where it was
// read whole.
func (a *Answer) onEnd(f func(error)) {
	if a.source == nil {
		f(nil)
		return
	}
	earlier := a.ended
	a.ended = func(err error) {
		if earlier != nil {
			earlier(err)
		}
		f(err)
	}
}

// Close gives up what was not passed on.
func (a *Answer) Close(err error) {
	if a.source != nil {
		_ = a.source.Close()
		a.source = nil
		if a.ended != nil {
			a.ended(err)
		}
	}
}

var buffers = sync.Pool{New: func() any {
	b := make([]byte, 32<<10)
	return &b
}}

// stream writes the rest of the answer. The error is that of either side.
func (a *Answer) stream(w http.ResponseWriter) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	controller := http.NewResponseController(w)
	for {
		n, err := a.rest.Read(*buf)
		if n > 0 {
			if _, writeErr := w.Write((*buf)[:n]); writeErr != nil {
				return writeErr
			}
			if a.length < 0 {
				if flushErr := controller.Flush(); flushErr != nil {
					return flushErr
				}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// requestOf turns a request into the form of a link.
func requestOf(r *http.Request, header http.Header, c content) *link.Request {
	return &link.Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: header,
		Body: c.body, Rest: c.rest, Length: c.length,
	}
}
