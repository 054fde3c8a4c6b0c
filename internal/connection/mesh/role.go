// Package mesh holds the certificates of the mesh and the TLS settings made
// from them. Every link between processes uses mutual TLS with one certificate
// authority, and the role of a process stands in its certificate.
package mesh

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Role is what a certificate allows its holder to do.
type Role string

// Roles of processes.
const (
	// Daemon may send request contexts and renewals.
	Daemon Role = "daemon"
	// Replica may take part in replica groups, and do what a daemon does.
	Replica Role = "replica"
	// Operator may apply notes and change memberships.
	Operator Role = "operator"
)

// Peer is the identity in a verified certificate.
type Peer struct {
	// Name is the instance name, or the operator's name.
	Name string
	Role Role
}

// PeerOf returns the identity of the other end of a connection. It fails with
// Forbidden where the certificate is missing or names no role.
func PeerOf(state *tls.ConnectionState) (Peer, error) {
	if state == nil || len(state.VerifiedChains) == 0 {
		return Peer{}, fault.New(fault.Forbidden, "a mesh certificate is required")
	}
	return peerFrom(state.VerifiedChains[0][0])
}

func peerFrom(c *x509.Certificate) (Peer, error) {
	if len(c.Subject.OrganizationalUnit) != 1 {
		return Peer{}, fault.New(fault.Forbidden, "the certificate of %q names no role", c.Subject.CommonName)
	}
	role := Role(c.Subject.OrganizationalUnit[0])
	if !slices.Contains([]Role{Daemon, Replica, Operator}, role) {
		return Peer{}, fault.New(fault.Forbidden, "the certificate of %q names the unknown role %q", c.Subject.CommonName, role)
	}
	return Peer{Name: c.Subject.CommonName, Role: role}, nil
}

// Allow returns Forbidden unless the peer has one of the roles.
func (p Peer) Allow(roles ...Role) error {
	if slices.Contains(roles, p.Role) {
		return nil
	}
	return fault.New(fault.Forbidden, "%s %q may not do this", p.Role, p.Name)
}
