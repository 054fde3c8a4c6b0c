package peer

import (
	"net/http"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
)

// link is one HTTP/2 connection to another daemon.
type link struct {
	cc   *http.ClientConn
	conn *meter.Conn
}

func (l *link) dead() bool { return l.cc.Err() != nil }

// silent reports whether the other end has not been heard for longer than a
// healthy one can stay without answering a ping.
func (l *link) silent() bool { return l.conn.Silence() > suspectAfter }

// reserve keeps a place for one request; roundTrip uses it up.
func (l *link) reserve() bool { return l.cc.Reserve() == nil }

func (l *link) roundTrip(r *http.Request) (*http.Response, error) {
	return l.cc.RoundTrip(r)
}

func (l *link) close() { _ = l.cc.Close() }
