package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"

	"github.com/fxamacker/cbor/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// HardState is what a replica must remember to keep its promises.
type HardState struct {
	// ID is the random id of this replica: 16 hexadecimal digits.
	ID string `cbor:"1,keyasint"`
	// Cluster is the random number that the founder gave to the group; 0 on a
	// replica that belongs to no group yet.
	Cluster uint64 `cbor:"2,keyasint,omitempty"`
	Term    uint64 `cbor:"3,keyasint,omitempty"`
	// Vote is the id of the candidate voted for in Term.
	Vote string `cbor:"4,keyasint,omitempty"`
}

// Snapshot is the state of the layer above after the entry Index.
type Snapshot struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Digest is the digest of the log up to Index.
	Digest uint64 `cbor:"3,keyasint"`
	// Members is the encoded membership after Index.
	Members []byte `cbor:"4,keyasint"`
	Data    []byte `cbor:"5,keyasint"`
}

const checksumSize = 4

// EncodeSnapshot returns the stored form of s, with its checksum.
func EncodeSnapshot(s Snapshot) ([]byte, error) { return encodeRecord(s) }

// DecodeSnapshot reads what EncodeSnapshot returned. Errors: Damaged.
func DecodeSnapshot(b []byte) (Snapshot, error) {
	var s Snapshot
	return s, decodeRecord(b, &s)
}

func encodeRecord(v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode a record")
	}
	b := make([]byte, checksumSize, checksumSize+len(payload))
	binary.LittleEndian.PutUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...), nil
}

func decodeRecord(b []byte, v any) error {
	if len(b) < checksumSize {
		return fault.New(fault.Damaged, "a record has %d bytes", len(b))
	}
	payload := b[checksumSize:]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b) {
		return fault.New(fault.Damaged, "a record fails its checksum")
	}
	if err := cbor.Unmarshal(payload, v); err != nil {
		return fault.Wrap(fault.Damaged, err, "decode a record")
	}
	return nil
}

// readRecord reads the record in the file name. found is false where the file
// is missing.
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
