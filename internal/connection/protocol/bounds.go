package protocol

import (
	"strings"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Bounds of what a target may state about itself, in every interface and message.
const (
	// MaxSlots is the maximum number of slots of a target.
	MaxSlots = 100_000
	// MaxIncarnationBytes is the maximum length of an incarnation.
	MaxIncarnationBytes = 128
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
