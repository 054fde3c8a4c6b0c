package hop

import (
	"bytes"
	"io"
)

// oneShotBody is a request body of a type that net/http does not know, and so
// cannot rewind.
type oneShotBody struct {
	io.Reader
}

func newOneShotBody(content []byte) io.ReadCloser {
	return oneShotBody{bytes.NewReader(content)}
}

// Close does nothing: the content lives as long as its request.
func (oneShotBody) Close() error { return nil }
