package http1

import (
	"context"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// TestProcessStopsWhileConnecting checks that a request is known not to have run if the
// process stops before a connection is open.
func TestProcessStopsWhileConnecting(t *testing.T) {
	ctx, stop := context.WithCancelCause(t.Context())
	client := NewClient(Options{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		stop(fault.ErrStopping)
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	_, err := client.Do(ctx, "10.0.0.1:80", &Request{Method: "GET", URI: "/", Host: "h"}) //nolint:bodyclose // it fails
	must.Eq(t, fault.ShuttingDown, fault.KindOf(err))
}
