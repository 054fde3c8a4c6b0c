// Package mesh creates and loads the certificates of a mesh and provides the TLS
// configurations that use them. Links between processes use mutual TLS with a single
// certificate authority, except with a plain identity. The certificate of a process
// contains its role.
package mesh

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Role determines what the holder of a certificate is permitted to do.
type Role string

// Roles of certificate holders.
const (
	// Daemon may forward requests to other daemons and send renewals.
	Daemon Role = "daemon"
	// Replica may be a member of replica groups and do everything that a daemon may do.
	Replica Role = "replica"
	// Operator may apply release notes and change memberships.
	Operator Role = "operator"
)

// Peer is the identity of the holder of a verified certificate.
type Peer struct {
	// Name is the instance name of a process or the name of an operator.
	Name string
	Role Role
}

// PeerOf returns the identity of the other end of a connection. Errors: Forbidden if the
// certificate is missing or does not contain exactly one known role.
func PeerOf(state *tls.ConnectionState) (Peer, error) {
	if state == nil || len(state.VerifiedChains) == 0 {
		return Peer{}, fault.New(fault.Forbidden, "a mesh certificate is required")
	}
	return peerFrom(state.VerifiedChains[0][0])
}

func peerFrom(c *x509.Certificate) (Peer, error) {
	if len(c.Subject.OrganizationalUnit) != 1 {
		return Peer{}, fault.New(fault.Forbidden, "certificate of %q must contain exactly one role", c.Subject.CommonName)
	}
	role := Role(c.Subject.OrganizationalUnit[0])
	if !slices.Contains([]Role{Daemon, Replica, Operator}, role) {
		return Peer{}, fault.New(fault.Forbidden, "certificate of %q contains the unknown role %q", c.Subject.CommonName, role)
	}
	return Peer{Name: c.Subject.CommonName, Role: role}, nil
}

// RequireRole returns a Forbidden error unless the peer has one of the roles.
func (p Peer) RequireRole(roles ...Role) error {
	if slices.Contains(roles, p.Role) {
		return nil
	}
	return fault.New(fault.Forbidden, "%s %q does not have a permitted role", p.Role, p.Name)
}
