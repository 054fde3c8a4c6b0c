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

// tokens lets the leader of the configuration group issue quota tokens.
//
// Invariant: a grant follows a quorum confirmation that began after the ask
// was received. A new leader is elected only after such a confirmation, and
// waits out one token life, so tokens of two leaders never add up.
type tokens struct {
	group  replica.Group
	issuer *quota.Issuer
	state  func() *version.State
	clock  func() time.Time

	mu   sync.Mutex
	term uint64
}

func newTokens(o Options) *tokens {
	return &tokens{group: o.Group, issuer: o.Issuer, state: o.Machine.State, clock: o.Clock}
}

// grant answers asks of one holder. It returns no grants where this replica
// does not lead or cannot confirm it; the holder then asks again.
func (t *tokens) grant(ctx context.Context, holder string, asks []protocol.QuotaAsk) []protocol.QuotaGrant {
	if t.group.Confirm(ctx) != nil || !t.lead() {
		return nil
	}
	state := t.state()
	now := t.clock()
	grants := make([]protocol.QuotaGrant, 0, len(asks))
	for _, ask := range asks {
		team, ok := state.Team(ask.Team)
		if !ok {
			continue
		}
		grants = append(grants, t.issuer.Grant(now, holder, ask, team))
	}
	return grants
}

// lead reports whether this replica leads, and starts the issuer anew at the
// beginning of each term.
func (t *tokens) lead() bool {
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
