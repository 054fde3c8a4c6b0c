package renewal

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// connectionState states whether the control replicas confirm renewals, and
// since when.
type connectionState struct {
	lost  bool
	since time.Time
}

// logConnection logs when the replicas stop confirming renewals, and when they
// confirm them again.
func (l *Loop) logConnection(ctx context.Context, confirmed bool) {
	if ctx.Err() != nil || l.connection.lost == !confirmed {
		return
	}
	now := l.options.Clock()
	if confirmed {
		l.options.Log.Info("connection to the control replicas restored", zap.String("replica", l.replicas.current()), zap.Duration("lost_for", now.Sub(l.connection.since)),
			zap.Uint64("configuration", l.options.Configuration.Current().Number()))
	} else {
		l.options.Log.Warn("no control replica confirms renewals", zap.Int("tried", l.replicas.size()), zap.Uint64("configuration", l.options.Configuration.Current().Number()))
	}
	l.connection = connectionState{lost: !confirmed, since: now}
}
