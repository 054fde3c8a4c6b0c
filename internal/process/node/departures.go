package node

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// departureRetryDelay is the time between two attempts to record a departure.
const departureRetryDelay = 100 * time.Millisecond

// targetChanged reports what the local target has announced.
func (n *Node) targetChanged() {
	n.renewNow()
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
