package storage

import (
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzDecodeFrame decodes arbitrary bytes as a log frame. A frame that is accepted must
// not be longer than the input, and must be unchanged after it is encoded and decoded
// again.
func FuzzDecodeFrame(f *testing.F) {
	f.Add(appendFrame(nil, 0, nil))
	f.Add(appendFrame(nil, 7, []Entry{{Index: 8, Term: 2, Kind: 1, Data: []byte("data")}, {Index: 9, Term: 3}}))
	f.Add(appendFrame(nil, 1<<40, []Entry{{Term: 1 << 50, Data: make([]byte, 2*sectorSize)}})[:600])
	f.Add(make([]byte, sectorSize))
	f.Fuzz(func(t *testing.T, b []byte) {
		decoded, size, status := decodeFrame(b, 0)
		if status != valid {
			must.Eq(t, 0, size)
			return
		}
		must.LessEq(t, len(b), size)
		roundTripped, _, status := decodeFrame(appendFrame(nil, decoded.prevIndex, decoded.entries), 0)
		must.Eq(t, valid, status)
		must.Eq(t, decoded, roundTripped)
	})
}

// FuzzDecodePayload tests the payload parser directly, because the checksums reject
// almost all fuzzed frames before they reach it.
func FuzzDecodePayload(f *testing.F) {
	f.Add([]byte{7, 1, 2, 1, 4, 'd', 'a', 't', 'a'})
	f.Add([]byte{0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		decoded, ok := decodePayload(b)
		if !ok {
			return
		}
		size := 0
		for _, e := range decoded.entries {
			size += len(e.Data)
		}
		must.LessEq(t, len(b), size)
	})
}
