package mesh

import (
	"crypto/tls"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
)

func TestMutualTLSCarriesTheRole(t *testing.T) {
	ca, err := NewAuthority("mesh", time.Now())
	must.NoError(t, err)
	server := issue(t, ca, "a", Replica)
	client := issue(t, ca, "b", Daemon)

	peer, err := handshake(t, server.ServerTLS(), client.ClientTLS())
	must.NoError(t, err)
	must.Eq(t, Peer{Name: "b", Role: Daemon}, peer)
	must.Eq(t, fault.Forbidden, fault.KindOf(peer.RequireRole(Replica, Operator)))
}

func TestUntrustedClientsAreRejected(t *testing.T) {
	ca, err := NewAuthority("mesh", time.Now())
	must.NoError(t, err)
	other, err := NewAuthority("other", time.Now())
	must.NoError(t, err)
	server := issue(t, ca, "a", Daemon)
	stranger := issue(t, other, "a", Daemon)
	config := stranger.ClientTLS()
	config.RootCAs = server.caPool
	_, err = handshake(t, server.ServerTLS(), config)
	must.Error(t, err)
	_, err = handshake(t, server.ServerTLS(), &tls.Config{RootCAs: server.caPool})
	must.Error(t, err)
}

func issue(t *testing.T, ca KeyPair, name string, role Role) *Identity {
	t.Helper()
	pair, err := ca.Issue(name, role, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now())
	must.NoError(t, err)
	id, err := NewIdentity(ca.Certificate, pair)
	must.NoError(t, err)
	return id
}

// handshake performs a TLS handshake and returns the identity of the client as seen by
// the server.
func handshake(t *testing.T, server, client *tls.Config) (Peer, error) {
	t.Helper()
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	serverConn, clientConn := net.Pipe()
	defer func() { _ = serverConn.Close() }()
	go func() {
		_ = tls.Client(clientConn, client).Handshake()
		_, _ = io.Copy(io.Discard, clientConn)
	}()
	conn := tls.Server(serverConn, server)
	_ = serverConn.SetDeadline(time.Now().Add(5 * time.Second))
	if err := conn.Handshake(); err != nil {
		return Peer{}, err
	}
	state := conn.ConnectionState()
	return PeerOf(&state)
}
