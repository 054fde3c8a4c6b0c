package peer

import (
	"log"
	"net"
	"net/http"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
)

// Defaults of a link between two daemons. A silent link is found after
// SilenceBeforePing and PingTimeout, in less than a second.
const (
	// SilenceBeforePing is the time without a frame after which a ping is sent.
	SilenceBeforePing = 300 * time.Millisecond
	// PingTimeout is the wait for the answer to a ping before the link is closed.
	PingTimeout = 400 * time.Millisecond
	// suspectAfter is the silence after which new work goes to another link.
	suspectAfter = SilenceBeforePing + 100*time.Millisecond
	// idleTimeout closes a link without requests, and so ends its pings.
	idleTimeout = 5 * time.Second
	dialTimeout = 700 * time.Millisecond
	// maxLinks bounds the links to one address.
	maxLinks = 4
	// maxStreams is the number of requests at once on one link.
	maxStreams = 1000
	// maxHeader bounds the header block of a request or an answer, in bytes.
	maxHeader         = 64 << 10
	readHeaderTimeout = 5 * time.Second
	keepAlivePeriod   = 15 * time.Second
)

// Options change the defaults of a Client; the zero value keeps them.
type Options struct {
	// Dial opens the network connections.
	Dial meter.Dial
}

// ServerOptions change the defaults of a server; the zero value keeps them.
type ServerOptions struct {
	// ErrorLog receives handshake failures and panics.
	ErrorLog *log.Logger
}

func (o Options) dial() meter.Dial {
	if o.Dial != nil {
		return o.Dial
	}
	d := &net.Dialer{KeepAlive: keepAlivePeriod}
	return d.DialContext
}

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams,
		SendPingTimeout:      SilenceBeforePing,
		PingTimeout:          PingTimeout,
		WriteByteTimeout:     SilenceBeforePing + PingTimeout,
	}
}
