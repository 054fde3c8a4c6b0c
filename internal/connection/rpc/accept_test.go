package rpc

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/fault"
)

// failingListener fails to accept some times, and then as if it were closed.
type failingListener struct {
	err   error
	times int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.times == 0 {
		return nil, net.ErrClosed
	}
	l.times--
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: l.err}
}

func (l *failingListener) Close() error   { return nil }
func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestAcceptFailsForAMoment guards against a process that ends because it has no file
// descriptor left for one link.
func TestAcceptFailsForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(mesh.NewPlainIdentity("p"), nil, zap.NewNop())
		began := time.Now()
		must.NoError(t, server.Run(&failingListener{syscall.EMFILE, 20}))
		must.Between(t, 10*time.Second, time.Since(began), 20*maxAcceptDelay)

		err := server.Run(&failingListener{syscall.EINVAL, 1})
		must.Eq(t, fault.Internal, fault.KindOf(err), must.Sprint("a listener that is broken"))
	})
}
