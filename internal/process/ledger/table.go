package ledger

import "github.com/teaselrack/teaselrack/internal/connection/protocol"

// lookup returns the record of key, or nil if there is none or it has expired.
func (m *Machine) lookup(key protocol.OnceKey) *record {
	rec, ok := m.records[key]
	if !ok {
		return nil
	}
	if m.now-rec.GrantedAt >= m.limits.Retention {
		m.remove(rec)
		return nil
	}
	return rec
}

// remove removes rec from the table. Its entry in the queue stays until it reaches
// the front or the queue is compacted.
func (m *Machine) remove(rec *record) {
	if rec.removed {
		return
	}
	rec.removed = true
	m.bytes -= rec.size()
	delete(m.records, rec.Key)
	rec.Response = nil
	m.tombstones++
	m.compact()
}

// compact rebuilds the queue once at least half of its records, and at least
// maxExpiries, have been removed from the table, so that its size stays in
// proportion to the table.
func (m *Machine) compact() {
	if m.tombstones < maxExpiries || m.tombstones < len(m.records) {
		return
	}
	var kept queue[*record]
	for _, rec := range m.recordQueue.all() {
		if !rec.removed {
			kept.push(rec)
		}
	}
	m.recordQueue = kept
	m.tombstones = 0
}

// fenced reports whether the attempt of r is fenced.
func (m *Machine) fenced(r protocol.OnceRequest) bool {
	f, ok := m.fences[fenceKey{r.Key, r.Attempt}]
	return ok && m.now-f.SetAt < m.limits.FenceTTL
}

// addFenceIfRoom fences the attempt of r unless it is fenced already. It returns
// false if there is no room for the fence.
func (m *Machine) addFenceIfRoom(r protocol.OnceRequest) bool {
	if m.fenced(r) {
		return true
	}
	f := &fence{Name: fenceKey{r.Key, r.Attempt}}
	if !m.hasRoom(f.size()) {
		return false
	}
	m.addFence(r)
	return true
}

// addFence fences the attempt of r, starting at the current time.
func (m *Machine) addFence(r protocol.OnceRequest) {
	f := &fence{Name: fenceKey{r.Key, r.Attempt}, SetAt: m.now}
	if old, ok := m.fences[f.Name]; ok {
		m.removeFence(old)
	}
	m.fences[f.Name] = f
	m.fenceQueue.push(f)
	m.bytes += f.size()
}

// hasRoom reports whether an entry of size more bytes may be added.
func (m *Machine) hasRoom(size int) bool {
	limit := m.limits.Bytes - m.limits.Bytes/responseReserveDivisor
	return len(m.records)+len(m.fences) < m.limits.Entries && m.bytes+size <= limit
}

// expire removes expired entries, at most maxExpiries records and as many fences.
func (m *Machine) expire() {
	for range maxExpiries {
		rec, ok := m.recordQueue.front()
		if !ok || (!rec.removed && m.now-rec.GrantedAt < m.limits.Retention) {
			break
		}
		m.recordQueue.pop()
		m.removeExpired(rec)
	}
	for range maxExpiries {
		f, ok := m.fenceQueue.front()
		if !ok || m.now-f.SetAt < m.limits.FenceTTL {
			break
		}
		m.fenceQueue.pop()
		m.removeFence(f)
	}
}

// removeExpired removes a record that has just been popped from the queue.
func (m *Machine) removeExpired(rec *record) {
	if rec.removed {
		m.tombstones--
		return
	}
	rec.removed = true
	m.bytes -= rec.size()
	delete(m.records, rec.Key)
}

// removeFence removes f, unless a newer fence has replaced it.
func (m *Machine) removeFence(f *fence) {
	if m.fences[f.Name] != f {
		return
	}
	m.bytes -= f.size()
	delete(m.fences, f.Name)
}
