package ledger

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// image is the snapshot of a shard; entries stand by age, oldest first.
type image struct {
	Now     time.Duration `cbor:"1,keyasint"`
	Records []record      `cbor:"2,keyasint,omitempty"`
	Fences  []fence       `cbor:"3,keyasint,omitempty"`
}

// Snapshot returns the whole shard. Two shards that ran the same commands
// return the same bytes.
func (m *Machine) Snapshot() ([]byte, error) { return m.Image()() }

// Image implements replica.Imager: it copies the entries, which takes far less
// time than encoding them.
func (m *Machine) Image() func() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	img := image{Now: m.now}
	if len(m.records) > 0 {
		img.Records = make([]record, 0, len(m.records))
	}
	for _, rec := range m.byGrant.all() {
		if !rec.gone {
			img.Records = append(img.Records, *rec)
		}
	}
	for _, f := range m.bySet.all() {
		if m.fences[f.Name] == f {
			img.Fences = append(img.Fences, *f)
		}
	}
	return img.encode
}

func (img image) encode() ([]byte, error) {
	b, err := canonical.Marshal(img)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode the ledger")
	}
	return b, nil
}

// Restore replaces the shard by a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	var img image
	if err := decoder.Unmarshal(snapshot, &img); err != nil {
		return fault.Wrap(fault.Damaged, err, "decode the ledger")
	}
	fresh := NewMachine(m.limits)
	for i := range img.Records {
		rec := &img.Records[i]
		fresh.records[rec.Key] = rec
		fresh.byGrant.push(rec)
		fresh.bytes += rec.size()
	}
	for i := range img.Fences {
		f := &img.Fences[i]
		fresh.fences[f.Name] = f
		fresh.bySet.push(f)
		fresh.bytes += f.size()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = img.Now
	m.records = fresh.records
	m.fences = fresh.fences
	m.byGrant = fresh.byGrant
	m.bySet = fresh.bySet
	m.released = 0
	m.bytes = fresh.bytes
	return nil
}

// decoder allows as many entries as a shard may hold.
var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	const maxElements = 1 << 27
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
