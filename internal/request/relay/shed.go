package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/drain"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
)

// shed rejects a fraction of the requests that would load an overloaded service.
// It does not reject the requests of targets. A request that can be served in time once
// cold targets have become warm is held until then. Errors: Overloaded,
// ShuttingDown, DeadlineNotRun, CallerGone.
func (e *EntryHandler) shed(ctx context.Context, req *inboundRequest) error {
	if req.fromTarget {
		return nil
	}
	req.clientRetry = e.Rejections.Consume(req.receivedAt, req.fingerprint())
	bottleneck := e.Levels.ForRoute(req.receivedAt, req.route.ID)
	fraction := e.Demand.ShedFraction(req.receivedAt, req.rank, req.route.ID, bottleneck)
	if fraction <= 0 || rand.Float64() >= fraction {
		return nil
	}
	if hold, ok := req.holdFor(bottleneck.EndsIn, rand.Float64()); ok && req.mayBegin(time.Now().Add(hold), scheduleOf(e.Shutdown)) {
		return e.hold(ctx, req, bottleneck, hold)
	}
	err := fault.New(fault.Overloaded, "service %s is overloaded: it sheds a fraction of %.2f of its work, which is %.2f of the requests of rank %d on route %s", bottleneck.Service, bottleneck.Level, fraction, req.rank, req.route.Name)
	return withRetryAfter(err, req.retryAfterLevel(bottleneck.EndsIn, rand.Float64()))
}

// hold delays a request that would be shed until cold targets are warm. Errors:
// ShuttingDown, DeadlineNotRun, CallerGone.
func (e *EntryHandler) hold(ctx context.Context, req *inboundRequest, bottleneck shedding.Bottleneck, d time.Duration) error {
	e.Log.Info("request held until targets are warm", zap.String("request", req.id), zap.String("route", req.route.Name), zap.Int("rank", req.rank),
		zap.String("bottleneck", bottleneck.Service), zap.Float64("level", bottleneck.Level), zap.Duration("for", d))
	req.progress.Reach(drain.Held)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fault.OfContext(ctx, nil, false)
	}
}
