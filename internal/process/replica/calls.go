package replica

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// callResult is the result of a call.
type callResult struct {
	result []byte
	err    error
}

// call runs f in the event loop of the replica and waits until done is called,
// ctx ends or the replica stops. In the last two cases it fails with NoLeader.
func (n *Node) call(ctx context.Context, f func(e *engine, done func([]byte, error))) ([]byte, error) {
	results := make(chan callResult, 1)
	run := func(e *engine) {
		f(e, func(result []byte, err error) { results <- callResult{result, err} })
	}
	select {
	case n.calls <- run:
	case <-ctx.Done():
		return nil, errContextDone(ctx)
	case <-n.stop:
		return nil, errStopped()
	}
	select {
	case r := <-results:
		return r.result, r.err
	case <-ctx.Done():
		return nil, errContextDone(ctx)
	case <-n.stop:
		return nil, errStopped()
	}
}

func errContextDone(ctx context.Context) error {
	return fault.Wrap(fault.NoLeader, ctx.Err(), "the call was canceled or timed out before the replica group completed it")
}

// Propose implements Group.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return n.call(ctx, func(e *engine, done func([]byte, error)) {
		e.propose(command, done)
	})
}

// ReadBarrier implements Group.
func (n *Node) ReadBarrier(ctx context.Context) error {
	_, err := n.call(ctx, func(e *engine, done func([]byte, error)) {
		e.readBarrier(pendingBarrier{
			canceled: func() bool { return ctx.Err() != nil },
			done:     func(err error) { done(nil, err) },
		})
	})
	return err
}

// Found implements Group.
func (n *Node) Found(ctx context.Context) error {
	_, err := n.call(ctx, func(e *engine, done func([]byte, error)) {
		err := e.core.foundGroup()
		n.afterFlush = append(n.afterFlush, func() { done(nil, err) })
	})
	return err
}

// Admit implements Group. If another member had the address before, that member
// is removed once the new one is a voter. Admit is idempotent.
func (n *Node) Admit(ctx context.Context, address string, asOf uint64) error {
	return n.changeMembership(ctx, membershipChange{address: address, asOf: asOf})
}

// Remove implements Group. It fails with MembershipBusy if the remaining
// members would have no live quorum.
func (n *Node) Remove(ctx context.Context, id string, asOf uint64) error {
	return n.changeMembership(ctx, membershipChange{id: id, remove: true, asOf: asOf})
}

func (n *Node) changeMembership(ctx context.Context, change membershipChange) error {
	result := make(chan error, 1)
	_, err := n.call(ctx, func(e *engine, done func([]byte, error)) {
		e.changeMembership(change, func(err error) {
			result <- err
			done(nil, err)
		})
	})
	if ctx.Err() != nil && len(result) == 0 {
		n.cancelChange(change)
	}
	return err
}

// cancelChange cancels a membership change whose caller has stopped waiting, so
// that another one can start.
func (n *Node) cancelChange(change membershipChange) {
	cancel := func(e *engine) {
		current := e.core.change
		if current != nil && current.address == change.address && current.remove == change.remove {
			e.cancelChange()
		}
	}
	select {
	case n.calls <- cancel:
	case <-n.stop:
	}
}

// Leader implements Group.
func (n *Node) Leader() (address string, self bool) {
	view := n.leader.Load()
	return view.address, view.self
}

// Status implements Group.
func (n *Node) Status() protocol.ReplicaStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.engine.status()
}
