package peer

import (
	"log"
	"net"
	"net/http"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
)

// Defaults of a link between two daemons. A silent link is detected after
// SilenceBeforePing plus PingTimeout, in less than a second.
const (
	// SilenceBeforePing is the time without a received frame after which a ping is sent.
	SilenceBeforePing = 300 * time.Millisecond
	// PingTimeout is the time to wait for the reply to a ping before the link is
	// closed.
	PingTimeout = 400 * time.Millisecond
	// suspectAfter is the time without received data after which new requests use
	// another link.
	suspectAfter = SilenceBeforePing + 100*time.Millisecond
	// idleTimeout is the time after which a link without requests is closed, which also
	// stops its pings.
	idleTimeout = 5 * time.Second
	dialTimeout = 700 * time.Millisecond
	// maxLinks is the maximum number of links to one address.
	maxLinks = 4
	// maxStreams is the maximum number of concurrent requests on one link.
	maxStreams = 1000
	// maxHeaderBytes is the maximum size of the header block of a request or response, in
	// bytes.
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 5 * time.Second
	keepAlivePeriod   = 15 * time.Second
)

// Options configures a Client. The zero value selects the defaults.
type Options struct {
	// Dial opens the network connections. The default is a net.Dialer with TCP
	// keep-alive.
	Dial meter.DialFunc
}

// ServerOptions configures a server. The zero value selects the defaults.
type ServerOptions struct {
	// ErrorLog receives handshake failures and panics of the handler.
	ErrorLog *log.Logger
}

func (o Options) dial() meter.DialFunc {
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
