package relay

import (
	"slices"

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
	// stopping holds the instances whose daemon refused the request because it stops.
	// lastResort is true once they may be used after all.
	stopping   []string
	lastResort bool
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
	if fault.Is(err, fault.ShuttingDown) {
		a.stopping = append(a.stopping, instance)
	}
	if fault.OutcomeOf(err) != fault.NotRun {
		a.delivered++
		a.mayHaveRun = true
	}
}

// reconsider lets the instances be chosen again whose daemon stops, for a request that no
// other target takes. It reports whether there are any; it does so once.
func (a *attempts) reconsider() bool {
	if a.lastResort || len(a.stopping) == 0 {
		return false
	}
	a.lastResort = true
	a.excluded = slices.DeleteFunc(a.excluded, func(instance string) bool { return slices.Contains(a.stopping, instance) })
	return true
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
