package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame contains the entries that are written and synced together. Its layout,
// little endian:
//
//	magic u32 | payload length u32 | CRC32C of payload and padding u32 |
//	CRC32C of the header before it u32
//	payload: index before the first entry, count, then for each entry
//	         term, kind, data length (all unsigned varints) and data
//	padding up to a whole number of sectors
//
// A frame without entries resets the log: the next entry follows the frame's index.
// Frames fill whole sectors, so an interrupted append cannot change an earlier frame.
// The padding is not zero, so that it differs from an unwritten sector, which reads as
// zeros.
const (
	frameMagic = 0x4b52534c
	// headerSize is the size of the header of a frame, in bytes.
	headerSize = 16
	// sectorSize is the unit that a disk writes atomically, in bytes.
	sectorSize = 512
	// padding is the value of each padding byte.
	padding = 0xff
	// MaxFrame is the largest payload of a frame, in bytes.
	MaxFrame = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type frame struct {
	// prevIndex is the index before that of the first entry.
	prevIndex uint64
	entries   []Entry
}

// frameStatus is the result of decoding a frame at one offset of a segment.
type frameStatus int

const (
	valid frameStatus = iota
	// torn means that the bytes were never synced. At the end of the log they may be
	// truncated.
	torn
	// corrupt means that the bytes changed after they were synced.
	corrupt
)

func appendFrame(b []byte, prevIndex uint64, entries []Entry) []byte {
	start := len(b)
	b = append(b, make([]byte, headerSize)...)
	b = binary.AppendUvarint(b, prevIndex)
	b = binary.AppendUvarint(b, uint64(len(entries)))
	for i := range entries {
		b = binary.AppendUvarint(b, entries[i].Term)
		b = binary.AppendUvarint(b, uint64(entries[i].Kind))
		b = binary.AppendUvarint(b, uint64(len(entries[i].Data)))
		b = append(b, entries[i].Data...)
	}
	length := len(b) - start - headerSize
	for (len(b)-start)%sectorSize != 0 {
		b = append(b, padding)
	}
	header, body := b[start:start+headerSize], b[start+headerSize:]
	binary.LittleEndian.PutUint32(header[0:], frameMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(length))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(header[12:], crc32.Checksum(header[:12], castagnoli))
	return b
}

// decodeFrame decodes the frame at offset. size is the length of the frame including
// its header and padding, and is 0 unless status is valid.
func decodeFrame(segment []byte, offset int) (f frame, size int, status frameStatus) {
	b := segment[offset:]
	if len(b) < headerSize {
		return frame{}, 0, torn
	}
	length, ok := decodeHeader(b)
	if !ok {
		return frame{}, 0, tornOrCorrupt(b[:min(len(b), sectorSize)])
	}
	end := (headerSize + length + sectorSize - 1) / sectorSize * sectorSize
	if end > len(b) {
		return frame{}, 0, torn
	}
	if crc32.Checksum(b[headerSize:end], castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return frame{}, 0, tornOrCorrupt(b[:end])
	}
	f, ok = decodePayload(b[headerSize : headerSize+length])
	if !ok {
		return frame{}, 0, corrupt
	}
	return f, end, valid
}

func decodeHeader(b []byte) (length int, ok bool) {
	if binary.LittleEndian.Uint32(b) != frameMagic {
		return 0, false
	}
	if crc32.Checksum(b[:12], castagnoli) != binary.LittleEndian.Uint32(b[12:]) {
		return 0, false
	}
	n := binary.LittleEndian.Uint32(b[4:])
	return int(n), n <= MaxFrame
}

// tornOrCorrupt classifies a frame that fails its checksum. An append that was
// interrupted by a crash leaves whole sectors unwritten, which read as zeros. A frame
// without such a sector was changed after it was written.
func tornOrCorrupt(b []byte) frameStatus {
	for len(b) > 0 {
		n := min(sectorSize, len(b))
		if allZero(b[:n]) {
			return torn
		}
		b = b[n:]
	}
	return corrupt
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// containsFrame reports whether a valid frame starts at any sector of b.
func containsFrame(b []byte) bool {
	for i := 0; i+headerSize <= len(b); i += sectorSize {
		if binary.LittleEndian.Uint32(b[i:]) != frameMagic {
			continue
		}
		if _, _, status := decodeFrame(b, i); status == valid {
			return true
		}
	}
	return false
}

func decodePayload(b []byte) (frame, bool) {
	r := payloadReader{b: b}
	f := frame{prevIndex: r.uvarint()}
	count := r.uvarint()
	if r.invalid || count > uint64(len(b)) {
		return frame{}, false
	}
	f.entries = make([]Entry, 0, count)
	for i := range count {
		e := Entry{Index: f.prevIndex + 1 + i, Term: r.uvarint(), Kind: r.kind()}
		e.Data = r.bytes(r.uvarint())
		f.entries = append(f.entries, e)
	}
	return f, !r.invalid && len(r.b) == 0
}

// payloadReader reads consecutive values from a payload. invalid is set once a value
// could not be read.
type payloadReader struct {
	b       []byte
	invalid bool
}

func (r *payloadReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.invalid = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *payloadReader) kind() Kind {
	v := r.uvarint()
	if v > 0xff {
		r.invalid = true
	}
	return Kind(v)
}

func (r *payloadReader) bytes(n uint64) []byte {
	if r.invalid || n > uint64(len(r.b)) {
		r.invalid = true
		return nil
	}
	v := r.b[:n:n]
	r.b = r.b[n:]
	return v
}
