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

// Refusal is the JSON body of every answer that this system makes itself.
type Refusal struct {
	Kind      fault.Kind `json:"kind"`
	Message   string     `json:"message"`
	RequestID string     `json:"request_id"`
}

// WriteError answers a request with the table row of err's kind.
func WriteError(w http.ResponseWriter, requestID string, err error) {
	kind := fault.KindOf(err)
	row := fault.AnswerFor(kind)
	body, marshalErr := json.Marshal(Refusal{kind, fault.Message(err), requestID})
	if marshalErr != nil {
		body = nil
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRequest, requestID)
	h.Set(HeaderOutcome, string(row.Outcome))
	h.Set(HeaderKind, string(kind))
	if row.RetryAfter > 0 {
		seconds := (row.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(row.Status)
	_, _ = w.Write(body)
}

// answer is the answer of a target on its way to the caller.
type answer struct {
	status int
	header http.Header // end-to-end headers
	// body is the whole body, or its beginning where rest is set.
	body []byte
	// rest is what follows body; nil where body is whole.
	rest io.ReadCloser
	// head is true for an answer to a HEAD request.
	head bool
	// finish is called once when the answer has been passed on, with the error
	// that broke it off, or nil. It may be nil.
	finish func(error)
}

// write passes the answer on before the deadline of ctx. One that breaks off
// breaks the connection that it is written to, so that it never looks
// complete.
func (a *answer) write(ctx context.Context, w http.ResponseWriter) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	h.Set(HeaderOutcome, string(fault.Ran))
	if a.rest == nil {
		a.writeWhole(w)
		return
	}
	w.WriteHeader(a.status)
	err := a.stream(ctx, w)
	_ = a.rest.Close()
	a.end(err)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (a *answer) writeWhole(w http.ResponseWriter) {
	if w.Header().Get("Content-Length") == "" && mayHaveBody(a.status) && !a.head {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	if len(a.body) == 0 {
		err = nil
	}
	a.end(err)
}

func (a *answer) stream(ctx context.Context, w http.ResponseWriter) error {
	controller := http.NewResponseController(w)
	if deadline, ok := ctx.Deadline(); ok {
		_ = controller.SetWriteDeadline(deadline)
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	}
	if _, err := w.Write(a.body); err != nil {
		return err
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		n, readErr := a.rest.Read(*buf)
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

func (a *answer) end(err error) {
	if a.finish != nil {
		a.finish(err)
	}
}

const bufferSize = 32 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferSize)
	return &b
}}

func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// replay turns a stored answer into one to pass on.
func replay(stored *protocol.StoredAnswer) *answer {
	header := make(http.Header, len(stored.Header)+1)
	for name, values := range stored.Header {
		header[name] = values
	}
	header.Set(HeaderReplayed, "true")
	return &answer{status: stored.Status, header: header, body: stored.Body}
}
