package target

import (
	"net"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
)

const (
	dialTimeout = 500 * time.Millisecond
	// defaultLimit is the maximum number of connections to a target for which no
	// limit is set.
	defaultLimit = 64
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
	// onceIdleTimeout is the idle timeout for requests that are not idempotent.
	// It is shorter, because the outcome of such a request is unknown if the
	// target closes the idle connection at that moment.
	onceIdleTimeout = 200 * time.Millisecond
	// maxHeaderBytes limits the header block of a response.
	maxHeaderBytes  = 64 << 10
	keepAlivePeriod = 15 * time.Second
)

// Options are the parameters of a Client; the zero value is usable.
type Options struct {
	// Dial opens a connection. Default: TCP with keep-alive probes.
	Dial meter.DialFunc
}

func (o Options) dial() meter.DialFunc {
	if o.Dial != nil {
		return o.Dial
	}
	d := &net.Dialer{KeepAlive: keepAlivePeriod}
	return d.DialContext
}
