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
	// reconcileInterval is the time between two checks of the membership.
	reconcileInterval = 200 * time.Millisecond
	// joinTimeout bounds one join request.
	joinTimeout = 600 * time.Millisecond
	// joinerTTL is how long a join request is remembered. A replica repeats the
	// request until it is a voter; the TTL spans a few repetitions.
	joinerTTL = 2 * time.Second
	// stepTimeout bounds one membership change, so that a replica that fails
	// during the change does not block the next one.
	stepTimeout = 2 * time.Second
	// rejoinAfter is how long a voter that knows no leader waits before it
	// requests to join again: it may have been removed while it was partitioned
	// from the group.
	rejoinAfter = 2 * time.Second
	// stableAfter is how long the number of voters must be unchanged before
	// orders are accepted with fewer voters than the tolerated losses require.
	stableAfter = 5 * time.Second
)

// AutoMembership configures membership management without an operator.
type AutoMembership struct {
	// ToleratedLosses is the number of disks that may be lost at once without
	// loss of committed data.
	ToleratedLosses int
	// Founder makes this replica found the group if it is not a member of one.
	Founder bool
}

// membershipManager founds the group, requests to join it, and repairs its
// membership while this replica leads.
type membershipManager struct {
	service *Service
	options AutoMembership
	log     *zap.Logger
	// stepMu is held while a membership change runs: one change at a time.
	stepMu sync.Mutex

	mu      sync.Mutex
	joiners map[string]joiner // by address
	voters  int
	// votersChanged is when voters last changed.
	votersChanged time.Time
	// leaderKnown is when a leader was last known.
	leaderKnown time.Time
	// loggedLeader and loggedRole are the values that were logged last.
	loggedLeader, loggedRole string
}

// joiner is a replica that requested to join.
type joiner struct {
	id          string
	lastRequest time.Time
}

func newMembershipManager(service *Service, options AutoMembership, log *zap.Logger) *membershipManager {
	return &membershipManager{service: service, options: options, log: log, joiners: make(map[string]joiner)}
}

// Run founds, joins or repairs the group at each interval until ctx ends.
func (m *membershipManager) Run(ctx context.Context) {
	m.leaderKnown = m.service.options.Clock()
	every(ctx, reconcileInterval, func() { m.reconcile(ctx) })
}

// reconcile founds the group, requests to join it or repairs it, depending on the
// state of this replica.
func (m *membershipManager) reconcile(ctx context.Context) {
	status := m.service.options.Group.Status()
	m.observe(status)
	switch {
	case status.Role == replica.RoleUnfounded && len(status.Members) == 0 && m.options.Founder:
		m.foundGroup(ctx)
	case m.shouldJoin(status):
		m.join(ctx, status.ID)
	case status.Role == protocol.RoleLeader:
		m.repair(ctx, status)
	}
}

// observe records when the number of voters changed and when a leader was last
// known, and logs changes of leadership.
func (m *membershipManager) observe(status protocol.ReplicaStatus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.service.options.Clock()
	if n := countVoters(status); n != m.voters {
		m.voters = n
		m.votersChanged = now
	}
	if status.Leader != "" {
		m.leaderKnown = now
	}
	if status.Leader != m.loggedLeader || status.Role != m.loggedRole {
		m.log.Info("leader or role changed in the replica group", zap.String("leader", status.Leader), zap.String("role", status.Role),
			zap.Uint64("term", status.Term), zap.Int("voters", m.voters), zap.Uint64("commit", status.Commit))
		m.loggedLeader, m.loggedRole = status.Leader, status.Role
	}
}

func countVoters(status protocol.ReplicaStatus) int {
	n := 0
	for _, m := range status.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// shouldJoin reports whether this replica is not a voter, or is a voter that has
// known no leader for longer than rejoinAfter.
func (m *membershipManager) shouldJoin(status protocol.ReplicaStatus) bool {
	switch status.Role {
	case replica.RoleUnfounded, replica.RoleLearner:
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.service.options.Clock().Sub(m.leaderKnown) > rejoinAfter
}

func (m *membershipManager) foundGroup(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	err := m.service.options.Group.Found(ctx)
	m.log.Info("tried to found the replica group", zap.Error(err))
	if err == nil {
		m.service.record("group.founded", "by itself")
	}
}

// join sends a join request to the other known replicas in turn, until one
// accepts it.
func (m *membershipManager) join(ctx context.Context, id string) {
	request := protocol.JoinRequest{Address: m.service.options.Address, ID: id}
	for _, address := range m.service.otherReplicas() {
		ctx, cancel := context.WithTimeout(ctx, joinTimeout)
		err := m.service.options.Caller.Call(ctx, address, protocol.MethodJoin, request, &protocol.Empty{})
		cancel()
		if err == nil {
			return
		}
		m.log.Debug("request to join the replica group failed", zap.String("replica", address), zap.Error(err))
	}
}

// Join records that a replica requests to become a member; the leader admits it
// later. Errors: Forbidden if only operators manage the members; BadRequest for an
// address that is none; NotLeader; NoLeader if the reply of the leader was lost.
func (s *Service) Join(ctx context.Context, _ mesh.Peer, req protocol.JoinRequest) (protocol.Empty, error) {
	if s.membership == nil {
		return protocol.Empty{}, fault.New(fault.Forbidden, "automatic membership is disabled; only operators admit members of this group")
	}
	if err := protocol.CheckAddress(req.Address); err != nil {
		return protocol.Empty{}, err
	}
	forwarded, err := s.forward(ctx, s.options.Group, protocol.MethodJoin, req, &protocol.Empty{})
	if forwarded {
		return protocol.Empty{}, err
	}
	s.membership.addJoiner(req)
	return protocol.Empty{}, nil
}

func (m *membershipManager) addJoiner(req protocol.JoinRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.joiners[req.Address] = joiner{id: req.ID, lastRequest: m.service.options.Clock()}
}

// repair starts the next membership change, unless one is running.
func (m *membershipManager) repair(ctx context.Context, status protocol.ReplicaStatus) {
	if !m.stepMu.TryLock() {
		return
	}
	step := repair.Plan(status.ID, repair.Voters(m.options.ToleratedLosses), repairMembers(status), m.pendingJoiners())
	if step.Kind == repair.None {
		m.stepMu.Unlock()
		return
	}
	go func() {
		defer m.stepMu.Unlock()
		m.execute(ctx, step)
	}()
}

func (m *membershipManager) execute(ctx context.Context, step repair.Step) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	var err error
	if step.Kind == repair.Remove {
		err = m.service.options.Group.Remove(ctx, step.ID, 0)
	} else {
		err = m.service.options.Group.Admit(ctx, step.Address, 0)
	}
	m.log.Info("tried to change the membership of the replica group", zap.String("step", string(step.Kind)),
		zap.String("member", step.ID), zap.String("address", step.Address), zap.Error(err))
	m.service.record("member."+string(step.Kind), "%s %s: %v", step.ID, step.Address, err)
}

func repairMembers(status protocol.ReplicaStatus) []repair.Member {
	members := make([]repair.Member, 0, len(status.Members))
	for _, m := range status.Members {
		members = append(members, repair.Member{ID: m.ID, Address: m.Address, Learner: m.Learner, Silent: m.Silent})
	}
	return members
}

// pendingJoiners returns the replicas whose last join request is at most
// joinerTTL old, and drops the others.
func (m *membershipManager) pendingJoiners() []repair.Joiner {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.service.options.Clock()
	var pending []repair.Joiner
	for address, j := range m.joiners {
		if now.Sub(j.lastRequest) > joinerTTL {
			delete(m.joiners, address)
			continue
		}
		pending = append(pending, repair.Joiner{ID: j.id, Address: address})
	}
	return pending
}

// checkVoterCount returns a NotFounded error while the group has too few voters
// for a committed order to survive the tolerated losses. A group whose number of
// voters has been unchanged for longer than stableAfter is assumed to have
// reached its final size. It then needs only more voters than tolerated losses,
// and a committed order survives as long as a majority of the voters does.
func (m *membershipManager) checkVoterCount() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.voters >= repair.Voters(m.options.ToleratedLosses) {
		return nil
	}
	if m.voters > m.options.ToleratedLosses && m.service.options.Clock().Sub(m.votersChanged) > stableAfter {
		return nil
	}
	return fault.New(fault.NotFounded, "the replica group has %d voters and needs %d to survive the loss of %d disks", m.voters, repair.Voters(m.options.ToleratedLosses), m.options.ToleratedLosses)
}
