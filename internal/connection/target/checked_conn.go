package target

import (
	"context"
	"net"
	"sync"

	"github.com/teaselrack/teaselrack/internal/connection/meter"
	"github.com/teaselrack/teaselrack/internal/connection/responsehead"
)

// checkedConn checks the heads of the responses that are read from a connection. Reads fail from
// a malformed head on.
type checkedConn struct {
	net.Conn

	mu   sync.Mutex
	head responsehead.Scanner
}

// checkHeads returns a function that opens connections with dial and wraps them in a checkedConn.
func checkHeads(dial meter.DialFunc) meter.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
}

// expectHead begins to check the heads of the next response.
func (c *checkedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = responsehead.Scanner{}
}

// Read reads from the connection. It returns no byte of data that holds a malformed head.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.head.Scan(b[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}
