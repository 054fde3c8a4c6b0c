package replica

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// note is a command of the simulated state machine. It is accepted only if its
// number is the successor of the current note's number.
type note struct {
	Number, Content uint64
}

func (n note) encode() []byte {
	b := binary.BigEndian.AppendUint64(nil, n.Number)
	return binary.BigEndian.AppendUint64(b, n.Content)
}

// register is the state machine of the simulation. It holds all accepted notes;
// the last one is the current note.
type register struct {
	History []note
	Digest  uint64
}

func (r *register) current() note {
	if len(r.History) == 0 {
		return note{}
	}
	return r.History[len(r.History)-1]
}

// Apply returns the current note after the command.
func (r *register) Apply(index uint64, command []byte) []byte {
	n := note{Number: binary.BigEndian.Uint64(command), Content: binary.BigEndian.Uint64(command[8:])}
	if n.Number == r.current().Number+1 {
		r.History = append(r.History, n)
	}
	b := binary.BigEndian.AppendUint64(nil, r.Digest)
	b = binary.BigEndian.AppendUint64(b, index)
	r.Digest = xxhash.Sum64(append(b, command...))
	return r.current().encode()
}

func (r *register) Snapshot() ([]byte, error) { return cbor.Marshal(r) }

func (r *register) Restore(b []byte) error {
	*r = register{}
	return cbor.Unmarshal(b, r)
}

// logKey identifies one entry that was in any log at any time.
type logKey struct{ index, term uint64 }

// checker checks the invariants of Raft on all hosts. It holds the observations
// so far and the first violation.
type checker struct {
	err       error
	leaders   map[uint64]string   // replica IDs by term
	logs      map[logKey]uint64   // digests of the log up to an entry
	committed map[uint64]position // by index
	highest   uint64              // the highest committed index
	machines  map[uint64]uint64   // state machine digests by applied index
	elections int
}

func newChecker() *checker {
	return &checker{
		leaders: make(map[uint64]string), logs: make(map[logKey]uint64),
		committed: make(map[uint64]position), machines: make(map[uint64]uint64),
	}
}

func (c *checker) violation(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// processFailed checks an error that stopped a process. Only failures of the
// disk are expected.
func (c *checker) processFailed(h *host, err error) {
	if !fault.Is(err, fault.StorageFailed) {
		c.violation("%s failed: %v", h.address, err)
	}
}

// observe checks the invariants on one host after it has processed an event.
func (c *checker) observe(h *host) {
	core := h.engine.core
	if core.state.Cluster == 0 {
		return
	}
	last := core.tail.last()
	key := logKey{last.index, last.term}
	if seen, ok := c.logs[key]; ok && seen != last.digest {
		c.violation("log matching: entry %d of term %d on %s follows a different log than on another host", last.index, last.term, h.address)
	}
	c.logs[key] = last.digest
	c.observeCommitted(h)
	if core.role == leader && h.leaderTerm != core.state.Term {
		h.leaderTerm = core.state.Term
		c.observeLeader(h)
	}
	if seen, ok := c.machines[h.engine.applied]; ok && seen != h.machine.Digest {
		c.violation("state machine safety: the state after entry %d on %s differs from another host", h.engine.applied, h.address)
	}
	c.machines[h.engine.applied] = h.machine.Digest
}

// observeCommitted checks that no committed entry ever changes.
func (c *checker) observeCommitted(h *host) {
	core := h.engine.core
	end := min(core.commit, core.stable)
	for index := max(core.tail.base.index, 1); index <= end; index++ {
		p, _ := core.tail.at(index)
		seen, ok := c.committed[index]
		if ok && seen != p {
			c.violation("committed entry %d changed: it was of term %d and is of term %d on %s", index, seen.term, p.term, h.address)
		}
		c.committed[index] = p
	}
	c.highest = max(c.highest, end)
}

func (c *checker) observeLeader(h *host) {
	core := h.engine.core
	term, id := core.state.Term, core.state.ID
	if other, ok := c.leaders[term]; ok && other != id {
		c.violation("election safety: %s and %s lead in term %d", other, id, term)
	}
	c.leaders[term] = id
	c.elections++
	p, ok := core.tail.at(c.highest)
	if (ok && p != c.committed[c.highest]) || core.tail.lastIndex() < c.highest {
		c.violation("leader completeness: %s leads in term %d without committed entry %d", h.address, term, c.highest)
	}
}
