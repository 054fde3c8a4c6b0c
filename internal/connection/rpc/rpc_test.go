package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/teaselrack/teaselrack/internal/connection/connectiontest"
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
	c := newClient(client, "pipe", nil)
	err := c.Call(t.Context(), "double", number{1}, &number{})
	must.Eq(t, fault.ConnectionLost, fault.KindOf(err))
	<-c.conn.DisconnectNotify()
	must.True(t, c.Closed())
}

// TestReplyThatBreaksOff checks that no part of a reply is one.
func TestReplyThatBreaksOff(t *testing.T) {
	const reply = `{"id":0,"result":{"n":6},"jsonrpc":"2.0"}`
	frame := append(binary.BigEndian.AppendUint32(nil, uint32(len(reply))), reply...)
	for cut := range frame {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			if new(frameCodec).ReadObject(bufio.NewReader(server), new(jsonrpc2.Request)) == nil {
				_, _ = server.Write(frame[:cut])
			}
		}()
		c := newClient(client, "pipe", nil)
		err := c.Call(t.Context(), "double", number{3}, new(number))
		must.Eq(t, fault.ConnectionLost, fault.KindOf(err), must.Sprintf("%q", frame[:cut]))
		_ = c.Close()
	}
}

func FuzzFrame(f *testing.F) {
	var valid bytes.Buffer
	must.NoError(f, new(frameCodec).WriteObject(&valid, number{7}))
	f.Add(valid.Bytes())
	f.Add(valid.Bytes()[:5])
	f.Add(binary.BigEndian.AppendUint32(nil, MaxMessage+1))
	f.Add(binary.BigEndian.AppendUint32(nil, MaxMessage))
	compressed := new(frameCodec)
	compressed.compress.Store(true)
	var frames bytes.Buffer
	must.NoError(f, compressed.WriteObject(&frames, number{7}))
	must.NoError(f, compressed.WriteObject(&frames, number{8}))
	f.Add(frames.Bytes())
	f.Fuzz(func(_ *testing.T, b []byte) {
		codec := new(frameCodec)
		r := bufio.NewReader(bytes.NewReader(b))
		var n number
		for codec.ReadObject(r, &n) == nil {
		}
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

// plainServer starts a server without TLS. It returns its listener and a function that
// stops it; all bytes are counted then.
func plainServer(t *testing.T) (ln *connectiontest.CountingListener, stop func()) {
	t.Helper()
	server := NewServer(mesh.NewPlainIdentity("server"), map[string]Handler{"double": Method(double, mesh.Replica)}, zap.NewNop())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ln = connectiontest.NewCountingListener(inner)
	done := make(chan error, 1)
	go func() { done <- server.Run(ln) }()
	return ln, func() {
		must.NoError(t, server.Close())
		must.NoError(t, <-done)
	}
}

// TestCompressedLink checks that concurrent calls on a compressed link get their own
// replies, and that repeated messages take less than half of the bytes.
func TestCompressedLink(t *testing.T) {
	const calls, inFlight = 200, 8
	bytesOf := func(compress bool) int64 {
		ln, stop := plainServer(t)
		pool := NewPool(mesh.NewPlainIdentity("client"))
		if compress {
			pool.CompressLinks()
		}
		var group errgroup.Group
		group.SetLimit(inFlight)
		for i := range calls {
			group.Go(func() error {
				var reply number
				if err := pool.Call(t.Context(), ln.Addr().String(), "double", number{i}, &reply); err != nil {
					return err
				}
				if reply.Value != 2*i {
					return fmt.Errorf("double of %d is %d", i, reply.Value)
				}
				return nil
			})
		}
		must.NoError(t, group.Wait())
		must.NoError(t, pool.Close())
		stop()
		return ln.Bytes()
	}
	must.Less(t, bytesOf(false)/2, bytesOf(true))
}

// TestMeasuredBytesAreThoseOfTheConnection checks that the sizes passed to a
// MessageFunc add up to what the connection carried, with and without compression.
func TestMeasuredBytesAreThoseOfTheConnection(t *testing.T) {
	for _, compress := range []bool{false, true} {
		ln, stop := plainServer(t)
		var mu sync.Mutex
		sizes := make(map[string]int64)
		pool := NewPool(mesh.NewPlainIdentity("client"))
		pool.Measure(func(_, method string, _ []byte, size int) {
			mu.Lock()
			defer mu.Unlock()
			sizes[method] += int64(size)
		})
		if compress {
			pool.CompressLinks()
		}
		for i := range 20 {
			must.NoError(t, pool.Call(t.Context(), ln.Addr().String(), "double", number{i}, &number{}))
		}
		must.NoError(t, pool.Close())
		stop()
		must.Eq(t, ln.Bytes(), sizes["double"]+sizes[methodCompress])
		must.Positive(t, sizes["double"])
	}
}

// TestServerWithoutCompression checks that a server that does not know compression
// serves a pool that asks for it. A TLS server is such a server.
func TestServerWithoutCompression(t *testing.T) {
	ca, address := startServer(t)
	pool := NewPool(identity(t, ca, mesh.Operator))
	t.Cleanup(func() { must.NoError(t, pool.Close()) })
	pool.compress = true
	var reply number
	must.NoError(t, pool.Call(t.Context(), address, "double", number{21}, &reply))
	must.Eq(t, 42, reply.Value)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	must.False(t, pool.entries[address].client.codec.compress.Load())
}
