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
	// recordQueue and fenceQueue hold the entries of records and fences, oldest
	// first. They may also hold entries that have been removed from the maps.
	recordQueue queue[*record]
	fenceQueue  queue[*fence]
	// tombstones is the number of records in recordQueue that have already been
	// removed from records.
	tombstones int
	// bytes is the total size that Limits.Bytes bounds.
	bytes int
}

// Stats contains the size of one shard.
type Stats struct {
	Records int
	Fences  int
	// Bytes is the total size that Limits.Bytes bounds.
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

// Now returns the state machine's time: the highest time in any command so far.
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

// Apply runs one command and returns an encoded protocol.OnceReply. The reply to a
// command that cannot be decoded or is invalid is OnceFull, which tells the client
// that nothing was claimed.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	var c Command
	result := reply{State: protocol.OnceFull}
	if err := cbor.Unmarshal(command, &c); err == nil && validRequest(c.Request) {
		result = m.run(c)
	}
	b, err := canonical.Marshal(result)
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
	rec := &record{Key: r.Key, Holder: r.Attempt, Digest: r.Digest, GrantedAt: m.now}
	if !m.hasRoom(rec.size()) {
		return reply{State: protocol.OnceFull}
	}
	m.records[r.Key] = rec
	m.recordQueue.push(rec)
	m.bytes += rec.size()
	return reply{State: protocol.OnceGranted, Holder: rec.Holder}
}

// release frees the key if the attempt holds it, and fences the attempt, because a
// late claim by it must not get the key again. The fence uses the space of the
// record. If the attempt has no claim and there is no space for a fence, nothing
// changes.
func (m *Machine) release(r protocol.OnceRequest) reply {
	rec := m.lookup(r.Key)
	if rec != nil && rec.Holder == r.Attempt {
		if rec.done() {
			return m.describe(rec)
		}
		m.remove(rec)
		m.addFence(r)
		return reply{State: protocol.OnceFree}
	}
	if !m.addFenceIfRoom(r) {
		return reply{State: protocol.OnceFull}
	}
	if rec == nil {
		return reply{State: protocol.OnceFree}
	}
	return reply{State: m.describe(rec).State, Holder: rec.Holder}
}

// complete stores the response of the attempt that holds the key. If the response is
// missing or too large, or there is no room for it, nothing is stored and the attempt
// still holds the key.
func (m *Machine) complete(r protocol.OnceRequest) reply {
	rec := m.lookup(r.Key)
	if rec == nil {
		return reply{State: protocol.OnceFree}
	}
	if rec.Holder != r.Attempt || rec.done() {
		return reply{State: m.describe(rec).State, Holder: rec.Holder}
	}
	held := reply{State: protocol.OnceHeld, Holder: rec.Holder, Since: m.now - rec.GrantedAt}
	if r.Response == nil || len(r.Response.Body) > protocol.MaxStoredResponse {
		return held
	}
	response, err := canonical.Marshal(r.Response)
	if err != nil || len(response) > protocol.MaxStoredResponse+MaxResponseHeader {
		return held
	}
	if m.bytes+len(response) > m.limits.Bytes {
		return reply{State: protocol.OnceFull, Holder: rec.Holder}
	}
	rec.Response = response
	m.bytes += len(response)
	return reply{State: protocol.OnceDone, Holder: rec.Holder}
}

// cancel fences an attempt that holds no claim. An attempt that holds the claim may
// have been dispatched, so the reply only describes its record. If another attempt
// holds the key, the reply describes that one's record, because the request may
// have run through it.
func (m *Machine) cancel(r protocol.OnceRequest) reply {
	rec := m.lookup(r.Key)
	if rec != nil && rec.Holder == r.Attempt {
		return m.describe(rec)
	}
	if !m.addFenceIfRoom(r) {
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

// describe returns the reply for a key that has a record: OnceDone with the stored
// response, or OnceHeld until there is one.
func (m *Machine) describe(rec *record) reply {
	result := reply{State: protocol.OnceHeld, Holder: rec.Holder, Since: m.now - rec.GrantedAt}
	if rec.done() {
		result.State = protocol.OnceDone
		result.Response = rec.Response
	}
	return result
}
