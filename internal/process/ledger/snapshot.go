package ledger

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// shardSnapshot is the snapshot of a shard. Its entries are sorted oldest first.
type shardSnapshot struct {
	Now     time.Duration `cbor:"1,keyasint"`
	Records []record      `cbor:"2,keyasint,omitempty"`
	Fences  []fence       `cbor:"3,keyasint,omitempty"`
}

// Snapshot returns the encoded shard. Two shards that applied the same commands
// return the same bytes. Errors: Internal.
func (m *Machine) Snapshot() ([]byte, error) { return m.CaptureSnapshot()() }

// CaptureSnapshot implements replica.AsyncSnapshotter. It copies the entries, which
// takes much less time than encoding them. The function that it returns encodes the
// copy.
func (m *Machine) CaptureSnapshot() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	snapshot := shardSnapshot{Now: m.now}
	if len(m.records) > 0 {
		snapshot.Records = make([]record, 0, len(m.records))
	}
	for _, rec := range m.recordQueue.all() {
		if !rec.removed {
			snapshot.Records = append(snapshot.Records, *rec)
		}
	}
	for _, f := range m.fenceQueue.all() {
		if m.fences[f.Name] == f {
			snapshot.Fences = append(snapshot.Fences, *f)
		}
	}
	return snapshot.encode
}

func (snapshot shardSnapshot) encode() ([]byte, error) {
	b, err := canonical.Marshal(snapshot)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode ledger snapshot")
	}
	return b, nil
}

// Restore replaces the contents of the shard with those of a snapshot. Errors:
// Damaged if the snapshot cannot be decoded; the shard is then unchanged.
func (m *Machine) Restore(encoded []byte) error {
	var snapshot shardSnapshot
	if err := decoder.Unmarshal(encoded, &snapshot); err != nil {
		return fault.Wrap(fault.Damaged, err, "decode ledger snapshot")
	}
	fresh := NewMachine(m.limits)
	for i := range snapshot.Records {
		rec := &snapshot.Records[i]
		fresh.records[rec.Key] = rec
		fresh.recordQueue.push(rec)
		fresh.bytes += rec.size()
	}
	for i := range snapshot.Fences {
		f := &snapshot.Fences[i]
		fresh.fences[f.Name] = f
		fresh.fenceQueue.push(f)
		fresh.bytes += f.size()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = snapshot.Now
	m.records = fresh.records
	m.fences = fresh.fences
	m.recordQueue = fresh.recordQueue
	m.fenceQueue = fresh.fenceQueue
	m.tombstones = 0
	m.bytes = fresh.bytes
	return nil
}

// decoder accepts arrays as long as a shard may have entries; the default of the
// CBOR library is lower.
var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	const maxElements = 1 << 27
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
