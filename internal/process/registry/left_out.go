package registry

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// leftOutLogInterval is the minimum time between two log lines about targets that
	// are left out.
	leftOutLogInterval = time.Second
	// maxQuotedBytes limits what such a line repeats of each value.
	maxQuotedBytes = 128
)

// leftOut logs targets that are left out, because their record cannot be used. It is
// safe for concurrent use.
type leftOut struct {
	mu  sync.Mutex
	log *zap.Logger // nil for none
	// loggedAt is when the last line was written, notLogged the number of targets that
	// were left out since.
	loggedAt  time.Time
	notLogged int
}

func (l *leftOut) logTo(log *zap.Logger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log = log
}

// check reports whether the target can be used, and logs the reason why not.
func (l *leftOut) check(now time.Time, r protocol.TargetRecord) bool {
	err := r.Check()
	if err == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.log == nil {
		return false
	}
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < leftOutLogInterval {
		l.notLogged++
		return false
	}
	l.log.Warn("target is left out, since its record cannot be used", zap.String("service", fault.Excerpt(r.Service, maxQuotedBytes)),
		zap.String("instance", fault.Excerpt(r.Instance, maxQuotedBytes)), zap.String("reason", fault.Message(err)), zap.Int("left_out_since", l.notLogged))
	l.loggedAt, l.notLogged = now, 0
	return false
}
