package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/fault"
)

type number struct {
	Value int `json:"value"`
}

func double(_ context.Context, _ mesh.Peer, n number) (number, error) {
	if n.Value < 0 {
		return number{}, fault.New(fault.NoteGap, "below zero")
	}
	return number{n.Value * 2}, nil
}

func TestCallsOverMutualTLS(t *testing.T) {
	ca, address := startServer(t)
	pool := NewPool(identity(t, ca, mesh.Operator))
	t.Cleanup(func() { must.NoError(t, pool.Close()) })

	var reply number
	must.NoError(t, pool.Call(t.Context(), address, "double", number{21}, &reply))
	must.Eq(t, 42, reply.Value)
	err := pool.Call(t.Context(), address, "double", number{-1}, &reply)
	must.Eq(t, fault.NoteGap, fault.KindOf(err))
	err = pool.Call(t.Context(), address, "missing", number{}, &reply)
	must.Eq(t, fault.BadRequest, fault.KindOf(err))

	daemon := NewPool(identity(t, ca, mesh.Daemon))
	t.Cleanup(func() { must.NoError(t, daemon.Close()) })
	err = daemon.Call(t.Context(), address, "double", number{1}, &reply)
	must.Eq(t, fault.Forbidden, fault.KindOf(err))
}

func TestUntrustedClientIsRejected(t *testing.T) {
	_, address := startServer(t)
	other, err := mesh.NewAuthority("other", time.Now())
	must.NoError(t, err)
	pool := NewPool(identity(t, other, mesh.Operator))
	defer func() { _ = pool.Close() }()
	err = pool.Call(t.Context(), address, "double", number{1}, &number{})
	must.Error(t, err)
}

// TestSilentLinkIsClosed guards against calls that wait forever for another end that
// accepts data but never replies.
func TestSilentLinkIsClosed(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = server.Close() }()
	go func() {
		buffer := make([]byte, 1024)
		for {
			if _, err := server.Read(buffer); err != nil {
				return
			}
		}
	}()
	c := newClient(client)
	err := c.Call(t.Context(), "double", number{1}, &number{})
	must.Eq(t, fault.ConnectionLost, fault.KindOf(err))
	<-c.conn.DisconnectNotify()
	must.True(t, c.Closed())
}

func FuzzFrame(f *testing.F) {
	var valid bytes.Buffer
	must.NoError(f, frameCodec{}.WriteObject(&valid, number{7}))
	f.Add(valid.Bytes())
	f.Add(valid.Bytes()[:5])
	f.Add(binary.BigEndian.AppendUint32(nil, MaxMessage+1))
	f.Add(binary.BigEndian.AppendUint32(nil, MaxMessage))
	f.Fuzz(func(_ *testing.T, b []byte) {
		var n number
		_ = frameCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(b)), &n)
	})
}

func startServer(t *testing.T) (mesh.KeyPair, string) {
	t.Helper()
	ca, err := mesh.NewAuthority("mesh", time.Now())
	must.NoError(t, err)
	server := NewServer(identity(t, ca, mesh.Replica), map[string]Handler{
		"double": Method(double, mesh.Operator),
	}, zap.NewNop())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- server.Run(ln) }()
	t.Cleanup(func() {
		must.NoError(t, server.Close())
		must.NoError(t, <-done)
	})
	return ca, ln.Addr().String()
}

func identity(t *testing.T, ca mesh.KeyPair, role mesh.Role) *mesh.Identity {
	t.Helper()
	pair, err := ca.Issue("p", role, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
	must.NoError(t, err)
	id, err := mesh.NewIdentity(ca.Certificate, pair)
	must.NoError(t, err)
	return id
}
