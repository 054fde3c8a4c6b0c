package relay

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// upload is the body of a response that may begin before the request has been sent.
type upload interface {
	// Uploading reports whether the body of the request is still being sent.
	Uploading() bool
	// AwaitUpload waits until it has been sent, as far as the server reads it and the request
	// lasts.
	AwaitUpload()
}

// arrival tells whether the whole body of a request has arrived.
type arrival struct {
	in io.Reader
	// missing is the number of bytes that have not arrived, or -1 if that is unknown. Only the
	// goroutine that reads uses it.
	missing int64
	whole   atomic.Bool
	// connection is what the header Connection of the response would be without respondEarly.
	connection []string
}

// respondEarly lets the response to r begin while the rest of its body comes in, which the
// target may still read. Without that, the server itself would read on before it writes the
// head of a response, and the target would get other bytes in place of what was read.
//
// The response then says that the connection is closed, and the server closes it, unless
// keepConnection finds that nothing more is to come. What remains of a body is never taken for
// another request.
func respondEarly(w http.ResponseWriter, r *http.Request, body *bufferedBody) (*arrival, error) {
	a := &arrival{in: body.rest, missing: -1}
	if body.length >= 0 {
		a.missing = body.length - int64(len(body.prefix))
	}
	body.rest = a
	if r.ProtoMajor != 1 {
		return a, nil
	}
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, fault.Wrap(fault.Internal, err, "respond while the request body comes in")
	}
	a.connection = w.Header()["Connection"]
	w.Header()["Connection"] = []string{"close"}
	return a, nil
}

// Read implements io.Reader.
func (a *arrival) Read(b []byte) (int, error) {
	n, err := a.in.Read(b)
	if a.missing >= 0 {
		a.missing -= int64(n)
	}
	if a.missing == 0 || errors.Is(err, io.EOF) {
		a.whole.Store(true)
	}
	return n, err
}

// keepConnection makes the response say nothing of the connection if the whole body of the
// request has arrived. a may be nil.
func (a *arrival) keepConnection(r *http.Request, h http.Header) {
	if a == nil || r.ProtoMajor != 1 || !a.whole.Load() {
		return
	}
	delete(h, "Connection")
	if a.connection != nil {
		h["Connection"] = a.connection
	}
}

// finish ends a response that has been written, with the error of writing it. Until the target
// has read the rest of the request, the connections stay open.
func (r *Response) finish(w http.ResponseWriter, err error) error {
	if err == nil && r.upload != nil {
		err = http.NewResponseController(w).Flush()
	}
	r.complete(err)
	if err == nil && r.upload != nil {
		r.upload.AwaitUpload()
	}
	r.Close(err)
	return err
}
