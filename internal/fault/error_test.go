package fault

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestEveryKindHasAResponse(t *testing.T) {
	for _, k := range Kinds() {
		response := ResponseFor(k)
		must.GreaterEq(t, http.StatusBadRequest, response.Status, must.Sprint(k))
		must.SliceContains(t, []Outcome{NotRun, Unknown, Ran}, response.Outcome)
		must.Eq(t, k, KindOf(New(k, "text")))
		if response.RetryAfter > 0 {
			must.True(t, response.Retry, must.Sprintf("%s has a RetryAfter without Retry", k))
		}
	}
}

// TestStatusAgreesWithTheOutcome guards against a status that contradicts the outcome. Callers
// take 408, 421, 429 and 503 as the promise that a request has not run, and don't repeat one
// that may run only once after 502 or 504.
func TestStatusAgreesWithTheOutcome(t *testing.T) {
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	for _, k := range Kinds() {
		response := ResponseFor(k)
		if response.Outcome == NotRun {
			must.SliceNotContains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, response.Status, must.Sprint(k))
			must.Eq(t, response.Status == http.StatusServiceUnavailable && k != Quarantined, response.Status >= http.StatusInternalServerError && response.RetryAfter > 0, must.Sprint(k))
		} else if k != NoLeader && k != NotInEffect { // for operators, who send a command again
			must.SliceNotContains(t, promises, response.Status, must.Sprint(k))
		}
	}
}

// TestRetryAfterAtTheLimitOfATeam holds the times that OPERATIONS.md states.
func TestRetryAfterAtTheLimitOfATeam(t *testing.T) {
	must.Eq(t, time.Second, ResponseFor(QuotaExceeded).RetryAfter)
	must.Eq(t, 3*time.Second, ResponseFor(QuotaUnavailable).RetryAfter)
}

func TestKindOf(t *testing.T) {
	cause := errors.New("broken pipe")
	cases := []struct {
		name string
		err  error
		kind Kind
	}{
		{"nil", nil, ""},
		{"plain", cause, Internal},
		{"wrapped", Wrap(ConnectionLost, cause, "peer"), ConnectionLost},
		{"outermost wins", Wrap(Overloaded, New(NoTarget, "inner"), "outer"), Overloaded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.kind, KindOf(c.err))
		})
	}
}

func TestMessageOmitsCauses(t *testing.T) {
	err := Wrap(ConnectionLost, errors.New("10.0.0.1 refused"), "the peer was lost")
	must.Eq(t, "the peer was lost", Message(err))
}
