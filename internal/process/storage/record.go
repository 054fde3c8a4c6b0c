package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// HardState is the state that a replica must not lose in a restart, apart from its log
// and snapshot. Without it, a replica could vote twice in one term.
type HardState struct {
	// ID is the random ID of this replica: 16 hexadecimal digits.
	ID string `cbor:"1,keyasint"`
	// Cluster is the random ID that the founder assigned to the group. It is 0 while
	// the replica belongs to no group.
	Cluster uint64 `cbor:"2,keyasint,omitempty"`
	Term    uint64 `cbor:"3,keyasint,omitempty"`
	// Vote is the ID of the candidate voted for in Term.
	Vote string `cbor:"4,keyasint,omitempty"`
}

// Snapshot is the state of the replicated state machine after the entry Index has
// been applied.
type Snapshot struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Digest is the digest of the log up to and including Index.
	Digest uint64 `cbor:"3,keyasint"`
	// Members is the encoded membership of the group after the entry Index.
	Members []byte `cbor:"4,keyasint"`
	Data    []byte `cbor:"5,keyasint"`
}

// checksumSize is the size of the CRC32C checksum before a record, in bytes.
const checksumSize = 4

// EncodeSnapshot returns the stored encoding of s, including its checksum.
func EncodeSnapshot(s Snapshot) ([]byte, error) { return encodeRecord(s) }

// DecodeSnapshot decodes the result of EncodeSnapshot. Errors: Damaged.
func DecodeSnapshot(b []byte) (Snapshot, error) {
	var s Snapshot
	return s, decodeRecord(b, &s)
}

func encodeRecord(v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode record")
	}
	b := make([]byte, checksumSize, checksumSize+len(payload))
	binary.LittleEndian.PutUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...), nil
}

func decodeRecord(b []byte, v any) error {
	if len(b) < checksumSize {
		return fault.New(fault.Damaged, "record of %d bytes is too short for a checksum", len(b))
	}
	payload := b[checksumSize:]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b) {
		return fault.New(fault.Damaged, "record checksum mismatch")
	}
	if err := cbor.Unmarshal(payload, v); err != nil {
		return fault.Wrap(fault.Damaged, err, "decode record")
	}
	return nil
}

// readRecord decodes the record in the file name into v. found is false if the file
// does not exist.
func readRecord(d Disk, name string, v any) (found bool, err error) {
	b, err := d.Read(name)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fault.Wrap(fault.StorageFailed, err, "read %s", name)
	}
	return true, decodeRecord(b, v)
}
