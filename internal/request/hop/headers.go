package hop

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of the data path, in canonical form.
const (
	// HeaderHandle identifies the in-flight request. It is set on requests to
	// targets, and targets copy it to their calls to the egress listener.
	HeaderHandle = "Teaselrack-Handle"
	// HeaderRequest is the request ID, on requests to targets and on responses.
	HeaderRequest = "Teaselrack-Request"
	// HeaderTimeout is a duration in milliseconds: on a caller's request the
	// longest time it will wait, on requests to targets the time until the deadline.
	HeaderTimeout = "Teaselrack-Timeout"
	// HeaderTeam and HeaderImportance are the team and the importance of a request
	// to a target.
	HeaderTeam       = "Teaselrack-Team"
	HeaderImportance = "Teaselrack-Importance"
	// HeaderOutcome states whether the request ran: not-run, unknown or ran.
	HeaderOutcome = "Teaselrack-Outcome"
	// HeaderKind is the error kind of a rejection. Forwarded responses of targets
	// never have it.
	HeaderKind = "Teaselrack-Kind"
	// HeaderLevel is a load-shedding level, on responses over peer links only: the
	// strictest of the target's own level and those that its calls returned.
	HeaderLevel = "Teaselrack-Level"
	// HeaderReplayed marks a response that was stored for an earlier attempt.
	HeaderReplayed = "Teaselrack-Replayed"

	headerOnceKey = "Idempotency-Key"
	headerPrefix  = "Teaselrack-"
)

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Http2-Settings",
}

// endToEnd returns a copy of h without the hop-by-hop headers and without the
// headers of this system, which begin with headerPrefix.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			out[name] = values
		}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 0), 10)
}
