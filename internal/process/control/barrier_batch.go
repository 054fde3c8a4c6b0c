package control

import (
	"context"
	"sync"
	"time"

	"github.com/teaselrack/teaselrack/internal/process/replica"
)

// barrierBatcher lets calls share read barriers. A barrier costs messages between
// all replicas, and calls arrive in proportion to the number of daemons; so at
// most one barrier starts per interval, and it serves every call that arrived
// before it started. A call that arrives after a quiet interval does not wait.
type barrierBatcher struct {
	group    replica.Group
	interval time.Duration

	mu sync.Mutex
	// next collects the calls of the barrier that has not started yet; nil if no
	// call waits.
	next      *barrierBatch
	startedAt time.Time
}

// barrierBatch is one barrier and its result. done is closed once err is set.
type barrierBatch struct {
	done chan struct{}
	err  error
}

func newBarrierBatcher(group replica.Group, interval time.Duration) *barrierBatcher {
	return &barrierBatcher{group: group, interval: interval}
}

// Wait returns once a barrier that started after the call has ended. Errors: those
// of replica.Group.ReadBarrier, and that of ctx.
func (b *barrierBatcher) Wait(ctx context.Context) error {
	batch := b.join()
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the batch that has not started yet, and schedules it if the call is
// its first.
func (b *barrierBatcher) join() *barrierBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next == nil {
		b.next = &barrierBatch{done: make(chan struct{})}
		time.AfterFunc(max(b.interval-time.Since(b.startedAt), 0), b.run)
	}
	return b.next
}

// run executes the barrier of the collected calls. Its time limit is its own,
// because the calls end at different times.
func (b *barrierBatcher) run() {
	b.mu.Lock()
	batch := b.next
	b.next = nil
	b.startedAt = time.Now()
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	batch.err = b.group.ReadBarrier(ctx)
	close(batch.done)
}
