package hop

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of the data path, in canonical form.
const (
	// HeaderHandle names the running request: set on requests to targets, and
	// copied by targets to their calls on the egress listener.
	HeaderHandle = "Teaselrack-Handle"
	// HeaderRequest is the request id, on requests to targets and on answers.
	HeaderRequest = "Teaselrack-Request"
	// HeaderTimeout is a time in milliseconds: on a caller's request the most
	// it will wait, on requests to targets the time until the deadline.
	HeaderTimeout = "Teaselrack-Timeout"
	// HeaderTeam and HeaderImportance tell a target whom it works for.
	HeaderTeam       = "Teaselrack-Team"
	HeaderImportance = "Teaselrack-Importance"
	// HeaderOutcome says whether the request ran: not-run, unknown or ran.
	HeaderOutcome = "Teaselrack-Outcome"
	// HeaderKind is the error kind of a refusal; the answers of targets never
	// hold it.
	HeaderKind = "Teaselrack-Kind"
	// HeaderLevel is the level in force beside a target, on peer links only.
	HeaderLevel = "Teaselrack-Level"
	// HeaderReplayed marks the stored answer of an earlier attempt.
	HeaderReplayed = "Teaselrack-Replayed"

	headerOnceKey = "Idempotency-Key"
	headerPrefix  = "Teaselrack-"
)

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Http2-Settings",
}

// endToEnd returns a copy of h without the headers that belong to one
// connection and without those of this system.
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
