package relay

import (
	"github.com/teaselrack/teaselrack/internal/fault"
)

// maxOffers bounds the daemons that one request is offered to.
const maxOffers = 4

// tries is the state of one request over the targets that it was sent to.
type tries struct {
	excluded []string
	// offers counts the daemons that had the request, given the targets that
	// were given it.
	offers, given int
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	last       error
}

func (t *tries) add(instance string, answer *Answer, err error) {
	t.excluded = append(t.excluded, instance)
	t.offers++
	t.last = err
	if err == nil {
		t.given++
		t.last = refuse(fault.New(fault.Overloaded, "the target turned the request away with status %d", answer.Status), 0)
		return
	}
	if fault.OutcomeOf(err) != fault.NotRun {
		t.given++
		t.mayHaveRun = true
	}
}

// conclude returns the final answer to a request that is not sent again.
func conclude(t *tries, answer *Answer) (*Answer, error) {
	if answer != nil {
		answer.Close(nil)
	}
	return nil, t.result(t.last)
}

// result is the failure to answer with. A request that a target may have run is
// never said to be not run.
func (t *tries) result(err error) error {
	if t.last != nil {
		err = t.last
	}
	if t.mayHaveRun {
		return fault.MayHaveRun(err)
	}
	return err
}
