package replica

import (
	"maps"
	"slices"

	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// proposal is one command whose caller waits for the result.
type proposal struct {
	command []byte
	term    uint64
	done    func([]byte, error)
}

// proposals are the pending proposals of one replica.
type proposals struct {
	// staged proposals are appended to the log together at the next flush.
	staged []proposal
	// waiting holds the proposals in the log, by index.
	waiting map[uint64]proposal
}

// proposeStaged appends the staged commands to the leader's log.
func (e *engine) proposeStaged() {
	staged := e.proposals.staged
	if len(staged) == 0 {
		return
	}
	e.proposals.staged = nil
	if err := e.checkLeader(); err != nil {
		for _, p := range staged {
			p.done(nil, err)
		}
		return
	}
	commands := make([][]byte, len(staged))
	for i := range staged {
		commands[i] = staged[i].command
	}
	first := e.core.propose(commands...)
	if e.proposals.waiting == nil {
		e.proposals.waiting = make(map[uint64]proposal)
	}
	for i, p := range staged {
		p.command = nil
		p.term = e.core.state.Term
		e.proposals.waiting[first+uint64(i)] = p
	}
}

// onApplied completes the proposal at the index of entry. The proposal fails if
// an entry of another leader was committed at that index.
func (ps *proposals) onApplied(entry storage.Entry, result []byte) {
	p, ok := ps.waiting[entry.Index]
	if !ok {
		return
	}
	delete(ps.waiting, entry.Index)
	if p.term != entry.Term {
		p.done(nil, errLeadershipLost())
		return
	}
	p.done(result, nil)
}

func (ps *proposals) fail(err error) {
	for _, index := range slices.Sorted(maps.Keys(ps.waiting)) {
		p := ps.waiting[index]
		delete(ps.waiting, index)
		p.done(nil, err)
	}
	for _, p := range ps.staged {
		p.done(nil, err)
	}
	ps.staged = nil
}
