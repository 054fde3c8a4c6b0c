package http1

import (
	"context"
	"net"
	"net/http"
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

// TestNothingIsSentOnceTheProcessHasStopped guards against a request that is still sent on an
// idle connection after its context has ended, and may then have run.
func TestNothingIsSentOnceTheProcessHasStopped(t *testing.T) {
	address := serve(t, func(conn net.Conn, r *http.Request, _ int) { writeResponse(conn, r.Header.Get("Id"), "ok") })
	client := NewClient(Options{IDHeader: "Id"})
	ctx, stop := context.WithCancelCause(t.Context())
	stop(fault.ErrStopping)
	for range 50 {
		_, err := get(t, client, address, "a")
		must.NoError(t, err)
		r := &Request{Method: "POST", URI: "/", Host: "h", ID: "b", Header: http.Header{"Id": {"b"}}}
		_, err = client.Do(ctx, address, r) //nolint:bodyclose // it fails
		must.Eq(t, fault.ShuttingDown, fault.KindOf(err))
	}
}
