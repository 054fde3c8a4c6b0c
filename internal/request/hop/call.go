package hop

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
	"github.com/teaselrack/teaselrack/internal/version"
)

// transitTime is subtracted from the remaining time at each hop, so that a
// rejection by the next hop arrives before the sender's own deadline.
const transitTime = 2 * time.Millisecond

// call is one outgoing request of a root or an egress listener. All its attempts
// send the same method, URL, header and body.
type call struct {
	route   version.Route
	timeout time.Duration
	// envelope has all fields except AttemptID and Remaining, which differ between
	// attempts.
	envelope envelope.Envelope
	method   string
	url      url.URL // path and query only
	header   http.Header
	body     []byte
	digest   string // of method, URL and body; set only for once requests
	// levels collects the load-shedding levels that downstream daemons report. It is
	// nil at a root, where the router gets the level of each response from
	// Choice.Done.
	levels *envelope.Levels
}

// populate copies from r what is forwarded, and removes the API keys that s finds.
// c.route must be set. Errors: BadRequest, OnceKeyMissing.
func (c *call) populate(r *http.Request, s scrubber) error {
	var err error
	if c.timeout, err = requestTimeout(r, c.route); err != nil {
		return err
	}
	if c.envelope.OnceKey, err = checkOnceKey(r, c.route); err != nil {
		return err
	}
	if s.containsKey(r.URL.Path) || s.containsKey(r.URL.EscapedPath()) || s.containsKey(c.envelope.OnceKey) {
		return fault.New(fault.BadRequest, "an API key may be sent in the Authorization header only")
	}
	c.envelope.Service = c.route.Service
	c.envelope.Mode = c.route.Mode
	c.url = url.URL{Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: s.scrubQuery(r.URL.RawQuery)}
	c.header = endToEnd(r.Header)
	s.scrubHeader(c.header)
	return nil
}

// newAttempt returns the envelope of a new attempt. It fails with DeadlineNotRun
// if no time is left for one.
func (c *call) newAttempt(ctx context.Context) (*envelope.Envelope, error) {
	deadline, ok := ctx.Deadline()
	remaining := time.Until(deadline) - transitTime
	if !ok || remaining <= 0 {
		return nil, fault.New(fault.DeadlineNotRun, "the deadline passed before the request was sent")
	}
	e := c.envelope
	e.AttemptID = envelope.NewID()
	e.Remaining = remaining
	return &e, nil
}

// attemptRequest builds the HTTP request of one attempt.
func (c *call) attemptRequest(ctx context.Context, e *envelope.Envelope, address string) (*http.Request, error) {
	encoded, err := envelope.Encode(e)
	if err != nil {
		return nil, err
	}
	header := make(http.Header, len(c.header)+1)
	for name, values := range c.header {
		header[name] = values
	}
	header[envelope.Header] = []string{encoded}
	return newRequest(ctx, "https", address, c.method, c.url, header, c.body), nil
}

// newRequest builds a request whose body can be read only once, so that no HTTP
// library can resend it.
func newRequest(ctx context.Context, scheme, address, method string, u url.URL, header http.Header, body []byte) *http.Request {
	u.Scheme = scheme
	u.Host = address
	r := &http.Request{
		Method:     method,
		URL:        &u,
		Host:       address,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     header,
	}
	if len(body) > 0 {
		r.Body = newOneShotBody(body)
		r.ContentLength = int64(len(body))
	}
	return r.WithContext(ctx)
}

// record records a timeline event of the request with envelope e.
func record(d Deps, name string, e *envelope.Envelope, target, detail string) {
	d.Recorder.Record(protocol.Event{
		Process: d.Instance,
		Name:    name,
		Request: e.RequestID,
		Team:    e.Team,
		Target:  target,
		Detail:  detail,
	})
}
