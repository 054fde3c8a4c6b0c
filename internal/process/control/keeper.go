package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/repair"
	"github.com/teaselrack/teaselrack/internal/process/replica"
)

const (
	// keepInterval is the time between two looks at the membership.
	keepInterval = 200 * time.Millisecond
	// joinTimeout bounds one ask to join.
	joinTimeout = 600 * time.Millisecond
	// joinerLife is how long an ask to join is remembered: a few of the asks
	// that a replica repeats until it votes.
	joinerLife = 2 * time.Second
	// stepTimeout bounds one change of the membership, so that a replica that
	// fails meanwhile does not hold up the next.
	stepTimeout = 2 * time.Second
	// orphanAfter is how long a member without a leader waits before it asks
	// to join again: it may have been taken out while it was cut off.
	orphanAfter = 2 * time.Second
	// settledAfter is how long the membership must stand still before orders
	// are taken by fewer voters than the tolerated losses ask for.
	settledAfter = 5 * time.Second
)

// Membership says how a group keeps its members without an operator.
type Membership struct {
	// Losses is the number of disks that may be lost at once.
	Losses int
	// Founder makes this replica found the group where it belongs to none.
	Founder bool
}

// keeper founds the group, asks to join it, and repairs its membership while
// this replica leads.
type keeper struct {
	s    *Service
	o    Membership
	log  *zap.Logger
	busy sync.Mutex

	mu      sync.Mutex
	joiners map[string]joiner // by address
	voters  int
	changed time.Time
	led     time.Time
	// leader and role are those that were logged last.
	leader, role string
}

type joiner struct {
	id string
	at time.Time
}

func newKeeper(s *Service, o Membership, log *zap.Logger) *keeper {
	return &keeper{s: s, o: o, log: log, joiners: make(map[string]joiner)}
}

// Keep founds, joins and repairs until ctx ends.
func (k *keeper) Keep(ctx context.Context) {
	k.led = k.s.o.Clock()
	every(ctx, keepInterval, func() { k.look(ctx) })
}

func (k *keeper) look(ctx context.Context) {
	status := k.s.o.Group.Status()
	k.observe(status)
	switch {
	case status.Role == replica.RoleUnfounded && len(status.Members) == 0 && k.o.Founder:
		k.found(ctx)
	case k.mustJoin(status):
		k.join(ctx, status.ID)
	case status.Role == protocol.RoleLeader:
		k.repair(ctx, status)
	}
}

// observe notes when the number of voters changed and when a leader was known.
func (k *keeper) observe(status protocol.ReplicaStatus) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.s.o.Clock()
	if n := votersOf(status); n != k.voters {
		k.voters = n
		k.changed = now
	}
	if status.Leader != "" {
		k.led = now
	}
	if status.Leader != k.leader || status.Role != k.role {
		k.log.Info("leadership of the replica group", zap.String("leader", status.Leader), zap.String("role", status.Role),
			zap.Uint64("term", status.Term), zap.Int("voters", k.voters), zap.Uint64("commit", status.Commit))
		k.leader, k.role = status.Leader, status.Role
	}
}

func votersOf(status protocol.ReplicaStatus) int {
	n := 0
	for _, m := range status.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// mustJoin reports whether this replica is no voter, or a voter that nobody
// leads.
func (k *keeper) mustJoin(status protocol.ReplicaStatus) bool {
	switch status.Role {
	case replica.RoleUnfounded, replica.RoleLearner:
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.s.o.Clock().Sub(k.led) > orphanAfter
}

func (k *keeper) found(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	err := k.s.o.Group.Found(ctx)
	k.log.Info("founding the replica group", zap.Error(err))
	if err == nil {
		k.s.record("group.founded", "by itself")
	}
}

// join asks the known replicas in turn for a place in the group.
func (k *keeper) join(ctx context.Context, id string) {
	request := protocol.JoinRequest{Address: k.s.o.Address, ID: id}
	for _, address := range k.s.others() {
		ctx, cancel := context.WithTimeout(ctx, joinTimeout)
		err := k.s.o.Caller.Call(ctx, address, protocol.MethodJoin, request, &protocol.Empty{})
		cancel()
		if err == nil {
			return
		}
		k.log.Debug("ask to join the replica group", zap.String("replica", address), zap.Error(err))
	}
}

// Join notes that a replica asks to become a member. Errors: NotLeader.
func (s *Service) Join(ctx context.Context, _ mesh.Peer, req protocol.JoinRequest) (protocol.Empty, error) {
	if s.keeper == nil {
		return protocol.Empty{}, fault.New(fault.Forbidden, "members of this group are admitted by operators only")
	}
	forwarded, err := s.forward(ctx, s.o.Group, protocol.MethodJoin, req, &protocol.Empty{})
	if forwarded {
		return protocol.Empty{}, err
	}
	s.keeper.ask(req)
	return protocol.Empty{}, nil
}

func (k *keeper) ask(req protocol.JoinRequest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.joiners[req.Address] = joiner{id: req.ID, at: k.s.o.Clock()}
}

// repair begins the next step, unless one is running.
func (k *keeper) repair(ctx context.Context, status protocol.ReplicaStatus) {
	if !k.busy.TryLock() {
		return
	}
	step := repair.Plan(status.ID, repair.Voters(k.o.Losses), membersOf(status), k.waiting())
	if step.Kind == repair.None {
		k.busy.Unlock()
		return
	}
	go func() {
		defer k.busy.Unlock()
		k.carryOut(ctx, step)
	}()
}

func (k *keeper) carryOut(ctx context.Context, step repair.Step) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	var err error
	if step.Kind == repair.Remove {
		err = k.s.o.Group.Remove(ctx, step.ID)
	} else {
		err = k.s.o.Group.Admit(ctx, step.Address)
	}
	k.log.Info("membership of the replica group", zap.String("step", string(step.Kind)),
		zap.String("member", step.ID), zap.String("address", step.Address), zap.Error(err))
	k.s.record("member."+string(step.Kind), "%s %s: %v", step.ID, step.Address, err)
}

func membersOf(status protocol.ReplicaStatus) []repair.Member {
	members := make([]repair.Member, 0, len(status.Members))
	for _, m := range status.Members {
		members = append(members, repair.Member{ID: m.ID, Address: m.Address, Learner: m.Learner, Silent: m.Silent})
	}
	return members
}

// waiting returns the replicas that asked to join a short time ago.
func (k *keeper) waiting() []repair.Joiner {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.s.o.Clock()
	var waiting []repair.Joiner
	for address, j := range k.joiners {
		if now.Sub(j.at) > joinerLife {
			delete(k.joiners, address)
			continue
		}
		waiting = append(waiting, repair.Joiner{ID: j.id, Address: address})
	}
	return waiting
}

// survivesLosses returns an error while the group has too few voters for a
// committed order to survive the tolerated losses. A group that has stood still
// is taken to be as large as it will get, as long as its majority does.
func (k *keeper) survivesLosses() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.voters >= repair.Voters(k.o.Losses) {
		return nil
	}
	if k.voters > k.o.Losses && k.s.o.Clock().Sub(k.changed) > settledAfter {
		return nil
	}
	return fault.New(fault.NotFounded, "the group has %d voters and needs %d to survive %d losses", k.voters, repair.Voters(k.o.Losses), k.o.Losses)
}
