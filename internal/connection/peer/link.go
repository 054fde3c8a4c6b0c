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

// silent reports whether nothing has been received for longer than is possible on a
// healthy link, whose other end replies to pings.
func (l *link) silent() bool { return l.conn.ReadIdle() > suspectAfter }

// reserve reserves a stream for one request, which roundTrip then uses. It returns false
// if no stream is available.
func (l *link) reserve() bool { return l.cc.Reserve() == nil }

func (l *link) roundTrip(r *http.Request) (*http.Response, error) {
	return l.cc.RoundTrip(r)
}

func (l *link) close() { _ = l.cc.Close() }
