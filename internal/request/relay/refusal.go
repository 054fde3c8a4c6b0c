package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Refusal is an error with the advised wait before a retry.
type Refusal struct {
	Err   error
	After time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the error with its kind.
func (r *Refusal) Unwrap() error { return r.Err }

// refuse returns err with the advised wait.
func refuse(err error, after time.Duration) error { return &Refusal{Err: err, After: after} }

// statusOf returns the status of a failure. A failure where certainly no target
// was given the request, and which may pass, is answered as unavailable: callers
// take that for "not run".
func statusOf(kind fault.Kind) int {
	row := fault.AnswerFor(kind)
	if row.Outcome == fault.NotRun && row.Retry && row.Status >= http.StatusInternalServerError {
		return http.StatusServiceUnavailable
	}
	if row.Outcome != fault.NotRun && row.Status == http.StatusServiceUnavailable {
		return http.StatusBadGateway
	}
	if row.Status == http.StatusInternalServerError || row.Status < http.StatusBadRequest || kind == fault.CallerGone {
		return http.StatusBadGateway
	}
	return row.Status
}

// writeFailure answers with the status of err's kind. The message is for
// people.
func writeFailure(w http.ResponseWriter, err error, after time.Duration) {
	kind := fault.KindOf(err)
	status := statusOf(kind)
	text := fault.Message(err) + "\n"
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if after > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		h.Set("Retry-After", seconds(after))
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

// seconds writes a duration in seconds with parts.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
