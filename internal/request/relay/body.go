package relay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/http1"
	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
)

const (
	// maxBufferedBytes is how much of a body is buffered. A body within this
	// limit can be sent again, and a response within it is checked for
	// completeness before it is forwarded. Longer bodies are streamed.
	maxBufferedBytes = 64 << 10
	// initialBufferBytes is the initial buffer size for a body of unknown
	// length.
	initialBufferBytes = 4 << 10
)

// bufferedBody is a body whose beginning has been read into memory.
type bufferedBody struct {
	prefix []byte
	// rest is the unread remainder. It is nil if prefix holds the whole body.
	rest   io.Reader
	length int64 // of the whole body in bytes, -1 if unknown
	// arrival is set for the body of a request whose response may begin before its end.
	arrival *arrival
}

// bufferBody reads the beginning of a body. A body of at most maxBufferedBytes
// is read completely. The remainder of a longer body is left in rest. What is
// buffered is added to the reservation. The error is that of the read or of the
// reservation.
func bufferBody(r io.Reader, length int64, reservation *listener.Reservation) (bufferedBody, error) {
	if r == nil || r == http.NoBody || length == 0 {
		return bufferedBody{}, nil
	}
	size := int64(initialBufferBytes)
	if length > 0 {
		size = min(length, maxBufferedBytes)
	}
	if err := reservation.Grow(size + 1); err != nil {
		return bufferedBody{}, err
	}
	buf := make([]byte, 0, size+1)
	for len(buf) <= maxBufferedBytes {
		if len(buf) == cap(buf) {
			more := min(cap(buf), maxBufferedBytes+1-cap(buf))
			if err := reservation.Grow(int64(more)); err != nil {
				return bufferedBody{}, err
			}
			buf = slices.Grow(buf, more)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return bufferedBody{prefix: buf, length: int64(len(buf))}, nil
		}
		if err != nil {
			return bufferedBody{}, err
		}
	}
	return bufferedBody{prefix: buf, rest: r, length: length}, nil
}

// bufferRequestBody is bufferBody for the body of a request whose sender may stop sending:
// nothing is read of it after the deadline. Errors: DeadlineNotRun, Overloaded, BadRequest.
func bufferRequestBody(w http.ResponseWriter, r *http.Request, deadline time.Time, reservation *listener.Reservation) (bufferedBody, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return bufferedBody{}, nil
	}
	controller := http.NewResponseController(w)
	if err := setReadDeadline(controller, deadline); err != nil {
		return bufferedBody{}, err
	}
	body, err := bufferBody(r.Body, r.ContentLength, reservation)
	switch {
	case fault.Is(err, fault.Overloaded):
		return bufferedBody{}, err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return bufferedBody{}, fault.Wrap(fault.DeadlineNotRun, err, "the deadline passed before the request body was received")
	case err != nil:
		return bufferedBody{}, fault.Wrap(fault.BadRequest, err, "the request body was truncated")
	case body.rest != nil:
		reservation.ReadLongBody()
		body.arrival, err = respondEarly(w, r, &body)
		return body, err
	}
	return body, setReadDeadline(controller, time.Time{})
}

func setReadDeadline(controller *http.ResponseController, deadline time.Time) error {
	if err := controller.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fault.Wrap(fault.BadRequest, err, "the connection has ended")
	}
	return nil
}

// strippedHeaders are never forwarded. They apply to one connection or to the
// framing of one message, or daemons exchange them among themselves.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
	headerMetadata, headerErrorKind, headerLoad, headerRetryAfter, headerShedLevel, headerShedLevelEnds, headerCalledLoad, headerStatement,
}

// forwardedHeaders returns a copy of h without strippedHeaders and without the
// headers that the Connection header names.
func forwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range strippedHeaders {
		delete(out, name)
	}
	return out
}

// Response is the response of a target. Its source must be closed with Close.
type Response struct {
	Status int
	Header http.Header
	bufferedBody
	// NotRun is true if the target states that it did not run the request.
	NotRun bool
	// Load is the number of running and queued requests per slot of the target,
	// as its daemon reports it. It is -1 if unknown. ShedLevel is the fraction
	// of the work on the target that should be shed, between 0 and 1.
	Load      float64
	ShedLevel float64
	// CalledLoad is the load of the services that requests of the route call; 0 if it
	// is low or not reported.
	CalledLoad float64
	// Statement is what the target says about itself.
	Statement protocol.Statement
	// source is closed once the response has been forwarded. It is nil if the
	// whole body was buffered and the request has been sent.
	source io.Closer
	// upload is set if the body of the request was still being sent when the response began.
	upload upload
	// completed is called when source is closed. Its argument is the error if
	// the response was truncated, otherwise nil.
	completed func(error)
}

// succeeded reports whether the target ran the request without failing.
func (r *Response) succeeded() bool {
	return !r.NotRun && r.Status < http.StatusInternalServerError
}

// newResponse reads the beginning of a response, or all of it if it is short.
// It returns AnswerBroken if the body could not be read. The response of a target that has
// not run the request needs no body: what its head states holds without it.
func newResponse(resp *http.Response, notRun bool) (*Response, error) {
	body, err := bufferBody(resp.Body, resp.ContentLength, nil)
	response := &Response{Status: resp.StatusCode, Header: forwardedHeaders(resp.Header), bufferedBody: body, NotRun: notRun}
	if err != nil {
		_ = resp.Body.Close()
		if notRun {
			return response, nil
		}
		return nil, fault.Wrap(fault.AnswerBroken, err, "the response of the target was truncated: %s", err)
	}
	if u, ok := resp.Body.(upload); ok && u.Uploading() {
		response.upload = u
	}
	if body.rest == nil && response.upload == nil {
		_ = resp.Body.Close()
		return response, nil
	}
	response.source = resp.Body
	return response, nil
}

// onComplete calls f once the response has been forwarded, or at once if the
// whole body was buffered. The argument of f is the error if the response was
// truncated, otherwise nil.
func (r *Response) onComplete(f func(error)) {
	if r.source == nil {
		f(nil)
		return
	}
	earlier := r.completed
	r.completed = func(err error) {
		if earlier != nil {
			earlier(err)
		}
		f(err)
	}
}

// complete reports err to the functions registered with onComplete.
func (r *Response) complete(err error) {
	if r.completed != nil {
		r.completed(err)
		r.completed = nil
	}
}

// Close closes the source of the body and reports err to the functions
// registered with onComplete, if complete has not been called.
func (r *Response) Close(err error) {
	if r.source != nil {
		_ = r.source.Close()
		r.source = nil
		r.complete(err)
	}
}

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, 32<<10)
	return &b
}}

// stream copies the rest of the body to w. It flushes each part of a body of
// unknown length. It returns the error of the read or of the write.
func (r *Response) stream(w http.ResponseWriter) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	controller := http.NewResponseController(w)
	for {
		n, err := r.rest.Read(*buf)
		if n > 0 {
			if _, writeErr := w.Write((*buf)[:n]); writeErr != nil {
				return writeErr
			}
			if r.length < 0 {
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

// newClientRequest converts a request to the type that http1.Client sends.
func newClientRequest(r *http.Request, header http.Header, body bufferedBody) *http1.Request {
	return &http1.Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: header,
		Body: body.prefix, Rest: body.rest, Length: body.length,
	}
}

// contentOf returns the fingerprint of a request.
func contentOf(r *http1.Request) quarantine.Fingerprint {
	return quarantine.NewFingerprint(r.Method, r.Host, r.URI, r.Body, r.Length)
}
