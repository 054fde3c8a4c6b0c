package hop

import (
	"errors"
	"io"
	"net/http"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// bufferLimit is the largest answer that is read whole before it is passed on,
// in bytes. A longer one is streamed and cannot be fetched again, nor stored.
const bufferLimit = protocol.MaxStoredAnswer

// receive reads the beginning of the answer to a request, and all of it up to
// bufferLimit. It fails with AnswerBroken where the answer broke off.
func receive(resp *http.Response, method string) (*answer, error) {
	a := &answer{
		status: resp.StatusCode,
		header: endToEnd(resp.Header),
		head:   method == http.MethodHead,
	}
	body, whole, err := readStart(resp.Body, resp.ContentLength)
	a.body = body
	if err != nil {
		_ = resp.Body.Close()
		return nil, fault.Wrap(fault.AnswerBroken, err, "the answer ended before it was whole")
	}
	if whole {
		_ = resp.Body.Close()
		return a, nil
	}
	a.rest = resp.Body
	return a, nil
}

// readStart reads up to bufferLimit bytes and reports whether that was all.
func readStart(r io.Reader, length int64) ([]byte, bool, error) {
	if length > bufferLimit {
		return nil, false, nil
	}
	body, err := readUpTo(r, length, bufferLimit)
	if errors.Is(err, errTooLong) {
		return body, false, nil
	}
	return body, err == nil, err
}
