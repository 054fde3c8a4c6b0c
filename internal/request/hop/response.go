package hop

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// ErrorBody is the JSON body of the responses that a daemon generates itself. All
// other responses come from a target.
type ErrorBody struct {
	Kind      fault.Kind `json:"kind"`
	Message   string     `json:"message"`
	RequestID string     `json:"request_id"`
}

// WriteError responds to a request with err as an ErrorBody. The status, outcome
// and Retry-After are those that fault.ResponseFor returns for the kind of err.
func WriteError(w http.ResponseWriter, requestID string, err error) {
	kind := fault.KindOf(err)
	properties := fault.ResponseFor(kind)
	body, marshalErr := json.Marshal(ErrorBody{kind, fault.Message(err), requestID})
	if marshalErr != nil {
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRequest, requestID)
	h.Set(HeaderOutcome, string(properties.Outcome))
	h.Set(HeaderKind, string(kind))
	if properties.RetryAfter > 0 {
		seconds := (properties.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(properties.Status)
	_, _ = w.Write(body)
}

// response is the response of a target that is being forwarded to the caller.
type response struct {
	status int
	header http.Header // end-to-end headers
	// body is the complete body, or its beginning if rest is set.
	body []byte
	// rest reads the remainder of the body; nil if body is complete.
	rest io.ReadCloser
	// isHead is true for the response to a HEAD request.
	isHead bool
	// onDone is called once when forwarding ends, with the error if the response
	// was truncated, otherwise nil. It may be nil.
	onDone func(error)
}

// write forwards the response before the deadline of ctx. If streaming fails,
// write panics with http.ErrAbortHandler to break the connection, so that a
// truncated response never looks complete.
func (res *response) write(ctx context.Context, w http.ResponseWriter) {
	h := w.Header()
	for name, values := range res.header {
		h[name] = values
	}
	h.Set(HeaderOutcome, string(fault.Ran))
	if res.rest == nil {
		res.writeBuffered(w)
		return
	}
	w.WriteHeader(res.status)
	err := res.stream(ctx, w)
	_ = res.rest.Close()
	res.done(err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (res *response) writeBuffered(w http.ResponseWriter) {
	if w.Header().Get("Content-Length") == "" && mayHaveBody(res.status) && !res.isHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(res.body)))
	}
	w.WriteHeader(res.status)
	_, err := w.Write(res.body)
	if len(res.body) == 0 {
		err = nil
	}
	res.done(err)
}

func (res *response) stream(ctx context.Context, w http.ResponseWriter) error {
	controller := http.NewResponseController(w)
	if deadline, ok := ctx.Deadline(); ok {
		_ = controller.SetWriteDeadline(deadline)
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	}
	if _, err := w.Write(res.body); err != nil {
		return err
	}
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, readErr := res.rest.Read(*buf)
		if n > 0 {
			if _, err := w.Write((*buf)[:n]); err != nil {
				return err
			}
			if err := controller.Flush(); err != nil {
				return err
			}
		}
		if readErr == io.EOF {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

func (res *response) done(err error) {
	if res.onDone != nil {
		res.onDone(err)
	}
}

// copyBufferSize is the size, in bytes, of the buffers in copyBuffers.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferSize)
	return &b
}}

func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// replayedResponse converts a stored response to one that can be forwarded.
func replayedResponse(stored *protocol.StoredResponse) *response {
	header := make(http.Header, len(stored.Header)+1)
	for name, values := range stored.Header {
		header[name] = values
	}
	header.Set(HeaderReplayed, "true")
	return &response{status: stored.Status, header: header, body: stored.Body}
}
