package listener

import (
	"context"
	"io"
	"net"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Reservation is the part of a guard's capacity for bodies that one request or message holds.
// It is for one goroutine. A nil Reservation, like one without a guard, has no limit.
type Reservation struct {
	conn *conn
	held int64
}

// ReservationFor returns an empty reservation for a request with this context.
func ReservationFor(ctx context.Context) *Reservation { return reservationOf(connOf(ctx)) }

// ReservationForLink returns an empty reservation for a message on a connection.
func ReservationForLink(c net.Conn) *Reservation { return reservationOf(guardedConn(c)) }

func reservationOf(c *conn) *Reservation {
	if c == nil {
		return nil
	}
	return &Reservation{conn: c}
}

// Grow adds n bytes. Errors: Overloaded if the process holds too much of other bodies. The only
// body that is held may exceed the capacity: its own limit bounds it.
func (r *Reservation) Grow(n int64) error {
	if r == nil {
		return nil
	}
	g := r.conn.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bodies+n > g.capacity.BodyBytes && g.bodies > r.held {
		return fault.New(fault.Overloaded, "the bodies that are being received exceed the limit of the process of %d bytes", g.capacity.BodyBytes)
	}
	g.bodies += n
	r.held += n
	return nil
}

// ReadLongBody gives the connection the receive buffer for a long body, if there is room. The
// connection keeps it: the client has been offered the window, and what it sends would be
// dropped above a smaller buffer.
func (r *Reservation) ReadLongBody() {
	if r != nil && r.conn.listener.guard.admitLongBody(r.conn) {
		limitReceiveQueue(r.conn.Conn, bodyQueueBytes)
	}
}

// Release gives back what is held.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	g := r.conn.listener.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bodies -= r.held
	r.held = 0
}

// Reader returns a reader of in that adds to the reservation what it reads. It fails with the
// error of Grow.
func (r *Reservation) Reader(in io.Reader) io.Reader { return &reservedReader{in, r} }

type reservedReader struct {
	in          io.Reader
	reservation *Reservation
}

// Read implements io.Reader.
func (r *reservedReader) Read(b []byte) (int, error) {
	n, err := r.in.Read(b)
	if growErr := r.reservation.Grow(int64(n)); growErr != nil {
		return 0, growErr
	}
	return n, err
}
