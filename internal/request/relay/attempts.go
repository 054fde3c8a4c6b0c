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
	// failed is the complete response of a target that failed the request.
	failed *Response
}

// add records one attempt at the daemon of an instance. If err is nil, response is that
// of a target that rejected or failed the request. add closes it.
func (a *attempts) add(instance string, response *Response, err error) {
	if response != nil {
		response.Close(nil)
	}
	a.excluded = append(a.excluded, instance)
	a.forwards++
	a.lastErr = err
	if err == nil && !response.NotRun {
		a.delivered++
		a.mayHaveRun = true
		a.failed = response
		return
	}
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

// result returns what to respond to a request that is not retried: the response of a target
// that failed it, or an error. err is the error if there was no attempt.
func (a *attempts) result(err error) (*Response, error) {
	if a.failed != nil {
		return a.failed, nil
	}
	return nil, a.failure(err)
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
