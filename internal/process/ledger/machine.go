package ledger

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// Machine is the replicated state machine of one shard. It implements
// replica.Machine. Now and Stats may be called from any goroutine.
type Machine struct {
	limits Limits

	mu      sync.RWMutex
	now     time.Duration
	records map[protocol.OnceKey]*record
	fences  map[fenceKey]*fence
	// byGrant and bySet hold the same entries by age, oldest first.
	byGrant queue[*record]
	bySet   queue[*fence]
	// released counts the records of byGrant that left the table early.
	released int
	bytes    int
}

// Stats describes the size of one shard.
type Stats struct {
	Records int
	Fences  int
	// Bytes is what Limits.Bytes bounds.
	Bytes int
}

// NewMachine returns an empty shard.
func NewMachine(limits Limits) *Machine {
	return &Machine{
		limits:  limits,
		records: make(map[protocol.OnceKey]*record),
		fences:  make(map[fenceKey]*fence),
	}
}

// Now returns the time in the machine: the highest that a command carried.
func (m *Machine) Now() time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.now
}

// Stats returns the size of the shard.
func (m *Machine) Stats() Stats {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return Stats{Records: len(m.records), Fences: len(m.fences), Bytes: m.bytes}
}

// Apply runs one command and returns an encoded protocol.OnceReply. A command
// that cannot be read is answered with OnceFull: nothing was claimed.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	var c Command
	answer := reply{State: protocol.OnceFull}
	if err := cbor.Unmarshal(command, &c); err == nil && validRequest(c.Request) {
		answer = m.run(c)
	}
	b, err := canonical.Marshal(answer)
	if err != nil {
		return nil
	}
	return b
}

func (m *Machine) run(c Command) reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = max(m.now, time.Duration(c.Now))
	m.expire()
	switch c.Request.Operation {
	case protocol.OnceClaim:
		return m.claim(c.Request)
	case protocol.OnceRelease:
		return m.release(c.Request)
	case protocol.OnceComplete:
		return m.complete(c.Request)
	case protocol.OnceCancel:
		return m.cancel(c.Request)
	default:
		return reply{State: protocol.OnceFull}
	}
}

func (m *Machine) claim(r protocol.OnceRequest) reply {
	if m.fenced(r) {
		return reply{State: protocol.OnceFenced}
	}
	rec := m.lookup(r.Key)
	switch {
	case rec == nil:
		return m.grant(r)
	case rec.Digest != r.Digest:
		return reply{State: protocol.OnceMismatch, Holder: rec.Holder}
	case rec.Holder == r.Attempt && !rec.done():
		return reply{State: protocol.OnceGranted, Holder: rec.Holder}
	default:
		return m.describe(rec)
	}
}

func (m *Machine) grant(r protocol.OnceRequest) reply {
	rec := &record{Key: r.Key, Holder: r.Attempt, Digest: r.Digest, Granted: m.now}
	if !m.room(rec.size()) {
		return reply{State: protocol.OnceFull}
	}
	m.records[r.Key] = rec
	m.byGrant.push(rec)
	m.bytes += rec.size()
	return reply{State: protocol.OnceGranted, Holder: rec.Holder}
}

// release frees the key where the attempt holds it, and bars the attempt: a
// claim of it that arrives late must not hold the key again. The fence takes
// the room of the record. Where an attempt without a claim finds no room for
// the fence, nothing changes.
func (m *Machine) release(r protocol.OnceRequest) reply {
	rec := m.lookup(r.Key)
	if rec != nil && rec.Holder == r.Attempt {
		if rec.done() {
			return m.describe(rec)
		}
		m.drop(rec)
		m.addFence(r)
		return reply{State: protocol.OnceFree}
	}
	if !m.setFence(r) {
		return reply{State: protocol.OnceFull}
	}
	if rec == nil {
		return reply{State: protocol.OnceFree}
	}
	return reply{State: m.describe(rec).State, Holder: rec.Holder}
}

func (m *Machine) complete(r protocol.OnceRequest) reply {
	rec := m.lookup(r.Key)
	if rec == nil {
		return reply{State: protocol.OnceFree}
	}
	if rec.Holder != r.Attempt || rec.done() {
		return reply{State: m.describe(rec).State, Holder: rec.Holder}
	}
	held := reply{State: protocol.OnceHeld, Holder: rec.Holder, Since: m.now - rec.Granted}
	if r.Answer == nil || len(r.Answer.Body) > protocol.MaxStoredAnswer {
		return held
	}
	answer, err := canonical.Marshal(r.Answer)
	if err != nil || len(answer) > protocol.MaxStoredAnswer+MaxAnswerHeader {
		return held
	}
	if m.bytes+len(answer) > m.limits.Bytes {
		return reply{State: protocol.OnceFull, Holder: rec.Holder}
	}
	rec.Answer = answer
	m.bytes += len(answer)
	return reply{State: protocol.OnceDone, Holder: rec.Holder}
}

// cancel bars an attempt that holds no claim. An attempt that holds one may
// have been dispatched: it is only described. Where another attempt holds the
// key, that one is described: the request itself may have run.
func (m *Machine) cancel(r protocol.OnceRequest) reply {
	rec := m.lookup(r.Key)
	if rec != nil && rec.Holder == r.Attempt {
		return m.describe(rec)
	}
	if !m.setFence(r) {
		return reply{State: protocol.OnceFull}
	}
	switch {
	case rec == nil:
		return reply{State: protocol.OnceFenced}
	case rec.Digest != r.Digest:
		return reply{State: protocol.OnceMismatch, Holder: rec.Holder}
	default:
		return m.describe(rec)
	}
}

func (m *Machine) describe(rec *record) reply {
	answer := reply{State: protocol.OnceHeld, Holder: rec.Holder, Since: m.now - rec.Granted}
	if rec.done() {
		answer.State = protocol.OnceDone
		answer.Answer = rec.Answer
	}
	return answer
}
