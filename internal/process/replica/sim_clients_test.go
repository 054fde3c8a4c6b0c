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

// operation is one entry of the clients' history; answer is nil where it is
// not known how the operation ended.
type operation struct {
	read   bool
	note   note
	answer *note
	call   time.Duration
	end    time.Duration
	// dropped is true where the operation was certainly not taken.
	dropped bool
}

// clients propose and read notes on any host, one operation each at a time.
type clients struct {
	sim      *sim
	history  []*operation
	content  uint64
	accepted []note
	stopped  bool
	// answered counts operations that ended with an answer.
	answered int
}

func newClients(s *sim) *clients {
	return &clients{sim: s}
}

func (c *clients) start() {
	for range clientCount {
		c.think(0)
	}
}

// think starts the next operation of one client after a pause. known is the
// highest number that the client has seen.
func (c *clients) think(known uint64) {
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
			c.think(known)
			return
		}
		c.operate(h, known)
	})
}

func (c *clients) operate(h *host, known uint64) {
	s := c.sim
	op := &operation{call: s.now, read: s.rng.IntN(5) < 2}
	c.history = append(c.history, op)
	ended := false
	end := func(answer *note, err error) {
		if ended {
			return
		}
		ended = true
		op.end = s.now
		op.answer = answer
		op.dropped = err != nil && (op.read || fault.OutcomeOf(err) == fault.NotRun)
		if answer != nil {
			known = max(known, answer.Number)
			c.answered++
		}
		c.think(known)
	}
	s.after(clientTimeout, func() { end(nil, fault.New(fault.NoLeader, "timeout")) })
	if op.read {
		h.work(func() { h.engine.confirm(c.reader(h, &ended, end)) })
		return
	}
	c.content++
	op.note = note{Number: known + 1, Content: c.content}
	h.work(func() { h.engine.propose(op.note.encode(), c.writer(op.note, end)) })
}

func (c *clients) reader(h *host, ended *bool, end func(*note, error)) confirmation {
	return confirmation{
		gone: func() bool { return *ended },
		done: func(err error) {
			if err != nil {
				end(nil, err)
				return
			}
			current := h.machine.current()
			end(&current, nil)
		},
	}
}

func (c *clients) writer(n note, end func(*note, error)) func([]byte, error) {
	return func(result []byte, err error) {
		if err != nil {
			end(nil, err)
			return
		}
		current := note{Number: binary.BigEndian.Uint64(result), Content: binary.BigEndian.Uint64(result[8:])}
		if current == n {
			c.accepted = append(c.accepted, n)
		}
		end(&current, nil)
	}
}

// model is the register that the history must be equal to: a note counts only
// as the successor of the one in force. An operation without a known end may
// have run at any time after its call.
var model = porcupine.Model{
	Init: func() any { return note{} },
	Step: func(state, input, output any) (bool, any) {
		current, op := state.(note), input.(*operation)
		if !op.read && op.note.Number == current.Number+1 {
			current = op.note
		}
		answer := output.(*note)
		return answer == nil || *answer == current, current
	},
}

// linearizable judges the whole history. A note whose end is not known and that
// no answer shows is left out: each client proposes only successors of notes
// that it was shown, so such a note has no part in what the answers say.
func (c *clients) linearizable() bool {
	shown := make(map[note]bool)
	for _, op := range c.history {
		if op.answer != nil {
			shown[*op.answer] = true
		}
	}
	var operations []porcupine.Operation
	for i, op := range c.history {
		end := int64(op.end)
		if op.answer == nil {
			end = math.MaxInt64
		}
		if op.dropped || (op.answer == nil && (op.read || !shown[op.note])) {
			continue
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: op, Call: int64(op.call), Output: op.answer, Return: end,
		})
	}
	return porcupine.CheckOperations(model, operations)
}
