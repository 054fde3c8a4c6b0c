package peer

import (
	"net/http"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
)

// NewServer returns the server of the listener for peer links: HTTP/2 over
// mutual TLS only. Start it with ServeTLS(listener, "", ""). The handler finds
// the peer's identity with mesh.PeerOf(request.TLS).
func NewServer(identity *mesh.Identity, handler http.Handler, o ServerOptions) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	return &http.Server{
		Handler:           handler,
		TLSConfig:         identity.ServerTLS(),
		Protocols:         protocols,
		HTTP2:             http2Config(),
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          o.ErrorLog,
	}
}
