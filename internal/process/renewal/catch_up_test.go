package renewal

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestRequestAfterAPauseActsOnTheOldConfiguration guards against a process that stood still
// while changes were acknowledged without it, and handles the requests that arrived
// meanwhile under its old configuration before it renews.
func TestRequestAfterAPauseActsOnTheOldConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &fakeReplicas{began: time.Now()}
		loop := newTestLoop(group)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- loop.Run(ctx) }()
		time.Sleep(10*DefaultInterval + DefaultInterval/2)
		waitOf := func() time.Duration {
			began := time.Now()
			loop.CatchUp(ctx, began)
			return time.Since(began)
		}
		must.Eq(t, 0, waitOf(), must.Sprint("in calm"))

		// A paused process finds that its last attempt to renew is too long ago.
		loop.pauses.attemptEnded(time.Now().Add(-2 * pauseLimit))
		before := group.renewals.Load()
		must.Less(t, maxCatchUp, waitOf())
		must.Greater(t, before, group.renewals.Load(), must.Sprint("renewals since the pause"))
		must.Eq(t, 0, waitOf(), must.Sprint("after the renewal"))

		cancel()
		must.NoError(t, <-done)
	})
}

// TestRequestsDoNotWaitWhileReplicasAreLost guards against requests that wait although this
// process was not paused: all replicas are lost, each call to one takes its whole time.
func TestRequestsDoNotWaitWhileReplicasAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := newTestLoop(silentReplicas{})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- loop.Run(ctx) }()
		for range 200 {
			time.Sleep(33 * time.Millisecond)
			began := time.Now()
			loop.CatchUp(ctx, began)
			must.Eq(t, 0, time.Since(began))
		}
		cancel()
		must.NoError(t, <-done)
	})
}

// TestRequestAfterAPauseWithLostReplicas guards against a wait after a pause that ends before
// a renewal gets past two lost replicas to one that confirms with its next barrier.
func TestRequestAfterAPauseWithLostReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const barrier = 200 * time.Millisecond
		group := &fakeReplicas{began: time.Now()}
		loop := newTestLoop(lostReplicas{group, barrier})
		loop.replicas.set([]string{"lost-1", "lost-2", "r"}, []string{"", "", ""})
		for current := ""; current != "r"; {
			current = loop.replicas.current()
			loop.replicas.fail(current, time.Now())
		}
		loop.pauses.attemptEnded(time.Now().Add(-2 * pauseLimit))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- loop.Run(ctx) }()
		loop.CatchUp(ctx, time.Now())
		confirmed := group.renewals.Load()
		cancel()
		must.NoError(t, <-done)
		must.Eq(t, 1, confirmed, must.Sprint("renewals that were confirmed"))
	})
}

// lostReplicas are two lost replicas and one that replies after a time.
type lostReplicas struct {
	*fakeReplicas
	after time.Duration
}

func (r lostReplicas) Call(ctx context.Context, address, method string, params, reply any) error {
	if address != "r" {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(r.after)
	return r.fakeReplicas.Call(ctx, address, method, params, reply)
}

// silentReplicas never reply.
type silentReplicas struct{}

func (silentReplicas) Call(ctx context.Context, _, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}
