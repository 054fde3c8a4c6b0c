package routing

import "github.com/teaselrack/teaselrack/internal/fault"

// effect is what the end of an attempt shows about its target.
type effect uint8

const (
	// neutral is no evidence about the target, for example because the caller
	// canceled the request or the target shed it.
	neutral effect = iota
	succeeded
	failed
	leaving
	cold
)

// effectOf returns what an attempt that ended with err shows about its target.
func effectOf(err error) effect {
	if err == nil {
		return succeeded
	}
	switch fault.KindOf(err) {
	case fault.ConnectFailed, fault.ConnectionLost, fault.AnswerBroken, fault.DeadlineUnknown, fault.Internal:
		return failed
	case fault.TargetLeaving, fault.ShuttingDown, fault.OutOfService, fault.NoTarget:
		return leaving
	case fault.TargetCold:
		return cold
	}
	return neutral
}
