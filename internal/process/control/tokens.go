package control

import (
	"context"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/replica"
	"github.com/teaselrack/teaselrack/internal/version"
)

// tokenIssuer issues quota tokens while this replica leads the configuration
// group.
//
// Invariant: each grant follows a quorum confirmation that began after the token
// request was received. A new leader can be elected only after that confirmation,
// and it waits one token TTL before it grants. The TTL of a token counts from the
// sending of its request. So tokens of two leaders are never valid at the same
// time.
type tokenIssuer struct {
	group replica.Group
	// barriers confirm the leadership.
	barriers *barrierBatcher
	issuer   *quota.Issuer
	state    func() *version.State
	clock    func() time.Time

	mu   sync.Mutex
	term uint64
}

func newTokenIssuer(o Options) *tokenIssuer {
	return &tokenIssuer{group: o.Group, barriers: newBarrierBatcher(o.Group, grantBarrierInterval), issuer: o.Issuer, state: o.Machine.State, clock: o.Clock}
}

// grant handles the token requests of one holder. It skips unknown teams. It
// returns no grants if this replica does not lead or cannot confirm that it does;
// the holder then requests again.
func (t *tokenIssuer) grant(ctx context.Context, holder string, requests []protocol.QuotaRequest) []protocol.QuotaGrant {
	if t.barriers.Wait(ctx) != nil || !t.checkLeadership() {
		return nil
	}
	state := t.state()
	now := t.clock()
	grants := make([]protocol.QuotaGrant, 0, len(requests))
	for _, request := range requests {
		team, ok := state.Team(request.Team)
		if !ok {
			continue
		}
		grants = append(grants, t.issuer.Grant(now, holder, request, team))
	}
	return grants
}

// checkLeadership reports whether this replica leads. In each new term it resets
// the issuer first.
func (t *tokenIssuer) checkLeadership() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	status := t.group.Status()
	if status.Role != protocol.RoleLeader {
		return false
	}
	if status.Term != t.term {
		t.term = status.Term
		t.issuer.Reset(t.clock())
	}
	return true
}
