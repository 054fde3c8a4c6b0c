package shedding

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Stated is what an answer carries about the route of its request.
type Stated struct {
	// Service is the service that has least room of those that a request of the
	// route needs, itself or by calls.
	Service string
	// Level is the part of the work on that service that is to be shed.
	Level float64
	// Cost is the time of that service that one request of the route takes.
	Cost time.Duration
}

// String returns the form of s in a header.
func (s Stated) String() string {
	return strconv.FormatFloat(s.Level, 'f', 3, 64) + " " + strconv.FormatInt(s.Cost.Microseconds(), 10) + " " + s.Service
}

// ParseStated reads what String wrote.
func ParseStated(text string) (Stated, error) {
	level, rest, _ := strings.Cut(text, " ")
	cost, service, ok := strings.Cut(rest, " ")
	l, err := strconv.ParseFloat(level, 64)
	if err != nil || !ok {
		return Stated{}, fmt.Errorf("the level %q is not understood", text)
	}
	us, err := strconv.ParseInt(cost, 10, 64)
	if err != nil {
		return Stated{}, fmt.Errorf("the cost in the level %q is not understood", text)
	}
	return Stated{Service: service, Level: l, Cost: time.Duration(us) * time.Microsecond}, nil
}
