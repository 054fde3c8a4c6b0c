package rpc

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// MaxMessage is the maximum size of a message on a link, in bytes.
const MaxMessage = 32 << 20

const lengthBytes = 4

// frameCodec implements jsonrpc2.ObjectCodec. It encodes each message as a 32-bit
// big-endian length followed by JSON.
type frameCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (frameCodec) WriteObject(w io.Writer, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(b) > MaxMessage {
		return fault.New(fault.TooLarge, "message of %d bytes exceeds the limit of %d bytes", len(b), MaxMessage)
	}
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(b)))
	if _, err := w.Write(length[:]); err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec. It allocates memory only as data arrives,
// and not for the length that the frame declares.
func (frameCodec) ReadObject(r *bufio.Reader, v any) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > MaxMessage {
		return fault.New(fault.TooLarge, "message of %d bytes exceeds the limit of %d bytes", n, MaxMessage)
	}
	b, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return err
	}
	if len(b) < int(n) {
		return io.ErrUnexpectedEOF
	}
	return json.Unmarshal(b, v)
}
