package operate

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// waitInterval is the time between two looks at the status while waiting for a
// note to be in force everywhere.
const waitInterval = 200 * time.Millisecond

// Plan returns the changes that the note would make, and makes none.
func (c *Control) Plan(ctx context.Context, note []byte) (protocol.PlanReply, error) {
	var reply protocol.PlanReply
	_, err := c.ask(ctx, protocol.MethodPlan, protocol.ApplyRequest{Note: note}, &reply)
	return reply, err
}

// Apply sends the note until a replica answers. A repeated note with equal
// content is accepted again, so a lost answer is no harm. Where an answer was
// lost and the number is now passed, the error says that the note may be one
// of those accepted.
func (c *Control) Apply(ctx context.Context, note []byte) (protocol.ApplyReply, error) {
	var reply protocol.ApplyReply
	lost, err := c.ask(ctx, protocol.MethodApply, protocol.ApplyRequest{Note: note}, &reply)
	if lost && fault.Is(err, fault.NoteGap) {
		return reply, fault.New(fault.NoteGap, "%s; an earlier answer was lost, so this note may have been accepted before the one in force: compare with export", fault.Message(err))
	}
	return reply, err
}

// WaitInForce returns when the note with this number, or a later one, is in
// force at every daemon. It fails with the last error, or with NoLeader, where
// ctx ends first.
func (c *Control) WaitInForce(ctx context.Context, number uint64) error {
	for {
		var status protocol.StatusReply
		_, err := c.ask(ctx, protocol.MethodStatus, protocol.Empty{}, &status)
		if err == nil && status.Confirmed && status.InForce && status.Version >= number {
			return nil
		}
		if err != nil && !passesOn(err) {
			return err
		}
		if pause(ctx, waitInterval) {
			continue
		}
		if err != nil {
			return err
		}
		return fault.New(fault.NoLeader, "note %d is accepted, but not known to be in force everywhere: a quorum confirmed version %d", number, status.Version)
	}
}

// Export returns the state in force as a release note.
func (c *Control) Export(ctx context.Context) (protocol.ExportReply, error) {
	var reply protocol.ExportReply
	_, err := c.ask(ctx, protocol.MethodExport, protocol.Empty{}, &reply)
	return reply, err
}
