// Package listener creates the HTTP listeners and servers of a process that do not use
// TLS: for callers, for the calls and announcements of targets, and for operators.
package listener

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Defaults of a server.
const (
	// HeaderLimit is the maximum size of the header block of a request, in bytes.
	HeaderLimit = 64 << 10
	// HeaderTimeout is the time within which the header block of a request must arrive.
	HeaderTimeout = 5 * time.Second
	// IdleTimeout is the time after which a connection without requests is closed.
	IdleTimeout = 2 * time.Minute
	// SilenceBeforePing is the time without a received frame after which a ping is sent
	// on an HTTP/2 connection.
	SilenceBeforePing = 500 * time.Millisecond
	// PingTimeout is the time to wait for the reply to a ping before the connection is
	// closed.
	PingTimeout = 450 * time.Millisecond

	// maxStreams is the maximum number of concurrent requests on one HTTP/2
	// connection.
	maxStreams = 250
	// receiveWindow is the number of bytes that an HTTP/2 connection, or one request on it,
	// may send before they are read.
	receiveWindow     = 64 << 10
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Options configures a server. The zero value selects the defaults.
type Options struct {
	// HeaderLimit is the maximum size of the header block of a request, in bytes. The
	// default is the constant HeaderLimit.
	HeaderLimit int
	// ErrorLog receives errors of connections and panics of the handler.
	ErrorLog *log.Logger
}

// NewServer returns a server for HTTP/1.1 and unencrypted HTTP/2.
func NewServer(handler http.Handler, o Options) *http.Server {
	limit := o.HeaderLimit
	if limit <= 0 {
		limit = HeaderLimit
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		MaxHeaderBytes:    limit,
		ReadHeaderTimeout: HeaderTimeout,
		IdleTimeout:       IdleTimeout,
		ErrorLog:          o.ErrorLog,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          maxStreams,
			MaxReceiveBufferPerConnection: receiveWindow,
			MaxReceiveBufferPerStream:     receiveWindow,
			SendPingTimeout:               SilenceBeforePing,
			PingTimeout:                   PingTimeout,
		},
	}
}

// Listen opens a TCP listener whose connections use TCP keep-alive. Errors:
// SettingsInvalid if the address cannot be used.
func Listen(ctx context.Context, address string) (*Listener, error) {
	config := net.ListenConfig{Control: limitReceiveQueues, KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "listen on %s", address)
	}
	return &Listener{l.(*net.TCPListener)}, nil
}
