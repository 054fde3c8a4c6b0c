package replica

import (
	"context"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// outcome is how a call ended.
type outcome struct {
	result []byte
	err    error
}

// call runs f in the loop and waits until done was called, the context ends or
// the replica ends.
func (n *Node) call(ctx context.Context, f func(e *engine, done func([]byte, error))) ([]byte, error) {
	answer := make(chan outcome, 1)
	run := func(e *engine) {
		f(e, func(result []byte, err error) { answer <- outcome{result, err} })
	}
	select {
	case n.calls <- run:
	case <-ctx.Done():
		return nil, errNoAnswer(ctx)
	case <-n.stop:
		return nil, errEnded()
	}
	select {
	case o := <-answer:
		return o.result, o.err
	case <-ctx.Done():
		return nil, errNoAnswer(ctx)
	case <-n.stop:
		return nil, errEnded()
	}
}

func errNoAnswer(ctx context.Context) error {
	return fault.Wrap(fault.NoLeader, ctx.Err(), "the group did not answer in time")
}

// Propose implements Group.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return n.call(ctx, func(e *engine, done func([]byte, error)) {
		e.propose(command, done)
	})
}

// Confirm implements Group.
func (n *Node) Confirm(ctx context.Context) error {
	_, err := n.call(ctx, func(e *engine, done func([]byte, error)) {
		e.confirm(confirmation{
			gone: func() bool { return ctx.Err() != nil },
			done: func(err error) { done(nil, err) },
		})
	})
	return err
}

// Found implements Group.
func (n *Node) Found(ctx context.Context) error {
	_, err := n.call(ctx, func(e *engine, done func([]byte, error)) {
		err := e.core.found()
		n.after = append(n.after, func() { done(nil, err) })
	})
	return err
}

// Admit implements Group. Where another member had the address before, it is
// taken out once the new one is a voter. The call may be repeated.
func (n *Node) Admit(ctx context.Context, address string) error {
	return n.change(ctx, change{address: address})
}

// Remove implements Group. It refuses with MembershipBusy where the members
// that remain would have no quorum now.
func (n *Node) Remove(ctx context.Context, id string) error {
	return n.change(ctx, change{id: id, remove: true})
}

func (n *Node) change(ctx context.Context, ch change) error {
	answer := make(chan error, 1)
	_, err := n.call(ctx, func(e *engine, done func([]byte, error)) {
		e.change(ch, func(err error) {
			answer <- err
			done(nil, err)
		})
	})
	if ctx.Err() != nil && len(answer) == 0 {
		n.cancelChange(ch)
	}
	return err
}

// cancelChange frees the place of a change whose caller has gone.
func (n *Node) cancelChange(ch change) {
	cancel := func(e *engine) {
		running := e.core.change
		if running != nil && running.address == ch.address && running.remove == ch.remove {
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
