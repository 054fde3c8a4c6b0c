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

// Overview is the state of the whole system, put together from what each
// control replica says.
type Overview struct {
	// Version is the highest version that a quorum confirmed, or else the
	// highest that a replica holds.
	Version   uint64 `json:"version"`
	Digest    string `json:"digest"`
	Confirmed bool   `json:"confirmed"`
	InForce   bool   `json:"in_force"`
	// Replicas holds one entry for each address asked, in that order.
	Replicas []ReplicaView `json:"replicas"`
	// Daemons holds the freshest record of each daemon, by instance name.
	Daemons []protocol.DaemonStatus `json:"daemons"`
}

// ReplicaView is what one replica said of itself.
type ReplicaView struct {
	Address string `json:"address"`
	// Error is the kind of the failure where the replica did not answer.
	Error  fault.Kind               `json:"error,omitempty"`
	Groups []protocol.ReplicaStatus `json:"groups,omitempty"`
}

// Status asks every replica. It fails only where none answers.
func (c *Control) Status(ctx context.Context) (Overview, error) {
	replies := make([]protocol.StatusReply, len(c.replicas))
	errs := make([]error, len(c.replicas))
	var group sync.WaitGroup
	for i, address := range c.replicas {
		group.Go(func() {
			errs[i] = c.callOne(ctx, attemptTimeout, address, protocol.MethodStatus, protocol.Empty{}, &replies[i])
		})
	}
	group.Wait()
	var overview Overview
	daemons := make(map[string]protocol.DaemonStatus)
	answered := false
	for i, address := range c.replicas {
		overview.Replicas = append(overview.Replicas, viewOf(address, replies[i], errs[i]))
		if errs[i] != nil {
			continue
		}
		answered = true
		overview.take(replies[i])
		takeDaemons(daemons, replies[i].Daemons)
	}
	overview.Daemons = slices.SortedFunc(maps.Values(daemons), func(a, b protocol.DaemonStatus) int {
		return cmp.Compare(a.Instance, b.Instance)
	})
	if !answered {
		return overview, fault.Wrap(fault.ConnectFailed, cmp.Or(errs...), "no control replica answered")
	}
	return overview, nil
}

func viewOf(address string, reply protocol.StatusReply, err error) ReplicaView {
	return ReplicaView{Address: address, Error: fault.KindOf(err), Groups: reply.Replicas}
}

// take prefers a confirmed answer to one that is not, and then the higher
// version.
func (o *Overview) take(reply protocol.StatusReply) {
	better := reply.Confirmed && !o.Confirmed
	same := reply.Confirmed == o.Confirmed
	if better || (same && (reply.Version > o.Version || o.Digest == "")) {
		o.Version = reply.Version
		o.Digest = reply.Digest
		o.Confirmed = reply.Confirmed
		o.InForce = reply.InForce
	}
}

func takeDaemons(all map[string]protocol.DaemonStatus, some []protocol.DaemonStatus) {
	for _, daemon := range some {
		have, known := all[daemon.Instance]
		if !known || daemon.RenewedAgo < have.RenewedAgo {
			all[daemon.Instance] = daemon
		}
	}
}
