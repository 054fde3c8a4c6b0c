package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// confirmation is one call of Confirm that waits.
type confirmation struct {
	// gone reports that the caller no longer waits.
	gone func() bool
	done func(error)
}

// confirms gathers calls of Confirm: one read of the leader's commit index
// serves every call that came before it was asked for.
type confirms struct {
	// token numbers the reads. It starts at random, so that no answer to a read
	// before a restart can be taken for the answer to a later one.
	token  uint64
	asked  time.Duration
	open   bool
	asking []confirmation
	next   []confirmation
	// applying are the calls that wait until the machine reaches an index.
	applying map[uint64][]confirmation
}

// confirm calls done once the machine has applied everything that was committed
// anywhere before the call.
func (e *engine) confirm(c confirmation) {
	if !e.core.founded() {
		c.done(fault.New(fault.NotFounded, "this replica belongs to no group yet"))
		return
	}
	e.confirms.next = append(e.confirms.next, c)
	e.beginConfirm()
}

// beginConfirm asks for an index on behalf of the calls that came so far,
// unless an earlier question is still open.
func (e *engine) beginConfirm() {
	cs := &e.confirms
	if cs.open || len(cs.next) == 0 {
		return
	}
	cs.token++
	cs.open = true
	cs.asked = e.core.now
	cs.asking, cs.next = cs.next, nil
	e.core.read(cs.token)
}

// retryConfirm repeats a question whose answer may have been lost, and forgets
// the calls whose callers have gone.
func (e *engine) retryConfirm() {
	cs := &e.confirms
	if !cs.open || e.core.now-cs.asked < e.Heartbeat {
		return
	}
	cs.asking = waiting(cs.asking)
	cs.next = waiting(cs.next)
	cs.asked = e.core.now
	e.core.read(cs.token)
}

func waiting(calls []confirmation) []confirmation {
	kept := calls[:0]
	for _, c := range calls {
		if !c.gone() {
			kept = append(kept, c)
		}
	}
	clear(calls[len(kept):])
	return kept
}

// answered notes the index for the open question.
func (cs *confirms) answered(read readDone) {
	if !cs.open || read.token != cs.token {
		return
	}
	cs.open = false
	if cs.applying == nil {
		cs.applying = make(map[uint64][]confirmation)
	}
	cs.applying[read.index] = append(cs.applying[read.index], cs.asking...)
	cs.asking = nil
}

// applied completes the calls that waited for an entry up to index.
func (cs *confirms) applied(index uint64) {
	for _, at := range slices.Sorted(maps.Keys(cs.applying)) {
		if at > index {
			return
		}
		calls := cs.applying[at]
		delete(cs.applying, at)
		for _, c := range calls {
			c.done(nil)
		}
	}
}

func (cs *confirms) fail(err error) {
	calls := slices.Concat(cs.asking, cs.next)
	for _, at := range slices.Sorted(maps.Keys(cs.applying)) {
		calls = append(calls, cs.applying[at]...)
	}
	token := cs.token
	*cs = confirms{token: token}
	for _, c := range calls {
		c.done(err)
	}
}
