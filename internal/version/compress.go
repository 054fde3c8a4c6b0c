package version

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// compressMinBytes is the size in bytes from which notes and states are
	// compressed. A full configuration repeats much of its text for each route,
	// and every daemon receives it.
	compressMinBytes = 1 << 10
	// compressedMarker is the first byte of compressed data. No CBOR map begins
	// with it.
	compressedMarker = 0
	// maxPlainBytes bounds the size of decompressed data. It is the size of the
	// largest message between processes.
	maxPlainBytes = 32 << 20
)

// compress returns b compressed with DEFLATE after a marker byte, or b itself
// if it is shorter than compressMinBytes.
func compress(b []byte) ([]byte, error) {
	if len(b) < compressMinBytes {
		return b, nil
	}
	var out bytes.Buffer
	out.WriteByte(compressedMarker)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "create the DEFLATE writer")
	}
	if _, err := w.Write(b); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "compress")
	}
	return out.Bytes(), nil
}

// decompress reverses compress. It returns data without the marker byte as it
// is. Errors: TooLarge above maxPlainBytes, and those of package flate.
func decompress(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != compressedMarker {
		return b, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), maxPlainBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxPlainBytes {
		return nil, fault.New(fault.TooLarge, "the decompressed data has more than %d bytes", maxPlainBytes)
	}
	return plain, nil
}
