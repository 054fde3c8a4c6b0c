package rpc

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/listener"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// MaxMessage is the maximum size of a message on a link, in bytes.
const MaxMessage = 32 << 20

const (
	lengthBytes = 4
	// compressedFlag marks the length of a compressed frame. Lengths of messages
	// do not reach it.
	compressedFlag = 1 << 31
	// compressionLevel is the lowest level at which small messages are compressed
	// with the history of the link.
	compressionLevel = 2
)

// frameCodec implements jsonrpc2.ObjectCodec for one link. It encodes each message
// as a 32-bit big-endian length followed by JSON. In a compressed frame, the length
// has compressedFlag set and is followed by the length of the JSON and by that many
// bytes of a DEFLATE stream, which extends over all compressed frames of one
// direction and is flushed after each message. Control messages between two
// replicas repeat most of their text, so a message shrinks to a few dozen bytes.
type frameCodec struct {
	// conn is the connection that a server accepted, nil for that of a client. reservation
	// is for the frame that is being read.
	conn        net.Conn
	reservation *listener.Reservation
	// compress is true once frames may be sent compressed.
	compress atomic.Bool
	// written and read are the sizes of the last frame in each direction. They are
	// for the goroutine that wrote or read it.
	written, read int

	// The sender uses compressor and compressed, the receiver decompressor and in.
	compressor   *flate.Writer
	compressed   bytes.Buffer
	decompressor io.Reader
	in           bytes.Buffer
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c *frameCodec) WriteObject(w io.Writer, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(b) > MaxMessage {
		return fault.New(fault.TooLarge, "message of %d bytes exceeds the limit of %d bytes", len(b), MaxMessage)
	}
	if c.compress.Load() {
		return c.writeCompressed(w, b)
	}
	c.written = lengthBytes + len(b)
	if err := writeLength(w, uint32(len(b))); err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

func (c *frameCodec) writeCompressed(w io.Writer, b []byte) error {
	if c.compressor == nil {
		compressor, err := flate.NewWriter(&c.compressed, compressionLevel)
		if err != nil {
			return fault.Wrap(fault.Internal, err, "create the DEFLATE writer of a link")
		}
		c.compressor = compressor
	}
	c.compressed.Reset()
	if _, err := c.compressor.Write(b); err != nil {
		return err
	}
	if err := c.compressor.Flush(); err != nil {
		return err
	}
	c.written = 2*lengthBytes + c.compressed.Len()
	if err := writeLength(w, uint32(c.compressed.Len())|compressedFlag); err != nil {
		return err
	}
	if err := writeLength(w, uint32(len(b))); err != nil {
		return err
	}
	_, err := w.Write(c.compressed.Bytes())
	return err
}

func writeLength(w io.Writer, n uint32) error {
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], n)
	_, err := w.Write(length[:])
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec. It allocates memory only as data arrives,
// and not for the length that the frame declares.
func (c *frameCodec) ReadObject(r *bufio.Reader, v any) error {
	n, err := readLength(r)
	if err != nil {
		return err
	}
	if c.conn != nil {
		if err := c.conn.SetReadDeadline(time.Now().Add(frameTimeout)); err != nil {
			return err
		}
	}
	if err := c.readFrame(r, n, v); err != nil {
		return err
	}
	c.reservation.Release()
	if c.conn == nil {
		return nil
	}
	listener.Served(c.conn)
	return c.conn.SetReadDeadline(time.Time{})
}

// readFrame reads the frame that follows the length n.
func (c *frameCodec) readFrame(r *bufio.Reader, n uint32, v any) error {
	if n&compressedFlag != 0 {
		return c.readCompressed(r, n&^compressedFlag, v)
	}
	c.read = lengthBytes + int(n)
	b, err := readExactly(c.reservation.Reader(r), n)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}

func (c *frameCodec) readCompressed(r *bufio.Reader, n uint32, v any) error {
	plain, err := readLength(r)
	if err != nil {
		return err
	}
	if plain > MaxMessage {
		return fault.New(fault.BadRequest, "malformed length of a compressed message")
	}
	c.read = 2*lengthBytes + int(n)
	frame, err := readExactly(c.reservation.Reader(r), n)
	if err != nil {
		return err
	}
	if c.decompressor == nil {
		c.decompressor = flate.NewReader(&c.in)
	}
	c.in.Write(frame)
	b, err := readExactly(c.reservation.Reader(c.decompressor), plain)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}

// readLength reads a length, without the flag at most MaxMessage.
func readLength(r io.Reader) (uint32, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n&^compressedFlag > MaxMessage {
		return 0, fault.New(fault.TooLarge, "message of %d bytes exceeds the limit of %d bytes", n&^compressedFlag, MaxMessage)
	}
	return n, nil
}

// readExactly reads n bytes. It returns io.ErrUnexpectedEOF if there are fewer.
func readExactly(r io.Reader, n uint32) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(b) < int(n) {
		return nil, io.ErrUnexpectedEOF
	}
	return b, nil
}
