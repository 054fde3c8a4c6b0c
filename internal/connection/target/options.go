package target

import (
	"net"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
)

const (
	dialTimeout = 500 * time.Millisecond
	// defaultLimit bounds the connections to a target without a limit set.
	defaultLimit = 64
	// idleTimeout retires a connection that no request has used for this long.
	idleTimeout = 30 * time.Second
	// onceIdleTimeout is the longest idle time of a connection that is given a
	// request that may not be repeated: a connection that the target closes at
	// that very moment would leave its outcome unknown.
	onceIdleTimeout = 200 * time.Millisecond
	// maxHeader bounds the header block of an answer, in bytes.
	maxHeader       = 64 << 10
	keepAlivePeriod = 15 * time.Second
)

// Options change the defaults of a Client; the zero value keeps them.
type Options struct {
	// Dial opens the network connections.
	Dial meter.Dial
}

func (o Options) dial() meter.Dial {
	if o.Dial != nil {
		return o.Dial
	}
	d := &net.Dialer{KeepAlive: keepAlivePeriod}
	return d.DialContext
}
