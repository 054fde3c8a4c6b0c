// Package listener makes the plain HTTP listeners of a process: for callers,
// for the calls and announcements of targets, and for operators.
package listener

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Defaults of a listener.
const (
	// HeaderLimit is the largest header block of a request that is read, in
	// bytes.
	HeaderLimit = 64 << 10
	// HeaderTimeout is the longest time for a header block to come.
	HeaderTimeout = 5 * time.Second
	// IdleTimeout closes a connection without requests.
	IdleTimeout = 2 * time.Minute
	// SilenceBeforePing and PingTimeout find a silent HTTP/2 connection.
	SilenceBeforePing = 500 * time.Millisecond
	PingTimeout       = 450 * time.Millisecond

	maxStreams    = 250
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
)

// Options change the defaults of a listener; the zero value keeps them.
type Options struct {
	// HeaderLimit is the largest header block that is read, in bytes.
	HeaderLimit int
	// ErrorLog receives what goes wrong on connections.
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
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      SilenceBeforePing,
			PingTimeout:          PingTimeout,
		},
	}
}

// Listen opens a TCP listener whose connections are probed when they are idle.
// It fails with SettingsInvalid where the address cannot be used.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     probeIdle,
		Interval: probeInterval,
		Count:    probeCount,
	}}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "listen on %s", address)
	}
	return l, nil
}
