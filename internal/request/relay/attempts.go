package relay

import (
	"github.com/teaselrack/teaselrack/internal/fault"
)

// maxForwards is the maximum number of daemons that one request is forwarded to.
const maxForwards = 4

// attempts records the attempts of one request so far.
type attempts struct {
	// excluded holds the instances that get no further attempt.
	excluded []string
	// forwards is the number of daemons that the request was forwarded to.
	// delivered is the number of targets that received it or may have received
	// it.
	forwards, delivered int
	// mayHaveRun is true once a target may have run the request.
	mayHaveRun bool
	// lastErr is the error of the last attempt.
	lastErr error
}

// add records one attempt at the daemon of an instance. If err is nil,
// response is a rejection by the target.
func (a *attempts) add(instance string, response *Response, err error) {
	a.excluded = append(a.excluded, instance)
	a.forwards++
	a.lastErr = err
	if err == nil {
		a.delivered++
		a.lastErr = withRetryAfter(fault.New(fault.Overloaded, "the target rejected the request with status %d", response.Status), 0)
		return
	}
	if fault.OutcomeOf(err) != fault.NotRun {
		a.delivered++
		a.mayHaveRun = true
	}
}

// finalError returns the error for a request that is not retried. It closes
// response, which is that of the last attempt and may be nil.
func finalError(a *attempts, response *Response) (*Response, error) {
	if response != nil {
		response.Close(nil)
	}
	return nil, a.failure(a.lastErr)
}

// failure returns the error to respond with: that of the last attempt, or err
// if there was none. If a target may have run the request, the outcome is never
// "not run".
func (a *attempts) failure(err error) error {
	if a.lastErr != nil {
		err = a.lastErr
	}
	if a.mayHaveRun {
		return fault.MayHaveRun(err)
	}
	return err
}
