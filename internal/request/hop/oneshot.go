package hop

import (
	"bytes"
	"io"
)

// oneShot is a request body of a type that net/http does not know, and so
// cannot rewind.
type oneShot struct {
	io.Reader
}

func newOneShot(content []byte) io.ReadCloser {
	return oneShot{bytes.NewReader(content)}
}

// Close does nothing: the content lives as long as its request.
func (oneShot) Close() error { return nil }
