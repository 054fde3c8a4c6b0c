package hop

import (
	"net/http"

	"github.com/teaselrack/teaselrack/internal/request/inflight"
)

// DefaultBodyLimit is the default maximum size of a request body, in bytes.
const DefaultBodyLimit = 1 << 20

// PeerTransport sends requests to other daemons. peer.Client implements it.
type PeerTransport interface {
	// RoundTrip sends r once to the daemon at address. It returns an error with
	// the outcome NotRun only if the daemon did not start to process r.
	RoundTrip(address string, r *http.Request) (*http.Response, error)
}

// TargetTransport sends requests to the local targets. target.Client implements
// it.
type TargetTransport interface {
	// RoundTrip sends r once to the target at address. It returns an error with
	// the outcome NotRun only if no part of r was sent. An idempotent request may
	// be abandoned early on a silent connection.
	RoundTrip(address string, r *http.Request, idempotent bool) (*http.Response, error)
}

// LocalTargets tracks the targets that announced themselves to this daemon.
// announce.Registry implements it.
type LocalTargets interface {
	// Check returns nil if new requests may be dispatched to the target of
	// service at address. Errors: NoTarget, TargetLeaving.
	Check(service, address string) error
}

// Deps are the dependencies of the handlers of one daemon. Every field except
// BodyLimit and HeaderLimit is required.
type Deps struct {
	// Instance is the name of this instance, FailureDomain is the failure domain
	// it runs in, and PeerAddress is the IP:port of its peer listener.
	Instance      string
	FailureDomain string
	PeerAddress   string
	// BodyLimit is the maximum size of a request body in bytes; 0 means
	// DefaultBodyLimit.
	BodyLimit int64
	// HeaderLimit is the maximum size of a header block in bytes; 0 means
	// DefaultHeaderLimit.
	HeaderLimit int

	Configuration Configuration
	Quota         Quota
	Ledger        Ledger
	Router        Router
	Admission     Admission
	Permits       Permits
	Recorder      Recorder
	InFlight      *inflight.Table
	Peers         PeerTransport
	Targets       TargetTransport
	LocalTargets  LocalTargets
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
