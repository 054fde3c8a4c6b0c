package control

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// skipLogInterval is the minimum time between two log lines about skipped messages.
	skipLogInterval = time.Second
	// maxQuotedBytes limits the reason in such a line.
	maxQuotedBytes = 256
)

// skipLog logs messages that were skipped because they cannot be read. It is safe for
// concurrent use.
type skipLog struct {
	mu       sync.Mutex
	loggedAt time.Time
}

func (l *skipLog) log(now time.Time, log *zap.Logger, skipped int, reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < skipLogInterval {
		return
	}
	l.loggedAt = now
	log.Warn("messages of a replica group were skipped, since they cannot be read",
		zap.Int("skipped", skipped), zap.String("reason", fault.Excerpt(reason.Error(), maxQuotedBytes)))
}
