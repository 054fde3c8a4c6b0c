package relay

import (
	"strconv"
	"strings"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// ForwardingMetadata is what the entry sends with a request to the target's
// daemon.
type ForwardingMetadata struct {
	// RequestID is the ID that the caller gave to this attempt.
	RequestID string
	// Service is the service that the request is for. Route is the ID of the
	// matched route.
	Service string
	Route   string
	// Team is the team on whose behalf the request runs, by the name that the target
	// sees. It is empty for a public route.
	Team string
	// Origin is the service of the instance where the request entered.
	Origin string
	// Rank is the priority of the request. 0 is the highest.
	Rank int
	// FromTarget is true for a request on a route that requires no API key. Such
	// a request is treated as one that a target sends.
	FromTarget bool
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// ClientRetry is true if the same request was rejected a short time ago.
	ClientRetry bool
	// Repeat is true if a target may have received the request before, or if it is a
	// call of a run that repeats another one.
	Repeat bool
	// LastResort is true if no other target takes the request, or it may be forwarded to
	// no further one.
	LastResort bool
	// Probe is true if the request is quarantined, and this is the one target that gets
	// it all the same.
	Probe bool
	// Remaining is the time until the final response is due.
	Remaining time.Duration
	// ObjectiveRemaining is the time until the latency objective ends. It is
	// the time until the final response is due if there is no objective or it
	// has already passed.
	ObjectiveRemaining time.Duration
	// Known is what the entry knows about the target. It has a header of its own,
	// which is sent only where the entry knows something.
	Known protocol.Statement
}

// metadataFields is the number of fields of the encoded form, which are separated
// by tabs. The flags are the letters in the sixth field.
const (
	metadataFields  = 10
	flagFromTarget  = "c"
	flagIdempotent  = "r"
	flagClientRetry = "b"
	flagRepeat      = "a"
	flagLastResort  = "l"
	flagProbe       = "p"
)

// Encode returns m as the value of a header. Durations are in microseconds.
func (m *ForwardingMetadata) Encode() string {
	flags := ""
	if m.FromTarget {
		flags += flagFromTarget
	}
	if m.Idempotent {
		flags += flagIdempotent
	}
	if m.ClientRetry {
		flags += flagClientRetry
	}
	if m.Repeat {
		flags += flagRepeat
	}
	if m.LastResort {
		flags += flagLastResort
	}
	if m.Probe {
		flags += flagProbe
	}
	return strings.Join([]string{
		"1", m.Service, m.Team, m.Origin, strconv.Itoa(m.Rank), flags,
		formatMicroseconds(m.Remaining), formatMicroseconds(m.ObjectiveRemaining), m.RequestID, m.Route,
	}, "\t")
}

func formatMicroseconds(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

// DecodeForwardingMetadata parses a value that Encode returned. Errors:
// BadRequest.
func DecodeForwardingMetadata(text string) (*ForwardingMetadata, error) {
	fields := strings.SplitN(text, "\t", metadataFields)
	if len(fields) != metadataFields || fields[0] != "1" {
		return nil, fault.New(fault.BadRequest, "malformed forwarding metadata %q", text)
	}
	rank, err := strconv.Atoi(fields[4])
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed rank %q in the forwarding metadata", fields[4])
	}
	remaining, err := strconv.ParseInt(fields[6], 10, 64)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed remaining time %q in the forwarding metadata", fields[6])
	}
	objectiveRemaining, err := strconv.ParseInt(fields[7], 10, 64)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "malformed objective time %q in the forwarding metadata", fields[7])
	}
	return &ForwardingMetadata{
		Service: fields[1], Team: fields[2], Origin: fields[3], Rank: rank,
		FromTarget:         strings.Contains(fields[5], flagFromTarget),
		Idempotent:         strings.Contains(fields[5], flagIdempotent),
		ClientRetry:        strings.Contains(fields[5], flagClientRetry),
		Repeat:             strings.Contains(fields[5], flagRepeat),
		LastResort:         strings.Contains(fields[5], flagLastResort),
		Probe:              strings.Contains(fields[5], flagProbe),
		Remaining:          time.Duration(remaining) * time.Microsecond,
		ObjectiveRemaining: time.Duration(objectiveRemaining) * time.Microsecond,
		RequestID:          fields[8],
		Route:              fields[9],
	}, nil
}
