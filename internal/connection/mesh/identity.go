package mesh

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Identity is the loaded certificate of this process and the authority that it
// trusts.
type Identity struct {
	Peer Peer
	cert tls.Certificate
	pool *x509.CertPool
	// plain is true where links carry no certificate.
	plain bool
}

// NewPlainIdentity returns an identity for links without certificates. Whoever
// can reach such a link may do all that a replica may; it is for networks that
// only the processes of the mesh can reach.
func NewPlainIdentity(name string) *Identity {
	return &Identity{Peer: Peer{Name: name, Role: Replica}, plain: true}
}

// Plain reports whether links carry no certificate, so that the name of the
// other end is not known.
func (id *Identity) Plain() bool { return id.plain }

// LoadIdentity reads the authority's certificate and the certificate and key
// of this process from PEM files.
func LoadIdentity(caFile, certFile, keyFile string) (*Identity, error) {
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "read the mesh authority %s", caFile)
	}
	cert, err := os.ReadFile(certFile)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "read the mesh certificate %s", certFile)
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "read the mesh key %s", keyFile)
	}
	return NewIdentity(ca, Pair{Certificate: cert, Key: key})
}

// NewIdentity builds an identity from PEM blocks.
func NewIdentity(ca []byte, own Pair) (*Identity, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, fault.New(fault.SettingsInvalid, "the mesh authority holds no certificate")
	}
	cert, err := tls.X509KeyPair(own.Certificate, own.Key)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "load the mesh certificate")
	}
	peer, err := peerFrom(cert.Leaf)
	if err != nil {
		return nil, err
	}
	return &Identity{Peer: peer, cert: cert, pool: pool}, nil
}

// ServerTLS returns the TLS settings of a listener for mesh links.
func (id *Identity) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		ClientCAs:    id.pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

// ClientTLS returns the TLS settings for links to other mesh processes.
func (id *Identity) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		RootCAs:      id.pool,
	}
}
