package relay

import (
	"net/http"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// readStatement returns what a target says about itself in the header of a response.
// A malformed limit counts as none; the error names it.
func readStatement(names HeaderNames, h http.Header) (protocol.Statement, error) {
	s := protocol.Statement{Leaving: h.Get(names.Leaving) == "1"}
	text := h.Get(names.Limit)
	if text == "" {
		return s, nil
	}
	limit, err := protocol.ParseLimit(text)
	if err != nil {
		return s, err
	}
	s.Limited, s.Limit = true, limit
	return s, nil
}

// readPeerStatement returns what another daemon says about a target, or the zero value
// if it says nothing. The error is that of protocol.ParseStatement.
func readPeerStatement(h http.Header) (protocol.Statement, error) {
	text := h.Get(headerStatement)
	if text == "" {
		return protocol.Statement{}, nil
	}
	return protocol.ParseStatement(text)
}
