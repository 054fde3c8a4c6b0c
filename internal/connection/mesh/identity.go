package mesh

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Identity contains the certificate and key of this process and the certificate
// authority that it trusts.
type Identity struct {
	Peer   Peer
	cert   tls.Certificate
	caPool *x509.CertPool
	// plain is true if links use no TLS.
	plain bool
}

// NewPlainIdentity returns an identity for links without TLS. Anyone who can connect to
// a listener with such an identity gets the role Replica, so it must be used only on
// networks that no other hosts can reach.
func NewPlainIdentity(name string) *Identity {
	return &Identity{Peer: Peer{Name: name, Role: Replica}, plain: true}
}

// Plain reports whether links use no TLS, so that the name of the other end is unknown.
func (id *Identity) Plain() bool { return id.plain }

// LoadIdentity reads the certificate of the authority, and the certificate and key of
// this process, from PEM files. Errors: SettingsInvalid, Forbidden; see NewIdentity.
func LoadIdentity(caFile, certFile, keyFile string) (*Identity, error) {
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "read mesh CA certificate file %s", caFile)
	}
	cert, err := os.ReadFile(certFile)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "read mesh certificate file %s", certFile)
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "read mesh key file %s", keyFile)
	}
	return NewIdentity(ca, KeyPair{Certificate: cert, Key: key})
}

// NewIdentity returns an identity from PEM data. Errors: SettingsInvalid if the data is
// not valid, Forbidden if the certificate does not contain exactly one known role.
func NewIdentity(ca []byte, own KeyPair) (*Identity, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, fault.New(fault.SettingsInvalid, "mesh CA data contains no valid PEM certificate")
	}
	cert, err := tls.X509KeyPair(own.Certificate, own.Key)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "load mesh certificate and key")
	}
	peer, err := peerFrom(cert.Leaf)
	if err != nil {
		return nil, err
	}
	return &Identity{Peer: peer, cert: cert, caPool: pool}, nil
}

// ServerTLS returns the TLS configuration of a listener for mesh links. It requires
// client certificates of the mesh.
func (id *Identity) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		ClientCAs:    id.caPool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

// ClientTLS returns the TLS configuration for links to other processes of the mesh.
func (id *Identity) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		RootCAs:      id.caPool,
	}
}
