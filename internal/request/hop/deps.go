package hop

import (
	"net/http"

	"github.com/teaselrack/teaselrack/internal/request/running"
)

// DefaultBodyLimit is the largest request body, in bytes.
const DefaultBodyLimit = 1 << 20

// PeerTransport sends requests to other daemons; peer.Client is one.
type PeerTransport interface {
	// RoundTrip sends r once to the daemon at address. Errors whose outcome is
	// NotRun are returned only where the daemon did not begin to run r.
	RoundTrip(address string, r *http.Request) (*http.Response, error)
}

// TargetTransport sends requests to the targets beside this process; target.Client
// is one.
type TargetTransport interface {
	// RoundTrip sends r once to the target at address. Errors whose outcome is
	// NotRun are returned only where nothing of r was sent. repeatable requests
	// may be given up early on a silent connection.
	RoundTrip(address string, r *http.Request, repeatable bool) (*http.Response, error)
}

// LocalTargets knows the targets beside this process; announce.Registry is one.
type LocalTargets interface {
	// Check returns nil where the target of service at address may be given
	// new work. Errors: NoTarget, TargetLeaving.
	Check(service, address string) error
}

// Deps is what the handlers of one process work with. Every field but
// BodyLimit and HeaderLimit is required.
type Deps struct {
	// Instance is the name of this process, FailureDomain where it runs, and
	// PeerAddress where it accepts peer links, IP:port.
	Instance      string
	FailureDomain string
	PeerAddress   string
	// BodyLimit is the largest request body in bytes; 0 means
	// DefaultBodyLimit.
	BodyLimit int64
	// HeaderLimit is the largest header block in bytes; 0 means
	// DefaultHeaderLimit.
	HeaderLimit int

	Configuration Configuration
	Quota         Quota
	Ledger        Ledger
	Router        Router
	Admission     Admission
	Permits       Permits
	Recorder      Recorder
	Running       *running.Table
	Peers         PeerTransport
	Targets       TargetTransport
	Announced     LocalTargets
}

func (d Deps) bodyLimit() int64 {
	if d.BodyLimit > 0 {
		return d.BodyLimit
	}
	return DefaultBodyLimit
}

func (d Deps) headerLimit() int {
	if d.HeaderLimit > 0 {
		return d.HeaderLimit
	}
	return DefaultHeaderLimit
}
