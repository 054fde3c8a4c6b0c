package peer

import (
	"context"
	"errors"

	"golang.org/x/net/http2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Texts of errors that net/http does not export. The tests pin them to the
// library; where a text changes, the outcome falls back to unknown.
const (
	textUnusable = "http2: client conn not usable"
	textGoAway   = "http2: Transport received Server's graceful shutdown GOAWAY"
)

// isUnusable reports that the link took no request at all.
func isUnusable(err error) bool { return err != nil && err.Error() == textUnusable }

// isUnprocessed reports that the other end said that it did not begin to run
// the request: a refused stream, or one above the last of a GOAWAY.
func isUnprocessed(err error) bool {
	var stream http2.StreamError
	if errors.As(err, &stream) {
		return stream.Code == http2.ErrCodeRefusedStream
	}
	return err.Error() == textGoAway
}

// classify gives an error of a link its kind.
func classify(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case isUnprocessed(err):
		return fault.Wrap(fault.ConnectFailed, err, "the daemon did not take the request")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.Wrap(fault.DeadlineUnknown, err, "the deadline passed while the request ran")
	case ctx.Err() != nil:
		return fault.Wrap(fault.CallerGone, err, "the caller left while the request ran")
	}
	return fault.Wrap(fault.ConnectionLost, err, "the link to the daemon was lost")
}

// notSent gives the end of ctx its kind where nothing was sent.
func notSent(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.DeadlineNotRun, "the deadline passed before the request was sent")
	}
	return fault.New(fault.CallerGone, "the caller left before the request was sent")
}
