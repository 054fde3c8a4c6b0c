package peer

import (
	"net/http"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
)

// NewServer returns a server for peer links, which accepts only HTTP/2 over mutual TLS.
// Start it with ServeTLS(listener, "", ""). The handler gets the identity of the peer
// with mesh.PeerOf(request.TLS).
func NewServer(identity *mesh.Identity, handler http.Handler, o ServerOptions) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	return &http.Server{
		Handler:           handler,
		TLSConfig:         identity.ServerTLS(),
		Protocols:         protocols,
		HTTP2:             http2Config(),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          o.ErrorLog,
	}
}
