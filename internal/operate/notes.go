package operate

import (
	"context"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// waitInterval is the interval at which the status is polled until a note is in
// effect everywhere.
const waitInterval = 200 * time.Millisecond

// Plan returns the changes that the note would make, without applying it.
func (c *ControlClient) Plan(ctx context.Context, note []byte) (protocol.PlanReply, error) {
	var reply protocol.PlanReply
	_, err := c.callAny(ctx, protocol.MethodPlan, protocol.ApplyRequest{Note: note}, &reply)
	return reply, err
}

// Apply sends the note until a replica accepts or rejects it. A repeated note with
// equal content is accepted again, so sending it again after a lost reply is safe.
// If a reply was lost and the number of the note is no longer the next one, the
// NoteGap error says that the note may have been accepted.
func (c *ControlClient) Apply(ctx context.Context, note []byte) (protocol.ApplyReply, error) {
	var reply protocol.ApplyReply
	unknownOutcome, err := c.callAny(ctx, protocol.MethodApply, protocol.ApplyRequest{Note: note}, &reply)
	if unknownOutcome && fault.Is(err, fault.NoteGap) {
		return reply, fault.New(fault.NoteGap, "%s; an earlier reply was lost, so this note may have been accepted before the one in force: compare it with teaselrack export", fault.Message(err))
	}
	return reply, err
}

// WaitInEffect returns when the note with this number, or a later one, is in effect
// at every daemon. It returns at once an error that a retry cannot resolve. If ctx
// ends first, it returns the error of the last call, or NoLeader if that call
// succeeded.
func (c *ControlClient) WaitInEffect(ctx context.Context, number uint64) error {
	for {
		var status protocol.StatusReply
		_, err := c.callAny(ctx, protocol.MethodStatus, protocol.Empty{}, &status)
		if err == nil && status.Confirmed && status.InEffect && status.Version >= number {
			return nil
		}
		if err != nil && !retryable(err) {
			return err
		}
		if sleep(ctx, waitInterval) {
			continue
		}
		if err != nil {
			return err
		}
		return fault.New(fault.NoLeader, "note %d is accepted, but not known to be in force everywhere: a quorum confirmed version %d", number, status.Version)
	}
}

// Export returns the state in effect as a release note.
func (c *ControlClient) Export(ctx context.Context) (protocol.ExportReply, error) {
	var reply protocol.ExportReply
	_, err := c.callAny(ctx, protocol.MethodExport, protocol.Empty{}, &reply)
	return reply, err
}
