package relay

import (
	"strconv"
	"strings"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Passage is what one daemon tells the next about a request.
type Passage struct {
	// RequestID is the id that the caller gave to its attempt.
	RequestID string
	// Service is the service that the request is meant for, Route the name of
	// its route.
	Service string
	Route   string
	// Team is the team in whose name it runs; empty for a public route.
	Team string
	// Origin is the service of the machine where the request began.
	Origin string
	Rank   int
	// Call is true for a call that a target makes.
	Call bool
	// Repeatable requests may run more than once.
	Repeatable bool
	// Returned is true where the caller was turned away before.
	Returned bool
	// Remaining is the time until the final answer is due.
	Remaining time.Duration
	// Useful is the time until the objective passes, or until the final answer
	// is due where no objective is left.
	Useful time.Duration
}

const (
	passageFields = 10
	flagCall      = "c"
	flagRepeat    = "r"
	flagReturned  = "b"
)

// Encode returns the form of p in a header.
func (p *Passage) Encode() string {
	flags := ""
	if p.Call {
		flags += flagCall
	}
	if p.Repeatable {
		flags += flagRepeat
	}
	if p.Returned {
		flags += flagReturned
	}
	return strings.Join([]string{
		"1", p.Service, p.Team, p.Origin, strconv.Itoa(p.Rank), flags,
		microseconds(p.Remaining), microseconds(p.Useful), p.RequestID, p.Route,
	}, "\t")
}

func microseconds(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

// DecodePassage reads what Encode wrote. Errors: BadRequest.
func DecodePassage(text string) (*Passage, error) {
	f := strings.SplitN(text, "\t", passageFields)
	if len(f) != passageFields || f[0] != "1" {
		return nil, fault.New(fault.BadRequest, "the passage %q is not understood", text)
	}
	rank, err := strconv.Atoi(f[4])
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the rank %q is no number", f[4])
	}
	remaining, err := strconv.ParseInt(f[6], 10, 64)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the remaining time %q is no number", f[6])
	}
	useful, err := strconv.ParseInt(f[7], 10, 64)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "the useful time %q is no number", f[7])
	}
	return &Passage{
		Service: f[1], Team: f[2], Origin: f[3], Rank: rank,
		Call:       strings.Contains(f[5], flagCall),
		Repeatable: strings.Contains(f[5], flagRepeat),
		Returned:   strings.Contains(f[5], flagReturned),
		Remaining:  time.Duration(remaining) * time.Microsecond,
		Useful:     time.Duration(useful) * time.Microsecond,
		RequestID:  f[8],
		Route:      f[9],
	}, nil
}
