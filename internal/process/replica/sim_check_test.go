package replica

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// note is a command of the simulated machine: it is accepted only as the
// successor of the number in force.
type note struct {
	Number, Content uint64
}

func (n note) encode() []byte {
	b := binary.BigEndian.AppendUint64(nil, n.Number)
	return binary.BigEndian.AppendUint64(b, n.Content)
}

// register is the machine of the simulation: the note in force, and every note
// that was accepted.
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

// Apply returns the note in force after the command.
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

// logKey names one entry that was in any log at any time.
type logKey struct{ index, term uint64 }

// checker holds what has been seen so far, and the first broken invariant.
type checker struct {
	err       error
	leaders   map[uint64]string
	logs      map[logKey]uint64
	committed map[uint64]position
	highest   uint64
	machines  map[uint64]uint64
	elections int
}

func newChecker() *checker {
	return &checker{
		leaders: make(map[uint64]string), logs: make(map[logKey]uint64),
		committed: make(map[uint64]position), machines: make(map[uint64]uint64),
	}
}

func (c *checker) broken(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// failed judges an error that ends a process.
func (c *checker) failed(h *host, err error) {
	if !fault.Is(err, fault.StorageFailed) {
		c.broken("%s failed: %v", h.address, err)
	}
}

// observe checks the invariants on one host after it worked.
func (c *checker) observe(h *host) {
	core := h.engine.core
	if core.state.Cluster == 0 {
		return
	}
	last := core.tail.last()
	key := logKey{last.index, last.term}
	if seen, ok := c.logs[key]; ok && seen != last.digest {
		c.broken("log matching: entry %d of term %d on %s follows another log than elsewhere", last.index, last.term, h.address)
	}
	c.logs[key] = last.digest
	c.observeCommitted(h)
	if core.role == leader && h.leaderTerm != core.state.Term {
		h.leaderTerm = core.state.Term
		c.observeLeader(h)
	}
	if seen, ok := c.machines[h.engine.applied]; ok && seen != h.machine.Digest {
		c.broken("machines differ after entry %d on %s", h.engine.applied, h.address)
	}
	c.machines[h.engine.applied] = h.machine.Digest
}

// observeCommitted checks that no committed entry is ever another one.
func (c *checker) observeCommitted(h *host) {
	core := h.engine.core
	end := min(core.commit, core.stable)
	for index := max(core.tail.base.index, 1); index <= end; index++ {
		p, _ := core.tail.at(index)
		seen, ok := c.committed[index]
		if ok && seen != p {
			c.broken("committed entry %d was term %d, is term %d on %s", index, seen.term, p.term, h.address)
		}
		c.committed[index] = p
	}
	c.highest = max(c.highest, end)
}

func (c *checker) observeLeader(h *host) {
	core := h.engine.core
	term, id := core.state.Term, core.state.ID
	if other, ok := c.leaders[term]; ok && other != id {
		c.broken("election safety: %s and %s lead in term %d", other, id, term)
	}
	c.leaders[term] = id
	c.elections++
	p, ok := core.tail.at(c.highest)
	if (ok && p != c.committed[c.highest]) || core.tail.lastIndex() < c.highest {
		c.broken("leader completeness: %s leads in term %d without committed entry %d", h.address, term, c.highest)
	}
}
