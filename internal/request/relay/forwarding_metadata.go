package relay

import (
	"fmt"
	"net/url"
	"slices"
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
// by tabs. The flags are the letters in the sixth field. metadataID and metadataRoute are
// the positions of the last two fields.
const (
	metadataFields  = 10
	metadataID      = 8
	metadataRoute   = 9
	flagFromTarget  = "c"
	flagIdempotent  = "r"
	flagClientRetry = "b"
	flagRepeat      = "a"
	flagLastResort  = "l"
	flagProbe       = "p"
	// flagEscaped says that the text fields are escaped. Without it they are not: most have
	// nothing to escape, and earlier builds know no escapes.
	flagEscaped = "e"
)

// Encode returns m as the value of a header. Durations are in microseconds. It escapes text
// fields that could not be told apart, or could not stand in a header.
func (m *ForwardingMetadata) Encode() string {
	text := []string{m.Service, m.Team, m.Origin, m.RequestID, m.Route}
	flags := ""
	if slices.ContainsFunc(text, needsEscape) {
		flags = flagEscaped
		for i := range text {
			text[i] = escape(text[i])
		}
	}
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
		"1", text[0], text[1], text[2], strconv.Itoa(m.Rank), flags,
		formatMicroseconds(m.Remaining), formatMicroseconds(m.ObjectiveRemaining), text[3], text[4],
	}, "\t")
}

func formatMicroseconds(d time.Duration) string { return strconv.FormatInt(d.Microseconds(), 10) }

// DecodeForwardingMetadata parses a value that Encode returned. Errors:
// BadRequest.
func DecodeForwardingMetadata(text string) (*ForwardingMetadata, error) {
	fields := strings.Split(text, "\t")
	if len(fields) < metadataFields || fields[0] != "1" {
		return nil, fault.New(fault.BadRequest, "malformed forwarding metadata %.200q", text)
	}
	if last := len(fields) - 1; last > metadataRoute {
		// An earlier build does not escape the tabs of a request ID.
		fields[metadataID] = strings.Join(fields[metadataID:last], "\t")
		fields[metadataRoute] = fields[last]
	}
	if strings.Contains(fields[5], flagEscaped) {
		for _, i := range []int{1, 2, 3, metadataID, metadataRoute} {
			unescaped, err := url.PathUnescape(fields[i])
			if err != nil {
				return nil, fault.Wrap(fault.BadRequest, err, "malformed field %.200q in the forwarding metadata", fields[i])
			}
			fields[i] = unescaped
		}
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
		RequestID:          fields[metadataID],
		Route:              fields[metadataRoute],
	}, nil
}

// escapedBytes are the bytes that escape replaces, besides control characters: the header
// of the metadata would lose a space at its end.
const escapedBytes = " %\x7f"

// needsEscape reports whether a field cannot stand in a header beside others, separated by tabs.
func needsEscape(field string) bool {
	return strings.HasSuffix(field, " ") || strings.ContainsFunc(field, func(r rune) bool { return r < ' ' || r == 0x7f })
}

// escape replaces bytes by a percent sign and two hexadecimal digits.
func escape(field string) string {
	var b strings.Builder
	for i := range len(field) {
		if c := field[i]; c < ' ' || strings.IndexByte(escapedBytes, c) >= 0 {
			_, _ = fmt.Fprintf(&b, "%%%02X", c)
		} else {
			_ = b.WriteByte(c)
		}
	}
	return b.String()
}
