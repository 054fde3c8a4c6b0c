// Package operate implements the operators' command: it creates mesh certificates
// and keys, queries the control replicas and changes their configuration and
// members.
package operate

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// attemptTimeout bounds one call to one replica, so that a replica that does
	// not reply takes little of the command's timeout.
	attemptTimeout = 3 * time.Second
	// membershipTimeout bounds one membership change, including the time in which
	// a new replica catches up.
	membershipTimeout = 30 * time.Second
	// retryInterval is the wait after every replica has failed a call.
	retryInterval = 200 * time.Millisecond
)

// Caller sends one call to the process at address. *rpc.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, params, reply any) error
}

// ControlClient calls the control replicas on behalf of an operator.
type ControlClient struct {
	replicas []string
	caller   Caller
}

// NewControlClient returns a ControlClient for the replicas at the given control
// addresses.
func NewControlClient(replicas []string, caller Caller) *ControlClient {
	return &ControlClient{replicas: replicas, caller: caller}
}

// callAny sends a call to one replica after the other until one accepts or rejects
// it, all of them return NotFounded, or ctx ends. The call must be safe to repeat.
// unknownOutcome is true if a replica may have executed the call in an attempt that
// failed.
func (c *ControlClient) callAny(ctx context.Context, method string, params, reply any) (unknownOutcome bool, err error) {
	return c.callAnyWithin(ctx, attemptTimeout, method, params, reply)
}

// callAnyWithin is callAny with the given timeout for one attempt.
func (c *ControlClient) callAnyWithin(ctx context.Context, timeout time.Duration, method string, params, reply any) (unknownOutcome bool, err error) {
	if len(c.replicas) == 0 {
		return false, fault.New(fault.BadRequest, "no control replica is given")
	}
	for {
		notFounded := 0
		for _, address := range c.replicas {
			err = c.callOne(ctx, timeout, address, method, params, reply)
			if !retryable(err) {
				return unknownOutcome, err
			}
			if fault.OutcomeOf(err) != fault.NotRun {
				unknownOutcome = true
			}
			if fault.Is(err, fault.NotFounded) {
				notFounded++
			}
		}
		if notFounded == len(c.replicas) || !sleep(ctx, retryInterval) {
			return unknownOutcome, err
		}
	}
}

func (c *ControlClient) callOne(ctx context.Context, timeout time.Duration, address, method string, params, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.caller.Call(ctx, address, method, params, reply)
}

// retryable reports whether another replica, or the same one later, may accept a
// call that failed with err.
func retryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.ConnectFailed, fault.ConnectionLost, fault.NoLeader, fault.NotLeader,
		fault.NotFounded, fault.MembershipBusy, fault.ShuttingDown:
		return true
	default:
		return false
	}
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
