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

// Client is the client end of one link to another process. It is safe for concurrent
// use.
type Client struct {
	conn  *jsonrpc2.Conn
	codec *frameCodec
}

// Dial opens a link to address, in the form IP:port. Errors: ConnectFailed.
func Dial(ctx context.Context, address string, id *mesh.Identity) (*Client, error) {
	return dialClient(ctx, address, id, nil)
}

// dialClient is Dial with a MessageFunc, which may be nil.
func dialClient(ctx context.Context, address string, id *mesh.Identity, sent MessageFunc) (*Client, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := dial(ctx, address, id)
	if err != nil {
		return nil, fault.Wrap(fault.ConnectFailed, err, "connect to %s", address)
	}
	return newClient(conn, address, sent), nil
}

func dial(ctx context.Context, address string, id *mesh.Identity) (net.Conn, error) {
	var dialer net.Dialer
	if id.Plain() {
		return dialer.DialContext(ctx, "tcp", address)
	}
	tlsDialer := tls.Dialer{NetDialer: &dialer, Config: id.ClientTLS()}
	return tlsDialer.DialContext(ctx, "tcp", address)
}

func newClient(conn net.Conn, address string, sent MessageFunc) *Client {
	codec := new(frameCodec)
	stream := jsonrpc2.NewBufferedStream(deadlineConn{conn}, codec)
	handler := jsonrpc2.HandlerWithError(rejectCall)
	options := []jsonrpc2.ConnOpt{jsonrpc2.SetLogger(discardLogger{})}
	if sent != nil {
		measured := &measuredStream{ObjectStream: stream, codec: codec, address: address, sent: sent}
		stream = measured
		options = append(options, jsonrpc2.OnSend(measured.onSend), jsonrpc2.OnRecv(measured.onReceive))
	}
	return &Client{codec: codec, conn: jsonrpc2.NewConn(context.Background(), stream, handler, options...)}
}

// compress makes both ends send compressed frames, if the other end can.
func (c *Client) compress(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	if c.conn.Call(ctx, methodCompress, nil, nil) == nil {
		c.codec.compress.Store(true)
	}
}

// rejectCall rejects calls that the other end makes: the client end of a link serves no
// methods.
func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, toWire(fault.New(fault.BadRequest, "the client end of a link serves no calls"))
}

// Call calls a method of the other end and decodes its result into reply. An error has
// the kind that the other end returned, or ConnectionLost if the link was lost, did not
// reply to a probe, or ctx ended. After ConnectionLost, the other end may or may not have
// executed the call.
func (c *Client) Call(ctx context.Context, method string, params, reply any) error {
	done := make(chan struct{})
	defer close(done)
	go c.watch(done)
	return fromWire(c.conn.Call(ctx, method, params, reply))
}

// watch probes the link whenever a call has waited for a further ProbeAfter, and closes
// the link if a probe fails. It returns when done or the link is closed.
func (c *Client) watch(done <-chan struct{}) {
	timer := time.NewTimer(ProbeAfter)
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
		timer.Reset(ProbeAfter)
	}
}

func (c *Client) probe() bool {
	ctx, cancel := context.WithTimeout(context.Background(), ProbeTimeout)
	defer cancel()
	return c.conn.Call(ctx, methodProbe, nil, nil) == nil
}

// Closed reports whether either end has closed the link.
func (c *Client) Closed() bool {
	select {
	case <-c.conn.DisconnectNotify():
		return true
	default:
		return false
	}
}

// Close closes the link. Pending calls fail with ConnectionLost.
func (c *Client) Close() error { return c.conn.Close() }
