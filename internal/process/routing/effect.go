package routing

import "github.com/teaselrack/teaselrack/internal/fault"

// Effect is what the end of an attempt shows about its target.
type Effect uint8

// Effects. Neutral is no evidence about the target, for example because the caller
// canceled the request or the target shed it.
const (
	Neutral Effect = iota
	Succeeded
	Failed
	Leaving
	Cold
)

// EffectOf returns what an attempt that ended with err shows about its target. A deadline
// that passes while the target works is a failure: its callers get nothing.
func EffectOf(err error) Effect {
	if err == nil {
		return Succeeded
	}
	switch fault.KindOf(err) {
	case fault.ConnectFailed, fault.ConnectionLost, fault.AnswerBroken, fault.DeadlineUnknown, fault.Internal:
		return Failed
	case fault.TargetLeaving, fault.ShuttingDown, fault.Interrupted, fault.OutOfService, fault.NoTarget:
		return Leaving
	case fault.TargetCold:
		return Cold
	}
	return Neutral
}
