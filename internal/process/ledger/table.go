package ledger

import "github.com/teaselrack/teaselrack/internal/connection/protocol"

// lookup returns the record of key, nil where there is none or its time is up.
func (m *Machine) lookup(key protocol.OnceKey) *record {
	rec, ok := m.records[key]
	if !ok {
		return nil
	}
	if m.now-rec.Granted >= m.limits.Retention {
		m.drop(rec)
		return nil
	}
	return rec
}

// drop takes rec out of the table; its place in the queue is left behind until
// the front passes it or the queue is compacted.
func (m *Machine) drop(rec *record) {
	if rec.gone {
		return
	}
	rec.gone = true
	m.bytes -= rec.size()
	delete(m.records, rec.Key)
	rec.Answer = nil
	m.released++
	m.compact()
}

// compact rebuilds the queue once most of it has left the table, so that it
// stays in proportion to the table.
func (m *Machine) compact() {
	if m.released < maxExpiries || m.released < len(m.records) {
		return
	}
	var kept queue[*record]
	for _, rec := range m.byGrant.all() {
		if !rec.gone {
			kept.push(rec)
		}
	}
	m.byGrant = kept
	m.released = 0
}

func (m *Machine) fenced(r protocol.OnceRequest) bool {
	f, ok := m.fences[fenceKey{r.Key, r.Attempt}]
	return ok && m.now-f.Set < m.limits.FenceLife
}

// setFence bars the attempt of r. It returns false where there is no room.
func (m *Machine) setFence(r protocol.OnceRequest) bool {
	if m.fenced(r) {
		return true
	}
	f := &fence{Name: fenceKey{r.Key, r.Attempt}}
	if !m.room(f.size()) {
		return false
	}
	m.addFence(r)
	return true
}

// addFence bars the attempt of r from now on.
func (m *Machine) addFence(r protocol.OnceRequest) {
	f := &fence{Name: fenceKey{r.Key, r.Attempt}, Set: m.now}
	if old, ok := m.fences[f.Name]; ok {
		m.lift(old)
	}
	m.fences[f.Name] = f
	m.bySet.push(f)
	m.bytes += f.size()
}

// room reports whether an entry of size more bytes may be added.
func (m *Machine) room(size int) bool {
	limit := m.limits.Bytes - m.limits.Bytes/answerReserve
	return len(m.records)+len(m.fences) < m.limits.Entries && m.bytes+size <= limit
}

// expire takes out entries whose time is up, at most maxExpiries of each sort.
func (m *Machine) expire() {
	for range maxExpiries {
		rec, ok := m.byGrant.front()
		if !ok || (!rec.gone && m.now-rec.Granted < m.limits.Retention) {
			break
		}
		m.byGrant.pop()
		m.takeOut(rec)
	}
	for range maxExpiries {
		f, ok := m.bySet.front()
		if !ok || m.now-f.Set < m.limits.FenceLife {
			break
		}
		m.bySet.pop()
		m.lift(f)
	}
}

// takeOut removes a record that has just left the front of the queue.
func (m *Machine) takeOut(rec *record) {
	if rec.gone {
		m.released--
		return
	}
	rec.gone = true
	m.bytes -= rec.size()
	delete(m.records, rec.Key)
}

func (m *Machine) lift(f *fence) {
	if m.fences[f.Name] != f {
		return
	}
	m.bytes -= f.size()
	delete(m.fences, f.Name)
}
