package operate

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Overview is the state of the whole system, merged from the status of each
// control replica.
type Overview struct {
	// Version is the highest version that a quorum confirmed, or the highest
	// version of any replica if none is confirmed.
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Confirmed is true if a quorum confirmed Version.
	Confirmed bool `json:"confirmed"`
	// InEffect is true if Version is in effect at every daemon.
	InEffect bool `json:"in_force"`
	// Replicas holds one entry for each address of the client, in the same order.
	Replicas []ReplicaView `json:"replicas"`
	// Daemons holds the most recent record of each daemon, sorted by instance
	// name.
	Daemons []protocol.DaemonStatus `json:"daemons"`
}

// ReplicaView is the status of one replica, as the replica reported it.
type ReplicaView struct {
	Address string `json:"address"`
	// Error is the kind of the error if the call to the replica failed.
	Error  fault.Kind               `json:"error,omitempty"`
	Groups []protocol.ReplicaStatus `json:"groups,omitempty"`
}

// Status queries every replica. It fails with ConnectFailed, only if no replica
// replies.
func (c *ControlClient) Status(ctx context.Context) (Overview, error) {
	replies := make([]protocol.StatusReply, len(c.replicas))
	errs := make([]error, len(c.replicas))
	var wg sync.WaitGroup
	for i, address := range c.replicas {
		wg.Go(func() {
			errs[i] = c.callOne(ctx, attemptTimeout, address, protocol.MethodStatus, protocol.Empty{}, &replies[i])
		})
	}
	wg.Wait()
	var overview Overview
	daemons := make(map[string]protocol.DaemonStatus)
	replied := false
	for i, address := range c.replicas {
		overview.Replicas = append(overview.Replicas, viewOf(address, replies[i], errs[i]))
		if errs[i] != nil {
			continue
		}
		replied = true
		overview.merge(replies[i])
		mergeDaemons(daemons, replies[i].Daemons)
	}
	overview.Daemons = slices.SortedFunc(maps.Values(daemons), func(a, b protocol.DaemonStatus) int {
		return cmp.Compare(a.Instance, b.Instance)
	})
	if !replied {
		return overview, fault.Wrap(fault.ConnectFailed, cmp.Or(errs...), "no control replica replied")
	}
	return overview, nil
}

func viewOf(address string, reply protocol.StatusReply, err error) ReplicaView {
	return ReplicaView{Address: address, Error: fault.KindOf(err), Groups: reply.Replicas}
}

// merge replaces the version of o and its digest and flags with those of reply, if
// reply is preferred. A confirmed version is preferred to an unconfirmed one, and a
// higher one to a lower one if both or neither are confirmed.
func (o *Overview) merge(reply protocol.StatusReply) {
	better := reply.Confirmed && !o.Confirmed
	same := reply.Confirmed == o.Confirmed
	if better || (same && (reply.Version > o.Version || o.Digest == "")) {
		o.Version = reply.Version
		o.Digest = reply.Digest
		o.Confirmed = reply.Confirmed
		o.InEffect = reply.InEffect
	}
}

func mergeDaemons(all map[string]protocol.DaemonStatus, reported []protocol.DaemonStatus) {
	for _, daemon := range reported {
		have, known := all[daemon.Instance]
		if !known || daemon.RenewedAgo < have.RenewedAgo {
			all[daemon.Instance] = daemon
		}
	}
}
