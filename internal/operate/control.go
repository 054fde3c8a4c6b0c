// Package operate holds what the operators' command does: it writes mesh files
// and keys, and reads and changes the control replicas.
package operate

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// attemptTimeout bounds one call to one replica, so that a silent replica
	// costs little of the command's time.
	attemptTimeout = 3 * time.Second
	// membershipTimeout bounds one change of members, catching up included.
	membershipTimeout = 30 * time.Second
	// roundPause is the wait after no replica has taken a call.
	roundPause = 200 * time.Millisecond
)

// Caller sends one call to the process at address. *rpc.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, params, reply any) error
}

// Control reaches the control replicas on behalf of an operator.
type Control struct {
	replicas []string
	caller   Caller
}

// NewControl returns a Control for the replicas at the given control
// addresses.
func NewControl(replicas []string, caller Caller) *Control {
	return &Control{replicas: replicas, caller: caller}
}

// ask sends a call to one replica after the other until one takes or refuses
// it, or ctx ends. The call must be safe to repeat. lost reports whether an
// attempt before the last ended with an unknown outcome.
func (c *Control) ask(ctx context.Context, method string, params, reply any) (lost bool, err error) {
	return c.askWithin(ctx, attemptTimeout, method, params, reply)
}

// askWithin is ask with the given bound of one attempt.
func (c *Control) askWithin(ctx context.Context, limit time.Duration, method string, params, reply any) (lost bool, err error) {
	if len(c.replicas) == 0 {
		return false, fault.New(fault.BadRequest, "no control replica is named")
	}
	for {
		unfounded := 0
		for _, address := range c.replicas {
			err = c.callOne(ctx, limit, address, method, params, reply)
			if !passesOn(err) {
				return lost, err
			}
			if fault.OutcomeOf(err) != fault.NotRun {
				lost = true
			}
			if fault.Is(err, fault.NotFounded) {
				unfounded++
			}
		}
		if unfounded == len(c.replicas) || !pause(ctx, roundPause) {
			return lost, err
		}
	}
}

func (c *Control) callOne(ctx context.Context, limit time.Duration, address, method string, params, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.caller.Call(ctx, address, method, params, reply)
}

// passesOn reports whether another replica, or the same one later, may take a
// call that ended with err.
func passesOn(err error) bool {
	switch fault.KindOf(err) {
	case fault.ConnectFailed, fault.ConnectionLost, fault.NoLeader, fault.NotLeader,
		fault.NotFounded, fault.MembershipBusy, fault.ShuttingDown:
		return true
	default:
		return false
	}
}

// pause waits for d; it returns false where ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
