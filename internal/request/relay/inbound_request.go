package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/process/quarantine"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// defaultTimeout is the time limit of a request that states none. A longer
	// stated time limit is reduced to it.
	defaultTimeout = 30 * time.Second
	// responseMargin is subtracted from the time that the caller allows, so
	// that the final response reaches the caller before it gives up. At most
	// half of that time is subtracted.
	responseMargin = 20 * time.Millisecond
	// retryAfterDivisor divides the latency objective of a rejected request. The
	// quotient is its retry-after time.
	retryAfterDivisor = 3
	// minRetryAfter and maxRetryAfter bound the retry-after time. Token buckets
	// and shedding levels change little within the minimum, and callers do not
	// wait longer than the maximum.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryTimeDivisor divides the time that a caller has left. The quotient is the
	// longest retry-after time that it follows.
	retryTimeDivisor = 3
	// minFollowed is the shortest retry-after time. Headers state milliseconds.
	minFollowed = time.Millisecond
	// returnSpread is the time over which callers return after cold targets have become
	// warm.
	returnSpread = time.Second
	// lastReturns is the inverse of the part of the longest retry-after time over which
	// callers return who cannot wait until cold targets are warm.
	lastReturns = 5
	// holdSpread is the time over which held requests go on after cold targets have become
	// warm.
	holdSpread = 100 * time.Millisecond
)

// inboundRequest is one request as the entry received it.
type inboundRequest struct {
	receivedAt time.Time
	id         string
	// reservation is for what is buffered of the body.
	reservation *listener.Reservation
	route       version.Route
	service     string
	// team is empty for a public route. teamLabel is the name that the target sees.
	team      string
	teamLabel string
	rank      int
	// fromTarget is true for a request on a route that requires no API key. Such
	// a request has no team and is treated as one that a target sends.
	fromTarget bool
	// clientRetry is true if the same request was rejected a short time ago.
	clientRetry bool
	// call is what is known of a request of a target. It is zero for other requests.
	call shedding.Call
	// callerDeadline is when the caller gives up. deadline is when the final
	// response is due. objectiveDeadline is when the latency objective of the
	// route ends. It is deadline if there is no earlier objective or fromTarget is
	// true.
	callerDeadline    time.Time
	deadline          time.Time
	objectiveDeadline time.Time
	request           *http.Request
	// header holds the headers to forward.
	header http.Header
	// cancel releases the context of the request. It is called once the
	// response has been forwarded.
	cancel context.CancelFunc
	body   bufferedBody
	// content identifies the request across callers and attempts.
	content quarantine.Fingerprint
	// probe is true if the request is quarantined and may be sent to one target.
	probe    bool
	revision uint64
	// progress tells where the request is while it is followed.
	progress  drain.Progress
	following drain.Following
}

// retryAfter returns the time after which a rejected caller is told to retry.
// It is a small part of the latency objective, so that the retry still has most
// of the objective left.
func (r *inboundRequest) retryAfter() time.Duration {
	return min(max(r.objectiveDeadline.Sub(r.receivedAt)/retryAfterDivisor, minRetryAfter), maxRetryAfter)
}

// longestRetryAfter returns the longest retry-after time that the caller follows.
func (r *inboundRequest) longestRetryAfter() time.Duration {
	return r.callerDeadline.Sub(r.receivedAt) / retryTimeDivisor
}

// followed returns a retry-after time that the caller follows at now: after, unless that
// is too long.
func (r *inboundRequest) followed(now time.Time, after time.Duration) time.Duration {
	if r.callerDeadline.IsZero() {
		return after
	}
	return min(after, max(r.callerDeadline.Sub(now)/retryTimeDivisor, minFollowed))
}

// retryAfterLevel returns the time after which a caller is told to retry whose request was
// shed. If the level ends in time because cold targets turn warm, that is a time after it;
// draw, from 0 to 1, spreads the callers.
func (r *inboundRequest) retryAfterLevel(endsIn time.Duration, draw float64) time.Duration {
	longest := r.longestRetryAfter()
	switch {
	case endsIn <= 0:
		return r.retryAfter()
	case endsIn >= longest:
		return longest - time.Duration(draw*float64(longest/lastReturns))
	}
	return endsIn + time.Duration(draw*float64(min(returnSpread, longest-endsIn)))
}

// holdFor returns how long a request may be held that would be shed, because cold targets
// turn warm in time: half of what is left then is for the work. draw, from 0 to 1, spreads
// the requests. ok is false if they do not.
func (r *inboundRequest) holdFor(endsIn time.Duration, draw float64) (hold time.Duration, ok bool) {
	longest := r.deadline.Sub(r.receivedAt) / 2
	if endsIn <= 0 || endsIn >= longest {
		return 0, false
	}
	return endsIn + time.Duration(draw*float64(min(holdSpread, longest-endsIn))), true
}

// mayBegin reports whether an attempt may begin at a time of a shutdown. It needs the time
// of the latency objective, or what is left until the deadline if that is less.
func (r *inboundRequest) mayBegin(begin time.Time, s drain.Schedule) bool {
	need := min(r.objectiveDeadline.Sub(r.receivedAt), r.deadline.Sub(begin))
	return s.Allows(begin, begin.Add(need))
}

// fingerprint returns a hash of the team, the method, the host and the URI of
// the request. It is the same for all attempts of one caller's request.
func (r *inboundRequest) fingerprint() uint64 {
	return xxhash.Sum64String(r.team + " " + r.request.Method + " " + r.request.Host + r.request.RequestURI)
}

// setDeadlines sets the deadlines of req from its timeout header and its route.
func (e *EntryHandler) setDeadlines(req *inboundRequest) {
	remaining := defaultTimeout
	if text := req.request.Header.Get(e.HeaderNames.Deadline); text != "" {
		// More milliseconds than a duration holds are no limit.
		if ms, err := strconv.ParseInt(text, 10, 64); err == nil && ms > 0 && ms < remaining.Milliseconds() {
			remaining = time.Duration(ms) * time.Millisecond
		}
	}
	req.callerDeadline = req.receivedAt.Add(remaining)
	remaining = max(remaining-responseMargin, remaining/2)
	if req.route.Timeout > 0 {
		remaining = min(remaining, req.route.Timeout)
	}
	req.deadline = req.receivedAt.Add(remaining)
	req.objectiveDeadline = req.deadline
	if !req.fromTarget && req.route.Objective > 0 && req.route.Objective < remaining {
		req.objectiveDeadline = req.receivedAt.Add(req.route.Objective)
	}
}
