package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/process/local"
)

const (
	// departureRetryDelay is the time between two attempts to record a departure.
	departureRetryDelay = 100 * time.Millisecond
	// maxDepartureWait is how long the sender of a departure waits until it is recorded.
	// Senders wait for a second.
	maxDepartureWait = 800 * time.Millisecond
)

// AwaitDeparture returns nil once a departure that was passed to Heartbeat binds: no
// process sends the target new requests, whichever of them restart. It waits for at most
// maxDepartureWait. Errors: NoLeader if the departure is not known to be recorded.
func (n *Node) AwaitDeparture(ctx context.Context, h local.Heartbeat) error {
	ctx, cancel := context.WithTimeout(ctx, maxDepartureWait)
	defer cancel()
	n.wakeRecording()
	return n.target.AwaitRecorded(ctx, h)
}

// targetChanged reports what the local target has announced.
func (n *Node) targetChanged() {
	n.renewNow()
	n.wakeRecording()
}

// wakeRecording makes recordDepartures look for departures.
func (n *Node) wakeRecording() {
	select {
	case n.departures <- struct{}{}:
	default:
	}
}

// recordDepartures makes the replicas record each departure of a local target, until ctx
// ends. It returns nil.
func (n *Node) recordDepartures(ctx context.Context) error {
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.departures:
		case <-retry:
		}
		retry = nil
		incarnations := n.target.UnrecordedDepartures()
		if len(incarnations) == 0 {
			continue
		}
		if err := n.renewal.Depart(ctx, incarnations); err != nil {
			n.log.Debug("departure is not recorded yet", zap.Strings("incarnations", incarnations), zap.Error(err))
			retry = time.After(departureRetryDelay)
			continue
		}
		n.target.DeparturesRecorded(incarnations)
	}
}
