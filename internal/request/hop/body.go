package hop

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// initialBufferSize is the size of the buffer, in bytes, that is allocated for a
// body before any of it has been read.
const initialBufferSize = 16 << 10

// checkLength returns TooLarge if the Content-Length of r exceeds limit bytes.
func checkLength(r *http.Request, limit int64) error {
	if r.ContentLength > limit {
		return bodyTooLarge(limit)
	}
	return nil
}

// readBody reads the complete body of r, at most limit bytes, before the deadline
// of ctx. It adds what it buffers to the reservation. Errors: TooLarge, Overloaded,
// DeadlineNotRun, BadRequest. It runs before the request is dispatched, so all of them
// have the outcome NotRun.
func readBody(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64, reservation *listener.Reservation) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	if deadline, ok := ctx.Deadline(); ok {
		_ = controller.SetReadDeadline(deadline)
		defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	}
	body, err := readUpTo(r.Body, r.ContentLength, limit, reservation)
	switch {
	case fault.Is(err, fault.Overloaded):
		return nil, err
	case errors.Is(err, errTooLong):
		return nil, bodyTooLarge(limit)
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, fault.Wrap(fault.DeadlineNotRun, err, "the deadline passed before the complete request body was received")
	case err != nil:
		return nil, fault.Wrap(fault.BadRequest, err, "the request body was truncated")
	}
	return body, nil
}

var errTooLong = errors.New("the body exceeds the limit")

// readUpTo reads r to its end. If r is longer than limit bytes, it stops there and
// returns errTooLong together with the bytes read so far; so it does with the error of the
// reservation. length is the expected
// length in bytes, or -1 if it is unknown.
func readUpTo(r io.Reader, length, limit int64, reservation *listener.Reservation) ([]byte, error) {
	size := int64(initialBufferSize)
	if length >= 0 && length < size {
		size = length
	}
	if err := reservation.Grow(size + 1); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, size+1)
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if int64(len(buf)) > limit {
			return buf, errTooLong
		}
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
		if len(buf) == cap(buf) {
			if err := reservation.Grow(int64(cap(buf))); err != nil {
				return buf, err
			}
			buf = slices.Grow(buf, cap(buf))
		}
	}
}

func bodyTooLarge(limit int64) error {
	return fault.New(fault.TooLarge, "the request body exceeds %d bytes", limit)
}
