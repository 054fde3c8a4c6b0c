package events

import "net/http"

// PeerLink sends requests to other processes; peer.Client is one.
type PeerLink interface {
	RoundTrip(address string, r *http.Request) (*http.Response, error)
}

// Link carries timestamps on the requests and answers of a PeerLink.
type Link struct {
	ring *Ring
	next PeerLink
}

// NewLink returns a link that stamps what goes through next.
func NewLink(ring *Ring, next PeerLink) *Link { return &Link{ring: ring, next: next} }

// RoundTrip implements PeerLink.
func (l *Link) RoundTrip(address string, r *http.Request) (*http.Response, error) {
	l.ring.Inject(r.Header)
	resp, err := l.next.RoundTrip(address, r)
	if err == nil {
		l.ring.Extract(resp.Header)
	}
	return resp, err
}

// Handler carries timestamps on the requests and answers that next serves. It
// belongs on listeners for mesh links only.
func Handler(ring *Ring, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ring.Extract(r.Header)
		next.ServeHTTP(&stampedWriter{ResponseWriter: w, ring: ring}, r)
	})
}

// stampedWriter puts a timestamp into the header of an answer as late as it
// can, so that it is after the events that led to the answer.
type stampedWriter struct {
	http.ResponseWriter
	ring    *Ring
	stamped bool
}

// WriteHeader implements http.ResponseWriter.
func (w *stampedWriter) WriteHeader(status int) {
	w.stamp()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *stampedWriter) Write(b []byte) (int, error) {
	w.stamp()
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the writer below.
func (w *stampedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *stampedWriter) stamp() {
	if !w.stamped {
		w.stamped = true
		w.ring.Inject(w.Header())
	}
}
