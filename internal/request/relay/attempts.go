package relay

import (
	"github.com/teaselrack/teaselrack/internal/fault"
)

// maxOffers is the maximum number of daemons that one request is forwarded to.
const maxOffers = 4

// attempts records the attempts of one request so far.
type attempts struct {
	excluded []string
	// offers is the number of daemons that received the request, delivered the
	// number of targets that did.
	offers, delivered int
	// mayHaveRun is true once a target may have run the request.
	mayHaveRun bool
	lastErr    error
}

func (a *attempts) add(instance string, response *Response, err error) {
	a.excluded = append(a.excluded, instance)
	a.offers++
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

// finalError returns the error for a request that is not retried, and closes
// the last response.
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
