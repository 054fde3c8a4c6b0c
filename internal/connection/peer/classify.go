package peer

import (
	"context"
	"errors"

	"golang.org/x/net/http2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Messages of errors that net/http does not export. The tests check that the library
// still uses them. If a message changes, the outcome of the request is treated as
// unknown.
const (
	errTextUnusable = "http2: client conn not usable"
	errTextGoAway   = "http2: Transport received Server's graceful shutdown GOAWAY"
)

// isUnusable reports whether the link rejected the request without sending it.
func isUnusable(err error) bool { return err != nil && err.Error() == errTextUnusable }

// isUnprocessed reports whether the other end stated that it did not process the
// request: it refused the stream, or the stream is above the last stream of a GOAWAY.
func isUnprocessed(err error) bool {
	var stream http2.StreamError
	if errors.As(err, &stream) {
		return stream.Code == http2.ErrCodeRefusedStream
	}
	return err.Error() == errTextGoAway
}

// classify converts an error of a link to an error with a fault kind.
func classify(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case isUnprocessed(err):
		return fault.Wrap(fault.ConnectFailed, err, "daemon did not process the request")
	case ctx.Err() != nil:
		return fault.OfContext(ctx, err, true)
	}
	return fault.Wrap(fault.ConnectionLost, err, "link to the daemon lost")
}

// notSent returns the error for a request whose ctx ended before the request was sent.
func notSent(ctx context.Context) error {
	return fault.OfContext(ctx, nil, false)
}
