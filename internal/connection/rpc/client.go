package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// Client is one link to another process. It may be used by any number of
// goroutines.
type Client struct {
	conn *jsonrpc2.Conn
}

// Dial connects to address, an IP and port. It fails with ConnectFailed.
func Dial(ctx context.Context, address string, id *mesh.Identity) (*Client, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := dial(ctx, address, id)
	if err != nil {
		return nil, fault.Wrap(fault.ConnectFailed, err, "connect to %s", address)
	}
	return newClient(conn), nil
}

func dial(ctx context.Context, address string, id *mesh.Identity) (net.Conn, error) {
	var dialer net.Dialer
	if id.Plain() {
		return dialer.DialContext(ctx, "tcp", address)
	}
	secure := tls.Dialer{NetDialer: &dialer, Config: id.ClientTLS()}
	return secure.DialContext(ctx, "tcp", address)
}

func newClient(conn net.Conn) *Client {
	stream := jsonrpc2.NewBufferedStream(deadlineConn{conn}, frameCodec{})
	refuse := jsonrpc2.HandlerWithError(refuseCalls)
	return &Client{conn: jsonrpc2.NewConn(context.Background(), stream, refuse, jsonrpc2.SetLogger(quiet{}))}
}

// refuseCalls answers requests on the client's end of a link, which serves none.
func refuseCalls(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, toWire(fault.New(fault.BadRequest, "this end of the link serves no calls"))
}

// Call sends one request and reads its result into reply. Errors carry the
// kind that the other end gave, or ConnectionLost where the link broke or went
// silent, or where ctx ended: then the call may or may not have been taken.
func (c *Client) Call(ctx context.Context, method string, params, reply any) error {
	done := make(chan struct{})
	defer close(done)
	go c.watch(done)
	return fromWire(c.conn.Call(ctx, method, params, reply))
}

// watch probes the link once a call has waited for SuspectAfter, and closes it
// where the probe is not answered.
func (c *Client) watch(done <-chan struct{}) {
	timer := time.NewTimer(SuspectAfter)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-c.conn.DisconnectNotify():
			return
		case <-timer.C:
		}
		if !c.probe() {
			_ = c.Close()
			return
		}
		timer.Reset(SuspectAfter)
	}
}

func (c *Client) probe() bool {
	ctx, cancel := context.WithTimeout(context.Background(), ProbeTimeout)
	defer cancel()
	return c.conn.Call(ctx, methodProbe, nil, nil) == nil
}

// Closed reports whether the link is closed.
func (c *Client) Closed() bool {
	select {
	case <-c.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// Close closes the link; calls that wait fail with ConnectionLost.
func (c *Client) Close() error { return c.conn.Close() }
