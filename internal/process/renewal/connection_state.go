package renewal

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// contact is whether the control replicas confirm renewals, and since when.
type contact struct {
	lost  bool
	since time.Time
}

// noteContact logs when the replicas stop confirming renewals, and when they
// confirm them again.
func (l *Loop) noteContact(ctx context.Context, confirmed bool) {
	if ctx.Err() != nil || l.touch.lost == !confirmed {
		return
	}
	now := l.o.Clock()
	if confirmed {
		l.o.Log.Info("control replicas regained", zap.String("replica", l.pick.current()), zap.Duration("lost_for", now.Sub(l.touch.since)),
			zap.Uint64("configuration", l.o.Holder.Current().Number()))
	} else {
		l.o.Log.Warn("control replicas lost", zap.Int("tried", l.pick.size()), zap.Uint64("configuration", l.o.Holder.Current().Number()))
	}
	l.touch = contact{lost: !confirmed, since: now}
}
