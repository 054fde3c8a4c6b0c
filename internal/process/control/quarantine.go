package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/process/targetlog"
)

const (
	// evidenceInterval is the time between two looks at the evidence about crashes, and
	// idleEvidenceInterval the same while there is none.
	evidenceInterval     = 100 * time.Millisecond
	idleEvidenceInterval = time.Second
	// evidenceDelay is the time from a report to its recording: other daemons report
	// crashes of the same moment.
	evidenceDelay = 20 * time.Millisecond
	// evidenceTimeout bounds the recording of evidence and of a verdict. The next look
	// repeats what has failed.
	evidenceTimeout = 500 * time.Millisecond
)

// RunQuarantine records what daemons report about crashes, and on the leader quarantines
// the requests that are at fault, until ctx ends.
func (s *Service) RunQuarantine(ctx context.Context) {
	for {
		interval := idleEvidenceInterval
		if s.options.Targets.Quarantine.Watched() {
			interval = evidenceInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-s.inbox.Added:
			time.Sleep(evidenceDelay)
		case <-time.After(interval):
		}
		s.recordPending(ctx)
		s.quarantineDue(ctx)
	}
}

// recordPending records the reports that the target log does not have yet.
func (s *Service) recordPending(ctx context.Context) {
	evidence, ok := s.inbox.Pending(s.options.Clock(), s.options.Targets.Quarantine, s.options.TargetClock.Now())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	if _, err := s.RecordCrashes(ctx, mesh.Peer{Role: mesh.Replica}, evidence); err != nil {
		s.options.Log.Debug("evidence about crashes is not recorded yet", zap.Error(err))
	}
}

// RecordCrashes records evidence about requests that crash targets. It is idempotent.
// Errors: NotLeader and NotFounded if nothing was recorded; NoLeader if it may or may not
// have been.
func (s *Service) RecordCrashes(ctx context.Context, _ mesh.Peer, evidence protocol.CrashEvidence) (protocol.Empty, error) {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	if forwarded, err := s.forward(ctx, s.options.Group, protocol.MethodCrashes, evidence, &protocol.Empty{}); forwarded {
		return protocol.Empty{}, err
	}
	return protocol.Empty{}, s.proposeTargets(ctx, targetlog.Command{Crashes: evidence.Crashes, Completed: evidence.Completed, Familiar: evidence.Familiar, Probes: evidence.Probes})
}

// quarantineDue commits verdicts, and forgets old ones. Only the leader does so.
func (s *Service) quarantineDue(ctx context.Context) {
	contents, expired := s.options.Targets.Quarantine.Due(s.options.TargetClock.Now())
	if _, leads := s.options.Group.Leader(); !leads || len(contents) == 0 && !expired {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	if err := s.proposeTargets(ctx, targetlog.Command{Convicted: contents}); err != nil {
		s.options.Log.Info("verdict about requests that crash targets is not recorded yet", zap.Error(err))
	}
}
