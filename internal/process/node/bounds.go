package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/process/control"
	"github.com/teaselrack/teaselrack/internal/process/renewal"
)

const (
	// toleratedSilentReplicas is the number of replicas that may not reply while a daemon
	// keeps the bounds.
	toleratedSilentReplicas = 2
	// resendReserve is the part of the bound on acknowledgments that is left for operators
	// to send an order again.
	resendReserve = time.Second
)

// Bounds are the times within which the operators of a deployment expect effects. A zero one
// is not stated.
type Bounds struct {
	// Acknowledge is from an order until its acknowledgment.
	Acknowledge time.Duration
	// InEffect is from the acknowledgment of a configuration until all processes in contact
	// act on it, OutOfService the same for a failure domain that is taken out.
	InEffect, OutOfService time.Duration
	// Contact is how long a process must have been able to reach the replicas before it is
	// held to the others.
	Contact time.Duration
}

// effectTimeout returns how long the acknowledgment of an order waits at most for daemons
// that do not put it into effect.
func (b Bounds) effectTimeout() time.Duration {
	if b.Acknowledge == 0 {
		return control.DefaultEffectTimeout
	}
	return min(control.DefaultEffectTimeout, max(b.Acknowledge-resendReserve, control.ContactTimeout))
}

// logUnmet warns of each bound that is shorter than what the intervals of this build need.
func (b Bounds) logUnmet(log *zap.Logger) {
	renewed := renewal.LongestRenewal(renewInterval, toleratedSilentReplicas)
	for _, bound := range []struct {
		name           string
		stated, needed time.Duration
	}{
		{"acknowledgment of an order", b.Acknowledge, b.effectTimeout() + resendReserve},
		// A daemon that has been out of contact for ContactTimeout is not waited for.
		{"configuration in effect", b.InEffect, renewed - control.ContactTimeout},
		{"failure domain out of service", b.OutOfService, renewed - control.ContactTimeout},
		{"contact", b.Contact, renewed},
	} {
		if bound.stated > 0 && bound.stated < bound.needed {
			log.Warn("a bound of the deployment is shorter than this process can keep", zap.String("bound", bound.name),
				zap.Duration("stated", bound.stated), zap.Duration("needed", bound.needed))
		}
	}
}
