package storage

// Kind tells the replication layer how to interpret the data of an entry.
type Kind uint8

// Entry is one log entry.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	// Term is the term of the leader that created the entry.
	Term uint64 `cbor:"2,keyasint"`
	Kind Kind   `cbor:"3,keyasint,omitempty"`
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// Size returns the approximate size of the entry in memory and in messages, in bytes.
func (e Entry) Size() int {
	return entryOverhead + len(e.Data)
}

// entryOverhead is the size of an entry without its data, in bytes.
const entryOverhead = 48
