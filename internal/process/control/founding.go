package control

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// foundTicketAge is the time for which a ticket is valid. Operators wait longer for the
// response to the request that names it.
const foundTicketAge = time.Second

// foundTicket is the last ticket that this replica issued to an operator who is about to found
// the groups. A replica that belongs to no group has no state that a request could build on, so
// the ticket tells how old the request is: it was sent after the ticket was issued.
type foundTicket struct {
	mu     sync.Mutex
	text   string
	issued time.Time
}

func (t *foundTicket) issue(now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text, t.issued = rand.Text(), now
	return t.text
}

// use reports whether text is the last ticket, is valid and has not been used.
func (t *foundTicket) use(text string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	valid := text != "" && text == t.text && now.Sub(t.issued) <= foundTicketAge
	if valid {
		t.text = ""
	}
	return valid
}

// Ticket issues the ticket that a request to found the groups has to name.
func (s *Service) Ticket(context.Context, mesh.Peer, protocol.Empty) (protocol.TicketReply, error) {
	return protocol.TicketReply{Ticket: s.ticket.issue(s.options.Clock())}, nil
}

// Found founds every group with this replica as the only member. A request that is read late,
// after its sender had the groups founded elsewhere, would found a second system, so it has to
// name a ticket that this replica has just issued. Errors: OrderOutdated, AlreadyFounded.
func (s *Service) Found(ctx context.Context, peer mesh.Peer, req protocol.FoundRequest) (protocol.FoundReply, error) {
	if !s.ticket.use(req.Ticket, s.options.Clock()) {
		return protocol.FoundReply{}, fault.New(fault.OrderOutdated, "the request does not name a ticket that this replica issued in the last %s", foundTicketAge)
	}
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	for _, group := range s.groups() {
		if err := group.Found(ctx); err != nil {
			return protocol.FoundReply{}, err
		}
	}
	s.record("group.founded", "by %s", peer.Name)
	return protocol.FoundReply{ID: s.options.Group.Status().ID}, nil
}
