package protocol

import (
	"net"
	"strconv"
	"strings"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Bounds of what a target may state about itself, in every interface and message.
const (
	// MaxSlots is the maximum number of slots of a target.
	MaxSlots = 100_000
	// MaxIncarnationBytes is the maximum length of an incarnation.
	MaxIncarnationBytes = 128
	// maxNameBytes is the maximum length of the names and addresses in records.
	maxNameBytes = 253
	// maxQuotedBytes limits what a refusal repeats.
	maxQuotedBytes = 64
)

// CheckSlots returns a BadRequest error if n cannot be the number of slots of a target.
func CheckSlots(n int) error {
	if n < 1 || n > MaxSlots {
		return fault.New(fault.BadRequest, "slots must be between 1 and %d", MaxSlots)
	}
	return nil
}

// CheckIncarnation returns a BadRequest error if s cannot be the incarnation of a target.
// Incarnations are sent in headers.
func CheckIncarnation(s string) error {
	if s == "" || len(s) > MaxIncarnationBytes || strings.ContainsFunc(s, isNotVisibleASCII) {
		return fault.New(fault.BadRequest, "the incarnation must have 1 to %d visible ASCII characters", MaxIncarnationBytes)
	}
	return nil
}

func isNotVisibleASCII(r rune) bool { return r <= ' ' || r > '~' }

// CheckState returns a BadRequest error if s is not a state of a target.
func CheckState(s TargetState) error {
	switch s {
	case Cold, Warm, Leaving:
		return nil
	}
	return fault.New(fault.BadRequest, "state %q is not one of cold, warm, leaving", fault.Excerpt(string(s), maxQuotedBytes))
}

// Check returns a BadRequest error if r names no target that a request can be sent to.
// The incarnation may be empty: earlier builds do not send it.
func (r TargetRecord) Check() error {
	if err := checkName("service", r.Service); err != nil {
		return err
	}
	if err := checkName("instance", r.Instance); err != nil {
		return err
	}
	if err := CheckAddress(r.PeerAddress); err != nil {
		return err
	}
	if r.Incarnation != "" {
		if err := CheckIncarnation(r.Incarnation); err != nil {
			return err
		}
	}
	if err := CheckSlots(r.Slots); err != nil {
		return err
	}
	return CheckState(r.State)
}

// checkName returns a BadRequest error if s cannot be one part of "service/instance".
func checkName(what, s string) error {
	if s == "" || len(s) > maxNameBytes || strings.Contains(s, "/") || strings.ContainsFunc(s, isNotVisibleASCII) {
		return fault.New(fault.BadRequest, "the name %q of the %s must have 1 to %d visible ASCII characters without a slash", fault.Excerpt(s, maxQuotedBytes), what, maxNameBytes)
	}
	return nil
}

// CheckAddress returns a BadRequest error if s is not a host and a port number.
func CheckAddress(s string) error {
	host, port, err := net.SplitHostPort(s)
	n, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || n == 0 || host == "" || len(s) > maxNameBytes || strings.ContainsFunc(s, isNotVisibleASCII) {
		return fault.New(fault.BadRequest, "the address %q is not a host and a port from 1 to 65535", fault.Excerpt(s, maxQuotedBytes))
	}
	return nil
}
