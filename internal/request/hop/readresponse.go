package hop

import (
	"errors"
	"io"
	"net/http"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// responseBufferLimit is the maximum size, in bytes, of a response body that is
// buffered completely before it is forwarded. A larger body is streamed: the
// request can no longer be retried, and the response cannot be stored.
const responseBufferLimit = protocol.MaxStoredResponse

// readResponse reads the body of a response if it does not exceed
// responseBufferLimit, and otherwise leaves the remainder of the body in rest. It
// fails with AnswerBroken if the response is truncated.
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
		return nil, fault.Wrap(fault.AnswerBroken, err, "the response of the target was truncated")
	}
	if complete {
		_ = resp.Body.Close()
		return res, nil
	}
	res.rest = resp.Body
	return res, nil
}

// readPrefix reads the beginning of a body and reports whether that is the
// complete body. It reads nothing if length exceeds responseBufferLimit.
func readPrefix(r io.Reader, length int64) ([]byte, bool, error) {
	if length > responseBufferLimit {
		return nil, false, nil
	}
	body, err := readUpTo(r, length, responseBufferLimit, nil)
	if errors.Is(err, errTooLong) {
		return body, false, nil
	}
	return body, err == nil, err
}
