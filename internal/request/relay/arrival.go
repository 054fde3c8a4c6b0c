package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/teaselrack/teaselrack/internal/version"
)

const (
	// defaultRemaining is the time of a request that states none.
	defaultRemaining = 30 * time.Second
	// answerMargin is kept back from the caller's own time, so that the final
	// answer still reaches it.
	answerMargin = 20 * time.Millisecond
	// comeBackPart is the part of what is left of the objective that a caller who
	// was turned away is asked to wait, one in this many.
	comeBackPart = 3
	// leastComeBack and mostComeBack bound that wait: tokens and levels change
	// little in the first, and callers leave when it is longer than the second.
	leastComeBack = 50 * time.Millisecond
	mostComeBack  = 2 * time.Second
)

// arrival is one request at its entry.
type arrival struct {
	began   time.Time
	id      string
	route   version.Route
	service string
	team    string
	rank    int
	// call is true for a request without a team: those of targets.
	call bool
	// returned is true where the caller was turned away a short time ago.
	returned bool
	// expires is when the caller gives up, deadline when the final answer is
	// due, useful when its full worth ends.
	expires  time.Time
	deadline time.Time
	useful   time.Time
	request  *http.Request
	header   http.Header
	// release frees the context of the request once its answer was passed on.
	release context.CancelFunc
	content content
	version uint64
}

// comeBack is the advised wait of a caller that is turned away. It leaves most of
// the objective for its next attempt, so that an answer to that is still worth all.
func (a *arrival) comeBack() time.Duration {
	return min(max(a.useful.Sub(a.began)/comeBackPart, leastComeBack), mostComeBack)
}

// key names the request apart from the attempt.
func (a *arrival) key() uint64 {
	return xxhash.Sum64String(a.team + " " + a.request.Method + " " + a.request.Host + a.request.RequestURI)
}

// setTimes fixes when the final answer is due and until when it has its full
// worth.
func (e *Entry) setTimes(a *arrival) {
	remaining := defaultRemaining
	if text := a.request.Header.Get(e.Names.Deadline); text != "" {
		if ms, err := strconv.ParseInt(text, 10, 64); err == nil && ms > 0 {
			remaining = min(remaining, time.Duration(ms)*time.Millisecond)
		}
	}
	a.expires = a.began.Add(remaining)
	remaining = max(remaining-answerMargin, remaining/2)
	if a.route.Timeout > 0 {
		remaining = min(remaining, a.route.Timeout)
	}
	a.deadline = a.began.Add(remaining)
	a.useful = a.deadline
	if !a.call && a.route.Objective > 0 && a.route.Objective < remaining {
		a.useful = a.began.Add(a.route.Objective)
	}
}
