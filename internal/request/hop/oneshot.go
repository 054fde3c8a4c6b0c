package hop

import (
	"bytes"
	"io"
)

// oneShotBody is a request body of a type that net/http does not recognize, so
// that it cannot rewind the body and send the request again.
type oneShotBody struct {
	io.Reader
}

func newOneShotBody(content []byte) io.ReadCloser {
	return oneShotBody{bytes.NewReader(content)}
}

// Close does nothing: the content is in memory and needs no release.
func (oneShotBody) Close() error { return nil }
