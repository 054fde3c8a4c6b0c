package events

import "net/http"

// PeerLink sends requests to other processes; peer.Client is one.
type PeerLink interface {
	RoundTrip(address string, r *http.Request) (*http.Response, error)
}

// TimestampedLink is a PeerLink that adds timestamps to requests and observes
// those of responses.
type TimestampedLink struct {
	ring *Ring
	next PeerLink
}

// NewTimestampedLink returns a link that adds timestamps to requests and sends
// them through next.
func NewTimestampedLink(ring *Ring, next PeerLink) *TimestampedLink {
	return &TimestampedLink{ring: ring, next: next}
}

// RoundTrip implements PeerLink.
func (l *TimestampedLink) RoundTrip(address string, r *http.Request) (*http.Response, error) {
	l.ring.Inject(r.Header)
	resp, err := l.next.RoundTrip(address, r)
	if err == nil {
		l.ring.Extract(resp.Header)
	}
	return resp, err
}

// TimestampedHandler returns a handler that observes the timestamps of requests
// before next serves them and adds timestamps to the responses. It must be used
// only on listeners for mesh links.
func TimestampedHandler(ring *Ring, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ring.Extract(r.Header)
		next.ServeHTTP(&timestampWriter{ResponseWriter: w, ring: ring}, r)
	})
}

// timestampWriter adds a timestamp to the header of a response as late as
// possible, so that the timestamp is after the events that led to the response.
type timestampWriter struct {
	http.ResponseWriter
	ring     *Ring
	injected bool
}

// WriteHeader implements http.ResponseWriter.
func (w *timestampWriter) WriteHeader(status int) {
	w.injectTimestamp()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *timestampWriter) Write(b []byte) (int, error) {
	w.injectTimestamp()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *timestampWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *timestampWriter) injectTimestamp() {
	if !w.injected {
		w.injected = true
		w.ring.Inject(w.Header())
	}
}
