package routing

import "github.com/teaselrack/teaselrack/internal/fault"

// effect is what the end of an attempt says about its target.
type effect uint8

const (
	// neutral says nothing: the caller left, or the target shed.
	neutral effect = iota
	succeeded
	failed
	leaving
	cold
)

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
