package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame holds the entries that one sync made durable. Layout, little endian:
//
//	magic u32 | payload length u32 | CRC32C of payload and padding u32 |
//	CRC32C of the header before it u32
//	payload: index before the first entry, count, then for each entry
//	         term, kind, data length (all unsigned varints) and data
//	padding up to a whole number of sectors
//
// A frame without entries restarts the log after its index. Frames fill whole
// sectors and padding is not zero: so an interrupted append can't touch an
// earlier frame, and shows in a sector that reads as zeros.
const (
	frameMagic = 0x4b52534c
	headerSize = 16
	// sectorSize is the smallest piece that a disk writes whole, in bytes.
	sectorSize = 512
	padding    = 0xff
	// MaxFrame is the largest payload of a frame, in bytes.
	MaxFrame = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is one decoded frame.
type frame struct {
	// before is the index before the first entry.
	before  uint64
	entries []Entry
}

// verdict says what the bytes at one place of a segment are.
type verdict int

const (
	whole verdict = iota
	// torn bytes were never synced: they may be cut at the end of the log.
	torn
	// corrupt bytes were synced and changed since.
	corrupt
)

func appendFrame(b []byte, before uint64, entries []Entry) []byte {
	start := len(b)
	b = append(b, make([]byte, headerSize)...)
	b = binary.AppendUvarint(b, before)
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

// decodeFrame reads the frame at offset. size is the number of bytes that it
// takes, and is set only for a whole frame.
func decodeFrame(segment []byte, offset int) (f frame, size int, v verdict) {
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
	return f, end, whole
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

// tornOrCorrupt judges a frame that fails its checksum. An append that a crash
// interrupted leaves whole sectors unwritten, which read as zeros. Anything
// else was changed after it was written.
func tornOrCorrupt(b []byte) verdict {
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

// holdsFrame reports whether a whole frame starts at any sector of b.
func holdsFrame(b []byte) bool {
	for i := 0; i+headerSize <= len(b); i += sectorSize {
		if binary.LittleEndian.Uint32(b[i:]) != frameMagic {
			continue
		}
		if _, _, v := decodeFrame(b, i); v == whole {
			return true
		}
	}
	return false
}

func decodePayload(b []byte) (frame, bool) {
	r := reader{b: b}
	f := frame{before: r.uvarint()}
	count := r.uvarint()
	if r.bad || count > uint64(len(b)) {
		return frame{}, false
	}
	f.entries = make([]Entry, 0, count)
	for i := range count {
		e := Entry{Index: f.before + 1 + i, Term: r.uvarint(), Kind: r.kind()}
		e.Data = r.bytes(r.uvarint())
		f.entries = append(f.entries, e)
	}
	return f, !r.bad && len(r.b) == 0
}

// reader takes values off the front of a payload and remembers the first that
// did not fit.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) kind() Kind {
	v := r.uvarint()
	if v > 0xff {
		r.bad = true
	}
	return Kind(v)
}

func (r *reader) bytes(n uint64) []byte {
	if r.bad || n > uint64(len(r.b)) {
		r.bad = true
		return nil
	}
	v := r.b[:n:n]
	r.b = r.b[n:]
	return v
}
