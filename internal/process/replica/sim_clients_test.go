package replica

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	clientCount   = 4
	clientTimeout = 2 * time.Second
)

// operation is one operation in the history of the clients. result is nil if
// the result is not known.
type operation struct {
	read   bool
	note   note
	result *note
	call   time.Duration
	end    time.Duration
	// dropped is true if the operation certainly had no effect.
	dropped bool
}

// clients simulates clients that propose and read notes on any host. Each
// client runs one operation at a time.
type clients struct {
	sim      *sim
	history  []*operation
	content  uint64
	accepted []note
	stopped  bool
	// completed is the number of operations with a known result.
	completed int
}

func newClients(s *sim) *clients {
	return &clients{sim: s}
}

func (c *clients) start() {
	for range clientCount {
		c.scheduleNext(0)
	}
}

// scheduleNext starts the next operation of one client after a random delay.
// known is the highest note number that the client has seen.
func (c *clients) scheduleNext(known uint64) {
	s := c.sim
	s.after(s.between(5*time.Millisecond, 300*time.Millisecond), func() {
		if c.stopped {
			return
		}
		h := s.hosts[s.rng.IntN(len(s.hosts))]
		if l := s.leader(); l != nil && s.rng.IntN(2) == 0 {
			h = l
		}
		if h.engine == nil {
			c.scheduleNext(known)
			return
		}
		c.run(h, known)
	})
}

func (c *clients) run(h *host, known uint64) {
	s := c.sim
	op := &operation{call: s.now, read: s.rng.IntN(5) < 2}
	c.history = append(c.history, op)
	completed := false
	complete := func(result *note, err error) {
		if completed {
			return
		}
		completed = true
		op.end = s.now
		op.result = result
		op.dropped = err != nil && (op.read || fault.OutcomeOf(err) == fault.NotRun)
		if result != nil {
			known = max(known, result.Number)
			c.completed++
		}
		c.scheduleNext(known)
	}
	s.after(clientTimeout, func() { complete(nil, fault.New(fault.NoLeader, "timeout")) })
	if op.read {
		h.run(func() { h.engine.readBarrier(c.reader(h, &completed, complete)) })
		return
	}
	c.content++
	op.note = note{Number: known + 1, Content: c.content}
	h.run(func() { h.engine.propose(op.note.encode(), c.writer(op.note, complete)) })
}

func (c *clients) reader(h *host, completed *bool, complete func(*note, error)) pendingBarrier {
	return pendingBarrier{
		canceled: func() bool { return *completed },
		done: func(err error) {
			if err != nil {
				complete(nil, err)
				return
			}
			current := h.machine.current()
			complete(&current, nil)
		},
	}
}

func (c *clients) writer(n note, complete func(*note, error)) func([]byte, error) {
	return func(result []byte, err error) {
		if err != nil {
			complete(nil, err)
			return
		}
		current := note{Number: binary.BigEndian.Uint64(result), Content: binary.BigEndian.Uint64(result[8:])}
		if current == n {
			c.accepted = append(c.accepted, n)
		}
		complete(&current, nil)
	}
}

// model is the sequential specification that the history is checked against: a
// note is accepted only as the successor of the current note. An operation
// without a known result may have run at any time after its call.
var model = porcupine.Model{
	Init: func() any { return note{} },
	Step: func(state, input, output any) (bool, any) {
		current, op := state.(note), input.(*operation)
		if !op.read && op.note.Number == current.Number+1 {
			current = op.note
		}
		result := output.(*note)
		return result == nil || *result == current, current
	},
}

// linearizable reports whether the history is linearizable. It leaves out a
// note whose result is not known and that no result contains: clients propose
// only successors of notes that they have seen, so such a note affects no
// result.
func (c *clients) linearizable() bool {
	resultNotes := make(map[note]bool)
	for _, op := range c.history {
		if op.result != nil {
			resultNotes[*op.result] = true
		}
	}
	var operations []porcupine.Operation
	for i, op := range c.history {
		end := int64(op.end)
		if op.result == nil {
			end = math.MaxInt64
		}
		if op.dropped || (op.result == nil && (op.read || !resultNotes[op.note])) {
			continue
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: op, Call: int64(op.call), Output: op.result, Return: end,
		})
	}
	return porcupine.CheckOperations(model, operations)
}
