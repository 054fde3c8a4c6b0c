package protocol

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Statement is what a target says about itself in its responses.
type Statement struct {
	// Incarnation is that of the target; see Announcement. It is empty if the target
	// says nothing.
	Incarnation string
	// Limited is true if the target states a limit. Limit is then the number of
	// requests per second that it takes from all instances together.
	Limited bool
	Limit   float64
	// Leaving is true if the target is to get no new requests.
	Leaving bool
}

// limitHold is how long a stated limit stays in effect after the last response that
// stated it, while responses without it arrive: responses may overtake each other.
const limitHold = time.Second

// LatestStatement is what a target says about itself according to all of its responses
// so far.
type LatestStatement struct {
	Statement
	limitedAt time.Time
}

// Observe updates l with the statement of a response.
func (l *LatestStatement) Observe(now time.Time, s Statement) {
	switch {
	case s.Limited:
		l.limitedAt = now
	case now.Sub(l.limitedAt) < limitHold:
		s.Limited, s.Limit, s.Incarnation = l.Limited, l.Limit, l.Incarnation
	}
	l.Statement = s
}

// Empty reports whether the target says nothing.
func (s Statement) Empty() bool { return !s.Limited && !s.Leaving }

const (
	statementLeaving = "leaving"
	statementNone    = "-"
)

// String returns s as the value of a header: limit, leaving and incarnation,
// separated by spaces.
func (s Statement) String() string {
	limit, leaving := statementNone, statementNone
	if s.Limited {
		limit = strconv.FormatFloat(s.Limit, 'g', -1, 64)
	}
	if s.Leaving {
		leaving = statementLeaving
	}
	return limit + " " + leaving + " " + s.Incarnation
}

// ParseStatement parses a value that String returned. It returns an error if the
// value is malformed.
func ParseStatement(text string) (Statement, error) {
	fields := strings.SplitN(text, " ", 3)
	if len(fields) != 3 {
		return Statement{}, fmt.Errorf("malformed statement %q: expected limit, leaving and incarnation", text)
	}
	s := Statement{Incarnation: fields[2], Leaving: fields[1] == statementLeaving}
	if fields[0] == statementNone {
		return s, nil
	}
	limit, err := ParseLimit(fields[0])
	if err != nil {
		return Statement{}, err
	}
	s.Limited, s.Limit = true, limit
	return s, nil
}

// ParseLimit parses a limit in requests per second. It returns an error if the text is
// not a decimal number that is 0 or more.
func ParseLimit(text string) (float64, error) {
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || !(limit >= 0) || limit > maxLimit {
		return 0, fmt.Errorf("the limit %q is not a number of requests per second", text)
	}
	return limit, nil
}

// maxLimit is the highest limit, in requests per second. Higher numbers and infinity
// are malformed.
const maxLimit = 1e9
