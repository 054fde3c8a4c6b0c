package version

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// compressFrom is the size in bytes from which notes and states are
	// compressed: a whole configuration says much the same of each route, and goes
	// to every daemon.
	compressFrom = 1 << 10
	// compressed is the first byte of a compressed form. No CBOR map begins with
	// it.
	compressed = 0
	// maxPlainBytes bounds what is decompressed: the largest message between
	// processes.
	maxPlainBytes = 32 << 20
)

// compress returns b, in a shorter form where it is long.
func compress(b []byte) ([]byte, error) {
	if len(b) < compressFrom {
		return b, nil
	}
	var out bytes.Buffer
	out.WriteByte(compressed)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "start the compression")
	}
	if _, err := w.Write(b); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "compress")
	}
	return out.Bytes(), nil
}

// decompress reads what compress wrote.
func decompress(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != compressed {
		return b, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), maxPlainBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxPlainBytes {
		return nil, fault.New(fault.TooLarge, "the decompressed form has more than %d bytes", maxPlainBytes)
	}
	return plain, nil
}
