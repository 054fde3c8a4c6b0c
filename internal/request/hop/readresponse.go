package hop

import (
	"errors"
	"io"
	"net/http"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// responseBufferLimit is the largest answer that is read whole before it is passed on,
// in bytes. A longer one is streamed and cannot be fetched again, nor stored.
const responseBufferLimit = protocol.MaxStoredAnswer

// readResponse reads the beginning of the answer to a request, and all of it up to
// bufferLimit. It fails with AnswerBroken where the answer broke off.
func readResponse(resp *http.Response, method string) (*response, error) {
	res := &response{
		status: resp.StatusCode,
		header: endToEnd(resp.Header),
		isHead: method == http.MethodHead,
	}
	body, complete, err := readPrefix(resp.Body, resp.ContentLength)
	res.body = body
	if err != nil {
		_ = resp.Body.Close()
		return nil, fault.Wrap(fault.AnswerBroken, err, "the answer ended before it was whole")
	}
	if complete {
		_ = resp.Body.Close()
		return res, nil
	}
	res.rest = resp.Body
	return res, nil
}

// readPrefix reads up to bufferLimit bytes and reports whether that was all.
func readPrefix(r io.Reader, length int64) ([]byte, bool, error) {
	if length > responseBufferLimit {
		return nil, false, nil
	}
	body, err := readUpTo(r, length, responseBufferLimit)
	if errors.Is(err, errTooLong) {
		return body, false, nil
	}
	return body, err == nil, err
}
