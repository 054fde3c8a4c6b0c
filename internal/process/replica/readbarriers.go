package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// pendingBarrier is one call of ReadBarrier that waits.
type pendingBarrier struct {
	// canceled reports whether the caller has stopped waiting.
	canceled func() bool
	done     func(error)
}

// readBarriers batches calls of ReadBarrier: one request for the read index
// serves all calls that arrived before it was sent.
type readBarriers struct {
	// token numbers the requests. It starts at a random number, so that a reply
	// to a request from before a restart never matches a later request.
	token       uint64
	requestedAt time.Duration
	inFlight    bool
	// requested holds the calls that the request in flight serves, queued those
	// that wait for the next request.
	requested []pendingBarrier
	queued    []pendingBarrier
	// awaitingApply holds, by index, the calls that wait until the state
	// machine has applied that index.
	awaitingApply map[uint64][]pendingBarrier
}

// readBarrier calls b.done once the state machine has applied every command
// that was committed on any replica before the call.
func (e *engine) readBarrier(b pendingBarrier) {
	if !e.core.founded() {
		b.done(fault.New(fault.NotFounded, "this replica does not belong to a group yet"))
		return
	}
	e.barriers.queued = append(e.barriers.queued, b)
	e.requestReadIndex()
}

// requestReadIndex requests the read index for the queued calls, unless an
// earlier request is still in flight.
func (e *engine) requestReadIndex() {
	bs := &e.barriers
	if bs.inFlight || len(bs.queued) == 0 {
		return
	}
	bs.token++
	bs.inFlight = true
	bs.requestedAt = e.core.now
	bs.requested, bs.queued = bs.queued, nil
	e.core.requestReadIndex(bs.token)
}

// retryReadIndex repeats a request that got no reply within a heartbeat
// interval, and drops the calls that were canceled.
func (e *engine) retryReadIndex() {
	bs := &e.barriers
	if !bs.inFlight || e.core.now-bs.requestedAt < e.HeartbeatInterval {
		return
	}
	bs.requested = dropCanceled(bs.requested)
	bs.queued = dropCanceled(bs.queued)
	bs.requestedAt = e.core.now
	e.core.requestReadIndex(bs.token)
}

func dropCanceled(barriers []pendingBarrier) []pendingBarrier {
	kept := barriers[:0]
	for _, b := range barriers {
		if !b.canceled() {
			kept = append(kept, b)
		}
	}
	clear(barriers[len(kept):])
	return kept
}

// onReadResult handles the result of the request in flight. Other results are
// ignored.
func (bs *readBarriers) onReadResult(read readResult) {
	if !bs.inFlight || read.token != bs.token {
		return
	}
	bs.inFlight = false
	if bs.awaitingApply == nil {
		bs.awaitingApply = make(map[uint64][]pendingBarrier)
	}
	bs.awaitingApply[read.index] = append(bs.awaitingApply[read.index], bs.requested...)
	bs.requested = nil
}

// onApplied completes the calls that wait for index or a lower one.
func (bs *readBarriers) onApplied(index uint64) {
	for _, at := range slices.Sorted(maps.Keys(bs.awaitingApply)) {
		if at > index {
			return
		}
		barriers := bs.awaitingApply[at]
		delete(bs.awaitingApply, at)
		for _, b := range barriers {
			b.done(nil)
		}
	}
}

func (bs *readBarriers) fail(err error) {
	barriers := slices.Concat(bs.requested, bs.queued)
	for _, at := range slices.Sorted(maps.Keys(bs.awaitingApply)) {
		barriers = append(barriers, bs.awaitingApply[at]...)
	}
	token := bs.token
	*bs = readBarriers{token: token}
	for _, b := range barriers {
		b.done(err)
	}
}
