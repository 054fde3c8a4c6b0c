package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// RetryAfterError is an error with the time after which the caller should
// retry.
type RetryAfterError struct {
	Err error
	// After is 0 if the default of the error's kind applies.
	After time.Duration
}

func (r *RetryAfterError) Error() string { return r.Err.Error() }

// Unwrap returns the wrapped error, which has a fault.Kind.
func (r *RetryAfterError) Unwrap() error { return r.Err }

// withRetryAfter wraps err in a RetryAfterError.
func withRetryAfter(err error, d time.Duration) error { return &RetryAfterError{Err: err, After: d} }

// statusForKind returns the HTTP status for a kind of error. Callers take
// status 503 to mean that no target ran the request. A failure for which this is
// not certain gets 502.
func statusForKind(kind fault.Kind) int {
	response := fault.ResponseFor(kind)
	if response.Outcome != fault.NotRun && response.Status == http.StatusServiceUnavailable {
		return http.StatusBadGateway
	}
	if response.Status == http.StatusInternalServerError || response.Status < http.StatusBadRequest || kind == fault.CallerGone {
		return http.StatusBadGateway
	}
	return response.Status
}

// writeErrorResponse writes the status of err's kind and its message as plain
// text. The Retry-After header is in seconds, with decimal places.
func writeErrorResponse(w http.ResponseWriter, err error, retryAfter time.Duration) {
	kind := fault.KindOf(err)
	status := statusForKind(kind)
	text := fault.Message(err) + "\n"
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if retryAfter > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		h.Set("Retry-After", formatSeconds(retryAfter))
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

// formatSeconds returns d in seconds, with three decimal places.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
