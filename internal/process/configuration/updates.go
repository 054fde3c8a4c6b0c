package configuration

import "github.com/teaselrack/teaselrack/internal/version"

// stateUpdate is the update that led to one accepted state. It is kept in memory only.
type stateUpdate struct {
	number uint64
	// before and after are the content digests of the states around it.
	before, after string
	encoded       []byte
}

// recordUpdate keeps the update from the current state to next. m.mu must be held.
func (m *Machine) recordUpdate(next *version.State) {
	encoded, err := version.UpdateBetween(m.state, next).Encode()
	if err != nil {
		m.updates = nil
		return
	}
	m.updates = append(m.updates, stateUpdate{
		number: next.Number(), before: m.state.ContentDigest(), after: next.ContentDigest(), encoded: encoded,
	})
	if len(m.updates) > m.historySize {
		m.updates = append([]stateUpdate(nil), m.updates[1:]...)
	}
}

// UpdatesSince returns the encoded updates that lead from the state with this number
// and content digest to the current state, in order. ok is false if they are not
// known or take at least limit bytes, so that the complete content has to be sent
// instead.
func (m *Machine) UpdatesSince(number uint64, contentDigest string, limit int) (updates [][]byte, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if number == m.state.Number() {
		return nil, contentDigest == m.state.ContentDigest()
	}
	digest, size := "", 0
	for _, u := range m.updates {
		if u.number <= number {
			continue
		}
		if len(updates) == 0 && (u.number != number+1 || u.before != contentDigest) || len(updates) > 0 && u.before != digest {
			return nil, false
		}
		digest = u.after
		size += len(u.encoded)
		updates = append(updates, u.encoded)
	}
	return updates, digest == m.state.ContentDigest() && size < limit
}

// Content returns the current state and its encoded content, which is encoded once
// for each state. Errors: Internal.
func (m *Machine) Content() (*version.State, []byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.contentOf != m.state {
		encoded, err := m.state.EncodeContent()
		if err != nil {
			return nil, nil, err
		}
		m.contentOf, m.content = m.state, encoded
	}
	return m.state, m.content, nil
}
