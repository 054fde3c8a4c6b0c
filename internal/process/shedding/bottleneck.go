package shedding

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Bottleneck describes the most loaded service that a route depends on. Responses
// carry it for the route of their request.
type Bottleneck struct {
	// Service is the service with the least spare capacity among those that a
	// request of the route needs, directly or through calls.
	Service string
	// Level is the fraction of the work on Service that is to be shed.
	Level float64
	// Cost is the processing time at Service that one request of the route
	// takes.
	Cost time.Duration
	// EndsIn is the time after which Level no longer applies, because its cause is a cold
	// target that will be warm then. It is 0 if the end is unknown. String leaves it out.
	EndsIn time.Duration
}

// String returns the header value of b: level, cost in microseconds and
// service, separated by spaces.
func (b Bottleneck) String() string {
	return strconv.FormatFloat(b.Level, 'f', 3, 64) + " " + strconv.FormatInt(b.Cost.Microseconds(), 10) + " " + b.Service
}

// ParseBottleneck parses a header value written by String. It returns an error
// if the value is malformed.
func ParseBottleneck(text string) (Bottleneck, error) {
	level, rest, _ := strings.Cut(text, " ")
	cost, service, ok := strings.Cut(rest, " ")
	l, err := strconv.ParseFloat(level, 64)
	if err != nil || !ok {
		return Bottleneck{}, fmt.Errorf("malformed shedding level %q: expected level, cost and service", text)
	}
	us, err := strconv.ParseInt(cost, 10, 64)
	if err != nil {
		return Bottleneck{}, fmt.Errorf("malformed cost in shedding level %q", text)
	}
	return Bottleneck{Service: service, Level: l, Cost: time.Duration(us) * time.Microsecond}, nil
}
