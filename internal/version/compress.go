package version

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"

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

// encode returns the canonical CBOR encoding of v, compressed if it has at least
// compressMinBytes. what names v in errors. Errors: Internal.
func encode(what string, v any) ([]byte, error) {
	b, err := canonical.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode the %s", what)
	}
	return compress(b)
}

// decode decodes the result of encode, compressed or not, into v. Errors: those of
// decompress and of package cbor.
func decode(b []byte, v any) error {
	plain, err := decompress(b)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(plain, v)
}

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
