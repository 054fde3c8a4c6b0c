package peer

import (
	"net/http"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
	"github.com/teaselrack/teaselrack/internal/connection/responsehead"
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
	resp, err := l.cc.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := responsehead.CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func (l *link) close() { _ = l.cc.Close() }
